//! Endpoints that have announced their shutdown, kept longer than their entries in the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::moment::Moment;

/// Time for which the announcement of an unlisted endpoint is kept, in case its entry expired
/// and is listed again.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Leaver {
    born: u64,
    name_hash: u64,
    since: Moment,
    /// Whether the endpoint itself announced it to this instance.
    direct: bool,
}

/// Endpoints that have announced their shutdown, by name.
#[derive(Clone, Debug, Default)]
pub struct Leavers {
    known: HashMap<Arc<str>, Leaver>,
}

impl Leavers {
    /// Records the announcement of the endpoint process that started at `born`. `direct` is set if
    /// the endpoint itself announced it to this instance.
    pub fn note(&mut self, name: Arc<str>, born: u64, direct: bool, now: Moment) {
        let name_hash = crate::assign::name_hash(&name);
        self.known.insert(name, Leaver { born, name_hash, since: now, direct });
    }

    /// Whether the endpoint process that started at `born` has announced its shutdown.
    pub fn contains(&self, name: &str, born: u64) -> bool {
        self.known.get(name).is_some_and(|leaver| leaver.born == born)
    }

    /// Name hashes and start times of the endpoints that announced their shutdown to this instance
    /// in the last `within`.
    pub fn recent(&self, within: Duration, now: Moment) -> Vec<(u64, u64)> {
        let recent =
            self.known.values().filter(|known| known.direct && now.since(known.since) < within);
        let mut recent: Vec<(u64, u64)> =
            recent.map(|known| (known.name_hash, known.born)).collect();
        recent.sort_unstable();
        recent
    }

    /// Removes announcements older than [`RETENTION`] of endpoints that are not `listed`.
    pub fn expire(&mut self, listed: impl Fn(&str) -> bool, now: Moment) {
        self.known.retain(|name, known| now.since(known.since) < RETENTION || listed(name));
    }
}
