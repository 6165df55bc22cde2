//! How long callers wait, from which a caller that was refused before is told apart.
//!
//! Answers the load of a crest: callers who were refused at its start come back with less time.
//! Their answer is late already, so that a refusal in favour of answers on time gains them nothing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Share of the usual time below which a caller has been here before: the shortest time to come
/// back is a tenth of a second.
const RETURNED_SHARE: f64 = 0.97;

/// Part of the way to a shorter time by which one caller moves the usual one.
const SHORTER_WEIGHT: f64 = 0.02;

/// The time that callers of each route usually have.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    usual: HashMap<Arc<str>, f64>,
}

impl Patience {
    /// Notes the time that a caller has; returns whether it has spent some of it before.
    pub fn note(&mut self, route: &Arc<str>, told: Duration) -> bool {
        let told = told.as_secs_f64();
        let usual = self.usual.entry(route.clone()).or_insert(told);
        // Most callers come for the first time, so that the longest time is the usual one.
        *usual = usual.max(told) - SHORTER_WEIGHT * (*usual - told).max(0.0);
        told < *usual * RETURNED_SHARE
    }
}
