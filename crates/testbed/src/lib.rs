//! Starts deployments of real processes and stand-ins for tests, the demo and experiments.
