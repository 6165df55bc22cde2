//! Types of the status report for operators.

pub use agatestair_schema::status::{EndpointStatus, InstanceStatus, LeaseStatus, StatusReport};
