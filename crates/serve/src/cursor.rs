//! How far a table of the store has been followed.

use agatestair_policy::Moment;

use crate::store::{Changes, Row};

/// Changes of a table that one instance passes on to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableNews {
    /// Version after which all changes are among the rows.
    pub since: u64,
    /// Version up to which all changes are among them.
    pub upto: u64,
    /// The changes, in their order.
    pub rows: Vec<Row>,
}

/// How far a table has been followed.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    /// Version up to which all changes are known; `None` before the first reading.
    pub known: Option<u64>,
    /// Version of the latest change that was seen.
    pub tip: u64,
    /// No change lies between this version and `known`.
    base: u64,
    /// Version of the latest change that another instance has seen.
    heard: u64,
    /// Since when that one is missing here.
    behind: Option<Moment>,
    /// Whether the store has forgotten changes that were asked for.
    forgotten: bool,
}

impl Cursor {
    /// Takes over an answer of the store, and returns its news for others.
    ///
    /// A whole reading does not show rows that were removed before it. The table is followed from
    /// the last change that the reading shows, so that the next call tells of those.
    pub fn note_answer(&mut self, changes: &Changes, whole: bool) -> Option<TableNews> {
        let since = self.base;
        let last = changes.rows.iter().map(|row| row.version).max();
        self.tip = self.tip.max(last.unwrap_or_default());
        if whole {
            let from = last.filter(|_| !self.forgotten).unwrap_or(changes.version);
            self.base = from;
            if changes.version >= self.heard {
                // It may have been a removal, which a whole reading does not show.
                self.tip = self.tip.max(self.heard);
            }
            self.advance(from);
            return None;
        }
        self.base = self.base.max(last.unwrap_or_default());
        self.advance(changes.version);
        let rows = changes.rows.clone();
        last.map(|_| TableNews { since, upto: changes.version, rows })
    }

    /// Takes over news of another instance; returns the rows that are new, none if a change before
    /// them is missing.
    pub fn note_news(&mut self, news: TableNews, now: Moment) -> Vec<Row> {
        let Some(known) = self.known else { return Vec::new() };
        self.note_tip(news.rows.iter().map(|row| row.version).max().unwrap_or_default(), now);
        if known < news.since || known >= news.upto {
            return Vec::new();
        }
        let rows: Vec<Row> = news.rows.into_iter().filter(|row| row.version > known).collect();
        let last = rows.iter().map(|row| row.version).max().unwrap_or_default();
        self.tip = self.tip.max(last);
        self.base = self.base.max(last);
        self.advance(news.upto);
        rows
    }

    /// Another instance knows that no change lies between two versions.
    pub fn note_span(&mut self, base: u64, known: u64) {
        if self.known.is_some_and(|own| (base..known).contains(&own)) {
            self.known = Some(known);
        }
    }

    /// The versions between which no change lies, for [`Cursor::note_span`].
    pub fn span(&self) -> (u64, u64) {
        (self.base, self.known.unwrap_or(self.base))
    }

    /// Another instance has seen a change with a version.
    pub fn note_tip(&mut self, tip: u64, now: Moment) {
        if self.known.is_some() && tip > self.tip {
            self.heard = self.heard.max(tip);
            self.behind.get_or_insert(now);
        }
    }

    /// Whether the change that is missing here should have been among the store's answers: a store
    /// that loses its history may pass a change over. Only a whole reading shows it then.
    pub fn is_doubtful(&self) -> bool {
        self.behind.is_some() && self.known.is_some_and(|known| self.heard <= known)
    }

    /// Since when a change is known to be missing here.
    pub fn behind(&self) -> Option<Moment> {
        self.behind
    }

    /// The store no longer has the changes after `known`; the table is to be read whole.
    pub fn forget(&mut self) {
        self.known = None;
        self.forgotten = true;
    }

    fn advance(&mut self, version: u64) {
        self.known = self.known.max(Some(version));
        if self.tip >= self.heard {
            self.behind = None;
        }
    }
}
