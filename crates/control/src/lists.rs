//! The two lists in force.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::link::ListsPush;
use agatestair_schema::lists::Lists;

/// What became of lists that were offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// They are now in force.
    Accepted,
    /// They are in force already.
    Same,
    /// Newer ones are in force.
    Older,
}

/// Keeps the lists in force; their revision never goes down.
pub struct ListsKeeper {
    lists: Option<Arc<Lists>>,
    text: Arc<str>,
    guard: bool,
    confirmed: Option<Moment>,
    store: Option<Moment>,
    peer: Option<Moment>,
    first_peer: Option<Moment>,
}

impl ListsKeeper {
    /// Knows no lists. `guard` is off only in tests of the checker.
    pub fn new(guard: bool) -> Self {
        Self {
            lists: None,
            text: "".into(),
            guard,
            confirmed: None,
            store: None,
            peer: None,
            first_peer: None,
        }
    }

    /// Revision in force, 0 if none.
    pub fn revision(&self) -> u64 {
        self.lists.as_ref().map_or(0, |lists| lists.revision)
    }

    /// Lists in force.
    pub fn lists(&self) -> Option<&Arc<Lists>> {
        self.lists.as_ref()
    }

    /// Takes over lists unless newer ones are in force; `text` is their JSON text.
    pub fn offer(&mut self, lists: Lists, text: &str) -> Offer {
        let current = self.revision();
        if self.lists.is_some() && lists.revision == current {
            return Offer::Same;
        }
        if lists.revision < current && self.guard {
            return Offer::Older;
        }
        self.lists = Some(Arc::new(lists));
        self.text = text.into();
        Offer::Accepted
    }

    /// Notes that the store or a peer confirmed the revision in force.
    pub fn confirm(&mut self, now: Moment) {
        self.confirmed = Some(now);
    }

    /// When the revision in force was last confirmed.
    pub fn confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// Notes that the store was read.
    pub fn note_store(&mut self, now: Moment) {
        self.store = Some(now);
    }

    /// Whether the store was read since the start.
    pub fn has_read(&self) -> bool {
        self.store.is_some()
    }

    /// Notes a heartbeat of a peer.
    pub fn note_peer(&mut self, now: Moment) {
        self.peer = Some(now);
        self.first_peer.get_or_insert(now);
    }

    /// Whether the revision in force may be relied on.
    ///
    /// The store or a peer must have been heard within `bound`. A process that has not read the
    /// store since its start has first to hear its peers for `learn`, so that the highest revision
    /// that any of them has reaches it.
    pub fn is_fresh(&self, now: Moment, bound: Duration, learn: Duration) -> bool {
        let lately = |at: Option<Moment>| at.is_some_and(|at| now.since(at) < bound);
        let learnt =
            self.store.is_some() || self.first_peer.is_some_and(|at| now.since(at) >= learn);
        self.lists.is_some() && learnt && (lately(self.store) || lately(self.peer))
    }

    /// The message that hands the lists to a peer or entry.
    pub fn push(&self) -> Option<ListsPush> {
        let lists = self.lists.as_ref()?;
        Some(ListsPush { revision: lists.revision, document: self.text.to_string() })
    }
}
