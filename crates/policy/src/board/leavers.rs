//! Endpoints that have announced their leaving, beyond their entries in the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::moment::Moment;

/// Time for which an endpoint that is no longer listed is remembered, in case its entry lapsed and
/// comes back.
const MEMORY: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Leaver {
    born: u64,
    digest: u64,
    since: Moment,
    /// Whether this instance has it from the endpoint itself.
    own: bool,
}

/// Endpoints that have announced their leaving, by name.
#[derive(Clone, Debug, Default)]
pub struct Leavers {
    known: HashMap<Arc<str>, Leaver>,
}

impl Leavers {
    /// Notes the announcement of an endpoint that started at `born`.
    pub fn note(&mut self, name: Arc<str>, born: u64, own: bool, now: Moment) {
        let digest = crate::assign::digest(&name);
        self.known.insert(name, Leaver { born, digest, since: now, own });
    }

    /// Whether the endpoint that started at `born` has announced its leaving.
    pub fn contains(&self, name: &str, born: u64) -> bool {
        self.known.get(name).is_some_and(|leaver| leaver.born == born)
    }

    /// Digests of names and starts of the endpoints that told this instance within a time.
    pub fn told(&self, within: Duration, now: Moment) -> Vec<(u64, u64)> {
        let told = self.known.values().filter(|known| known.own && now.since(known.since) < within);
        let mut told: Vec<(u64, u64)> = told.map(|known| (known.digest, known.born)).collect();
        told.sort_unstable();
        told
    }

    /// Forgets old announcements of endpoints that are not among the `listed` ones.
    pub fn expire(&mut self, listed: impl Fn(&str) -> bool, now: Moment) {
        self.known.retain(|name, known| now.since(known.since) < MEMORY || listed(name));
    }
}
