//! Operators' command line for the two lists and the fleet.
