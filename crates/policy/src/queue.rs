//! Queues of waiting requests, ordered by plan, size and customer.

mod class_queue;
mod plan_queue;
mod pool_queue;

pub(crate) use class_queue::ClassQueue;
pub(crate) use plan_queue::{PlanQueue, Ticket};
pub(crate) use pool_queue::PoolQueue;
