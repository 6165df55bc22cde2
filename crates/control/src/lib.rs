//! Collects load, computes shares, holds leases, orders engines and follows the two lists.
