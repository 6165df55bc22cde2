//! Requests that were refused because of rate limits, before which less urgent ones have to yield.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::moment::Moment;

/// Time for which less urgent requests yield. The caller of the refused one is asked to return
/// within about this time.
const YIELD_TIME: Duration = Duration::from_secs(1);

/// The most urgent request of each service that was refused lately.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    latest: HashMap<Arc<str>, (u8, Moment)>,
}

impl Refusals {
    /// Records that a request of a service was refused; rank 0 is the most urgent.
    pub fn note(&mut self, service: &Arc<str>, rank: u8, now: Moment) {
        self.latest.retain(|_, (_, at)| now.since(*at) < YIELD_TIME);
        if !self.is_before(service, rank, now) {
            self.latest.insert(service.clone(), (rank, now));
        }
    }

    /// Whether a request more urgent than `rank` was refused lately.
    pub fn is_before(&self, service: &str, rank: u8, now: Moment) -> bool {
        let current = |(_, at): &&(u8, Moment)| now.since(*at) < YIELD_TIME;
        self.latest.get(service).filter(current).is_some_and(|(refused, _)| *refused < rank)
    }
}
