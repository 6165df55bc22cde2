//! Fakes of engines, services and the platform, and a fault-injecting proxy.
