//! Position of an instance in the changes of a table of the store.

use std::collections::HashSet;

use agatestair_policy::Moment;

use crate::store::{Changes, Row, RowKey};

/// Changes of a table that one instance sends to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableUpdate {
    /// Exclusive start of the range of versions that the rows cover completely.
    pub since: u64,
    /// Inclusive end of this range.
    pub upto: u64,
    /// Changed rows, ordered by version.
    pub rows: Vec<Row>,
}

/// Position of an instance in the changes of a table.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    /// Version up to which all changes are known; `None` before the first read.
    pub known: Option<u64>,
    /// Version of the latest change that was seen.
    pub tip: u64,
    /// There are no changes between this version and `known`.
    base: u64,
    /// Version of the latest change that any other instance has reported.
    peer_tip: u64,
    /// Since when the change at `peer_tip` is missing here.
    behind: Option<Moment>,
    /// Whether the store no longer had changes that were requested.
    history_lost: bool,
    /// When the table is to be read again because the store was restored; `None` once it was read.
    restart: Option<Moment>,
    /// Keys of the rows that cannot be parsed.
    malformed: HashSet<RowKey>,
}

impl Cursor {
    /// Advances by a response of the store, and returns the changes to send to other instances.
    ///
    /// A full read does not show rows that were removed before it. The table is therefore followed
    /// from the last change that the full read shows, so that the next call returns the removals.
    pub fn note_response(&mut self, changes: &Changes, full: bool) -> Option<TableUpdate> {
        let since = self.base;
        let last = changes.rows.iter().map(|row| row.version).max();
        self.tip = self.tip.max(last.unwrap_or_default());
        if full {
            self.restart = None;
            let from = last.filter(|_| !self.history_lost).unwrap_or(changes.version);
            self.base = from;
            if changes.version >= self.peer_tip {
                // The missing change may be a removal, which a full read does not show.
                self.tip = self.tip.max(self.peer_tip);
            }
            self.advance(from);
            return None;
        }
        self.base = self.base.max(last.unwrap_or_default());
        self.advance(changes.version);
        let rows = changes.rows.clone();
        last.map(|_| TableUpdate { since, upto: changes.version, rows })
    }

    /// Advances by changes from another instance; returns the rows that are new here, or none if
    /// there is a gap before them.
    ///
    /// Changes since version 0 are the whole table, which makes the reading after a restore
    /// unnecessary.
    pub fn note_update(&mut self, update: TableUpdate, now: Moment) -> Vec<Row> {
        let whole = self.restart.is_some() && update.since == 0;
        let Some(known) = self.known.or(whole.then_some(0)) else { return Vec::new() };
        self.note_tip(update.rows.iter().map(|row| row.version).max().unwrap_or_default(), now);
        if known < update.since || known >= update.upto {
            return Vec::new();
        }
        let rows: Vec<Row> = update.rows.into_iter().filter(|row| row.version > known).collect();
        let last = rows.iter().map(|row| row.version).max().unwrap_or_default();
        self.tip = self.tip.max(last);
        self.base = self.base.max(last);
        self.restart = None;
        self.advance(update.upto);
        rows
    }

    /// Advances to `known` if another instance reports that there are no changes after `base` up to
    /// `known`.
    pub fn note_span(&mut self, base: u64, known: u64) {
        if self.known.is_some_and(|own| (base..known).contains(&own)) {
            self.known = Some(known);
        }
    }

    /// Range of versions without changes, as arguments of [`Cursor::note_span`].
    pub fn span(&self) -> (u64, u64) {
        (self.base, self.known.unwrap_or(self.base))
    }

    /// Records that another instance has seen the change with version `tip`.
    pub fn note_tip(&mut self, tip: u64, now: Moment) {
        if self.known.is_some() && tip > self.tip {
            self.peer_tip = self.peer_tip.max(tip);
            self.behind.get_or_insert(now);
        }
    }

    /// Whether the missing change should already have been in the store's responses. A store that
    /// loses history may skip a change; only a full read shows it then.
    pub fn may_have_skipped(&self) -> bool {
        self.behind.is_some() && self.known.is_some_and(|known| self.peer_tip <= known)
    }

    /// Since when a change that another instance has seen is missing here.
    pub fn behind(&self) -> Option<Moment> {
        self.behind
    }

    /// Requests a full read, since the store no longer has the changes after `known`.
    pub fn reset(&mut self) {
        self.known = None;
        self.history_lost = true;
    }

    /// Starts anew in another timeline of the store; the table is to be read at `due`.
    pub fn restart(&mut self, due: Moment) {
        let malformed = std::mem::take(&mut self.malformed);
        *self = Self { malformed, restart: Some(due), ..Self::default() };
    }

    /// When the table is to be read again, if the store was restored since the last reading.
    pub fn restart_due(&self) -> Option<Moment> {
        self.restart
    }

    /// Records that a row cannot be parsed; returns whether this was not known before.
    pub fn note_malformed(&mut self, key: &RowKey) -> bool {
        self.malformed.insert(key.clone())
    }

    /// Records that a row can be parsed or was removed.
    pub fn note_parsed(&mut self, key: &str) {
        self.malformed.remove(key);
    }

    /// Forgets the malformed rows that are not in a full read of the table.
    pub fn retain_malformed(&mut self, keys: &[RowKey]) {
        self.malformed.retain(|key| keys.contains(key));
    }

    fn advance(&mut self, version: u64) {
        self.known = self.known.max(Some(version));
        if self.tip >= self.peer_tip {
            self.behind = None;
        }
    }
}
