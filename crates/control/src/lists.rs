//! The current revision of the two lists (plans and allowances).

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::link::ListsPush;
use agatestair_schema::lists::Lists;

/// Result of [`CurrentLists::offer`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// The offered lists were applied.
    Accepted,
    /// This revision was applied already.
    Same,
    /// A newer revision was applied already.
    Older,
}

/// The lists as last applied; their revision never decreases.
pub struct CurrentLists {
    lists: Option<Arc<Lists>>,
    text: Arc<str>,
    revision_guard: bool,
    confirmed: Option<Moment>,
    store: Option<Moment>,
    peer: Option<Moment>,
    first_peer: Option<Moment>,
}

impl CurrentLists {
    /// Starts without lists. `revision_guard` is disabled only in tests of the checker.
    pub fn new(revision_guard: bool) -> Self {
        Self {
            lists: None,
            text: "".into(),
            revision_guard,
            confirmed: None,
            store: None,
            peer: None,
            first_peer: None,
        }
    }

    /// Revision of the current lists; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.lists.as_ref().map_or(0, |lists| lists.revision)
    }

    /// The current lists, if any.
    pub fn lists(&self) -> Option<&Arc<Lists>> {
        self.lists.as_ref()
    }

    /// Applies lists unless the current ones are newer; `text` is their JSON text.
    pub fn offer(&mut self, lists: Lists, text: &str) -> OfferResult {
        let current = self.revision();
        if self.lists.is_some() && lists.revision == current {
            return OfferResult::Same;
        }
        if lists.revision < current && self.revision_guard {
            return OfferResult::Older;
        }
        self.lists = Some(Arc::new(lists));
        self.text = text.into();
        OfferResult::Accepted
    }

    /// Records that the store or a peer confirmed the current revision.
    pub fn confirm(&mut self, now: Moment) {
        self.confirmed = Some(now);
    }

    /// When the current revision was last confirmed.
    pub fn confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// Records a successful read of the store.
    pub fn note_store(&mut self, now: Moment) {
        self.store = Some(now);
    }

    /// Whether the store was read since this process started.
    pub fn has_read(&self) -> bool {
        self.store.is_some()
    }

    /// Records a heartbeat of a peer.
    pub fn note_peer(&mut self, now: Moment) {
        self.peer = Some(now);
        self.first_peer.get_or_insert(now);
    }

    /// Whether the current lists are fresh enough for the entry to rely on.
    ///
    /// The store must have been read or a peer heartbeat received within `max_silence`. A process
    /// that has not read the store since its start must also wait for `peer_wait` after the first
    /// heartbeat, so that the highest revision of any peer can reach it.
    pub fn is_fresh(&self, now: Moment, max_silence: Duration, peer_wait: Duration) -> bool {
        let is_recent = |at: Option<Moment>| at.is_some_and(|at| now.since(at) < max_silence);
        let caught_up =
            self.store.is_some() || self.first_peer.is_some_and(|at| now.since(at) >= peer_wait);
        self.lists.is_some() && caught_up && (is_recent(self.store) || is_recent(self.peer))
    }

    /// Message that sends the lists to a peer or the entry.
    pub fn push(&self) -> Option<ListsPush> {
        let lists = self.lists.as_ref()?;
        Some(ListsPush { revision: lists.revision, document: self.text.to_string() })
    }
}
