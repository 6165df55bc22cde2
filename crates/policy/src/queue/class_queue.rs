//! Queue of one plan's waiting requests of one size class.

use std::collections::{HashMap, VecDeque};

use crate::keys::RequestKey;
use crate::queue::plan_queue::Ticket;

/// Requests of similar size: round robin over customers, in order of arrival for each customer.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    customers: HashMap<u32, VecDeque<Ticket>>,
    turns: VecDeque<u32>,
}

impl ClassQueue {
    /// Appends a request.
    pub(crate) fn push(&mut self, customer: u32, ticket: Ticket) {
        let queue = self.customers.entry(customer).or_default();
        if queue.is_empty() {
            self.turns.push_back(customer);
        }
        queue.push_back(ticket);
    }

    /// The next request; removes requests for which `gone` is true.
    pub(crate) fn head(&mut self, gone: &dyn Fn(RequestKey) -> bool) -> Option<Ticket> {
        loop {
            let customer = *self.turns.front()?;
            let Some(queue) = self.customers.get_mut(&customer) else {
                self.turns.pop_front();
                continue;
            };
            while queue.front().is_some_and(|ticket| gone(ticket.request)) {
                queue.pop_front();
            }
            match queue.front() {
                Some(ticket) => return Some(*ticket),
                None => {
                    self.customers.remove(&customer);
                    self.turns.pop_front();
                }
            }
        }
    }

    /// Removes the next request, as last returned by [`Self::head`].
    pub(crate) fn pop(&mut self) {
        let Some(customer) = self.turns.pop_front() else { return };
        let Some(queue) = self.customers.get_mut(&customer) else { return };
        queue.pop_front();
        if queue.is_empty() {
            self.customers.remove(&customer);
        } else {
            self.turns.push_back(customer);
        }
    }
}
