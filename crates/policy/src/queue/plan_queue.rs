//! Queue of one plan's waiting requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::keys::RequestKey;
use crate::moment::Moment;
use crate::queue::ClassQueue;
use crate::size::{CLASSES, SizeClass};

/// The facts about a waiting request that its queue needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ticket {
    pub(crate) request: RequestKey,
    pub(crate) customer: u32,
    pub(crate) class: SizeClass,
    /// Engine time that it is expected to take, in seconds.
    pub(crate) work: f64,
    pub(crate) arrived: Moment,
}

/// Requests of one plan, in classes of similar size.
///
/// The class whose head has the highest response ratio (wait plus work, divided by work) goes
/// next, so that short requests go before long ones and the rank of long ones rises as they wait.
/// A head that has waited for the age bound goes before all younger ones.
#[derive(Debug, Default)]
pub(crate) struct PlanQueue {
    classes: [ClassQueue; CLASSES],
    work: [f64; CLASSES],
    count: u32,
    customers: HashMap<u32, u32>,
}

impl PlanQueue {
    /// Appends a request.
    pub(crate) fn push(&mut self, ticket: Ticket) {
        self.classes[ticket.class.index()].push(ticket.customer, ticket);
        self.work[ticket.class.index()] += ticket.work;
        self.count += 1;
        *self.customers.entry(ticket.customer).or_default() += 1;
    }

    /// Subtracts a request that is no longer waiting from the counts; [`ClassQueue::head`] removes
    /// its ticket later.
    pub(crate) fn uncount(&mut self, ticket: &Ticket) {
        let work = &mut self.work[ticket.class.index()];
        *work = (*work - ticket.work).max(0.0);
        self.count = self.count.saturating_sub(1);
        if let Some(count) = self.customers.get_mut(&ticket.customer) {
            *count -= 1;
            if *count == 0 {
                self.customers.remove(&ticket.customer);
            }
        }
    }

    /// Removes and returns the request that should go next.
    pub(crate) fn pop(
        &mut self,
        now: Moment,
        age_bound: Duration,
        gone: &dyn Fn(RequestKey) -> bool,
    ) -> Option<Ticket> {
        let mut best: Option<(bool, f64, Ticket)> = None;
        for class in &mut self.classes {
            let Some(head) = class.head(gone) else { continue };
            let wait = now.since(head.arrived);
            let aged = wait >= age_bound;
            let ratio = wait.as_secs_f64() / head.work.max(1e-6);
            let rank = if aged { wait.as_secs_f64() } else { ratio };
            let better = best.is_none_or(|(a, r, _)| (aged, rank) > (a, r));
            if better {
                best = Some((aged, rank, head));
            }
        }
        let (_, _, ticket) = best?;
        self.classes[ticket.class.index()].pop();
        self.uncount(&ticket);
        Some(ticket)
    }

    /// Number of waiting requests.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Number of one customer's waiting requests.
    pub(crate) fn count_of(&self, customer: u32) -> u32 {
        self.customers.get(&customer).copied().unwrap_or(0)
    }

    /// Number of customers with waiting requests.
    pub(crate) fn customers(&self) -> u32 {
        u32::try_from(self.customers.len()).unwrap_or(u32::MAX)
    }

    /// Engine time of the waiting requests up to and including a size class, in seconds.
    pub(crate) fn work_up_to(&self, class: SizeClass) -> f64 {
        self.work[..=class.index()].iter().sum()
    }

    /// Engine time of all waiting requests, in seconds.
    pub(crate) fn work(&self) -> f64 {
        self.work.iter().sum()
    }
}
