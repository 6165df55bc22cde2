//! Clients of the platform: table, object store, instance list, leases and fencing.
