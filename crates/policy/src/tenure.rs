//! Which instance performs the duties that only one may perform at a time.
//!
//! The holder is named by one row of the store. Each act of a holder is committed under the
//! condition that the row is unchanged, so that nobody acts after another one has taken over, and no
//! lease has to be renewed. What is decided here is when another instance may take over, and from
//! when on it may act.

use std::sync::Arc;
use std::time::Duration;

use crate::moment::Moment;

/// Time without an announcement of the holder after which others look for it: two lost
/// announcements and a margin.
const SILENCE: Duration = Duration::from_millis(2600);

/// Time by which an instance waits for each better ranked one before it takes over.
const STAGGER: Duration = Duration::from_millis(400);

/// Longest time by which an instance waits for better ranked ones.
const MAX_STAGGER: Duration = Duration::from_secs(4);

/// Time between two readings of the row.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Time after which the holder reads its row again, so that it notices a store that it cannot reach.
const CONFIRM_PAUSE: Duration = Duration::from_secs(1);

/// Time without a confirmation by the store after which a tenure ends. Others would otherwise never
/// replace a holder that reaches them, but not the store. It is shorter than a new holder waits
/// before it acts, so that a holder that was suspended does not act again if the store is meanwhile
/// restored from a copy of its own tenure.
const CONFIRMED_TIME: Duration = Duration::from_secs(3);

/// Time added to the lease before the row of a silent holder counts as abandoned.
const ABANDONED_MARGIN: Duration = Duration::from_millis(500);

/// Time added to the lease before a new holder acts.
const START_MARGIN: Duration = Duration::from_millis(200);

/// The row that names the holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderRow {
    /// Name of the instance.
    pub holder: Arc<str>,
    /// Start time of its process in Unix milliseconds.
    pub born: u64,
    /// Fencing token, which rises with each new holder.
    pub fencing: u64,
    /// Whether the holder has given the duties up.
    pub released: bool,
}

/// The right to act, as of one version of the row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// Fencing token.
    pub fencing: u64,
    /// Version of the row.
    pub version: u64,
}

/// What an instance does next about the duties.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TenureStep {
    /// Nothing.
    Wait,
    /// It reads the row.
    Read,
    /// It replaces the row.
    Take {
        /// The new row.
        row: HolderRow,
        /// Version that is replaced; 0 if there is no row.
        version: u64,
    },
}

/// The row as it was last read.
#[derive(Clone, Debug)]
struct Seen {
    row: Option<HolderRow>,
    version: u64,
    /// When this version was first seen.
    since: Moment,
    read: Moment,
    /// Whether the holder's process is known to have ended.
    gone: bool,
}

/// The duties as one process sees them. Moments are those of a clock that also runs while the
/// machine is suspended.
#[derive(Clone, Debug)]
pub struct Tenures {
    own: Arc<str>,
    born: u64,
    lease: Duration,
    /// Last announcement of another holder, at first the start of this process.
    heard: Moment,
    seen: Option<Seen>,
    held: Option<Tenure>,
    /// When the holder may act.
    from: Moment,
    /// When the store last confirmed the tenure.
    confirmed: Moment,
    /// Fencing token of a replacement of the row whose outcome is not known.
    attempted: Option<u64>,
    /// Largest fencing token that was seen, which a store that was restored from a copy may not know.
    highest: u64,
}

impl Tenures {
    /// State of the process of the instance `own` that started at `born`, in Unix milliseconds.
    pub fn new(own: Arc<str>, born: u64, lease: Duration, now: Moment) -> Self {
        Self {
            own,
            born,
            lease,
            heard: now,
            seen: None,
            held: None,
            from: now,
            confirmed: now,
            attempted: None,
            highest: 0,
        }
    }

    /// The right to act now.
    pub fn current(&self, now: Moment) -> Option<Tenure> {
        self.announced(now).filter(|_| now >= self.from)
    }

    /// The right to act now or soon.
    pub fn held(&self) -> Option<Tenure> {
        self.held
    }

    /// Ends a tenure that the store has not confirmed for too long; returns whether it did.
    pub fn expire(&mut self, now: Moment) -> bool {
        let expired = self.held.is_some() && self.announced(now).is_none();
        if expired {
            self.lose(now);
        }
        expired
    }

    /// The tenure to announce: one that the store has confirmed lately.
    pub fn announced(&self, now: Moment) -> Option<Tenure> {
        self.held.filter(|_| now.since(self.confirmed) < CONFIRMED_TIME)
    }

    /// Records that the store has confirmed a tenure by a transaction sent at `at`.
    pub fn note_confirmed(&mut self, tenure: Tenure, at: Moment, now: Moment) {
        if self.announced(now) == Some(tenure) {
            self.confirmed = self.confirmed.max(at);
        }
    }

    /// Whether the row names this process as holder with this fencing token.
    fn is_own(&self, row: &HolderRow, fencing: Option<u64>) -> bool {
        row.holder == self.own
            && row.born == self.born
            && !row.released
            && Some(row.fencing) == fencing
    }

    /// Records that another instance announced itself as the holder; returns whether this instance
    /// loses the duties by that.
    pub fn note_announced(&mut self, fencing: u64, now: Moment) -> bool {
        // A former holder may not know yet that it was replaced.
        if fencing < self.highest {
            return false;
        }
        self.highest = fencing;
        self.heard = now;
        // The time for which the row is unchanged counts from the end of the announcements.
        self.seen = None;
        self.held.take().is_some()
    }

    /// Records the row as it was read; `gone` says whether the holder's process has ended. Returns
    /// whether this instance loses the duties by that.
    pub fn note_row(
        &mut self,
        row: Option<HolderRow>,
        version: u64,
        gone: bool,
        now: Moment,
    ) -> bool {
        let since = self.seen.as_ref().filter(|seen| seen.version == version);
        let since = since.map_or(now, |seen| seen.since);
        let row_fencing = row.as_ref().map_or(0, |row| row.fencing);
        let names = |fencing| row.as_ref().is_some_and(|row| self.is_own(row, fencing));
        // Other tokens of this process belong to ended tenures: the store was restored from a copy,
        // or the platform refused the token.
        let keeps = self.announced(now).is_some_and(|held| held.version == version)
            && names(self.held.map(|held| held.fencing));
        let adopts = self.held.is_none() && self.attempted.is_some() && names(self.attempted);
        let lost = self.held.is_some() && !keeps;
        self.highest = self.highest.max(row_fencing);
        self.seen = Some(Seen { row, version, since, read: now, gone });
        if lost {
            self.held = None;
        }
        if adopts {
            // The outcome of the transaction that took the duties was not known.
            self.held = Some(Tenure { fencing: row_fencing, version });
            self.from = now + self.lease + START_MARGIN;
            self.attempted = None;
        }
        if keeps || adopts {
            self.confirmed = now;
        }
        lost
    }

    /// Records that this instance has replaced the row, which now has `version`.
    pub fn note_taken(&mut self, row: &HolderRow, version: u64, now: Moment) {
        // Also without a former row, or after an own one: the store may have been restored from a
        // copy that does not name the latest holder.
        self.from = now + self.lease + START_MARGIN;
        self.held = Some(Tenure { fencing: row.fencing, version });
        self.highest = self.highest.max(row.fencing);
        self.confirmed = now;
        self.attempted = None;
        self.seen = None;
    }

    /// Records that the outcome of replacing the row is not known.
    pub fn note_attempted(&mut self, row: &HolderRow) {
        self.attempted = Some(row.fencing);
        self.highest = self.highest.max(row.fencing);
        // The row is read before anything else is decided.
        self.seen = None;
    }

    /// Gives the duties up; returns the row that says so.
    pub fn release(&mut self) -> Option<(HolderRow, Tenure)> {
        let held = self.held.take()?;
        let row = HolderRow {
            holder: self.own.clone(),
            born: self.born,
            fencing: held.fencing,
            released: true,
        };
        Some((row, held))
    }

    /// Ends the tenure after a call or a transaction was refused.
    pub fn lose(&mut self, now: Moment) {
        self.held = None;
        self.seen = None;
        self.heard = now;
    }

    /// Decides what to do. `ahead` is the number of better ranked instances that are alive, and
    /// `unix_ms` the time of day, which keeps tokens rising if the store was restored from a copy.
    pub fn step(&self, ahead: usize, unix_ms: u64, now: Moment) -> TenureStep {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let stagger = STAGGER.saturating_mul(ahead).min(MAX_STAGGER);
        if self.held.is_some() {
            let read = self.seen.as_ref().map(|seen| seen.read).max(Some(self.confirmed));
            let due = read.is_none_or(|read| now.since(read) >= CONFIRM_PAUSE);
            return if due { TenureStep::Read } else { TenureStep::Wait };
        }
        if now.since(self.heard) < SILENCE + stagger {
            return TenureStep::Wait;
        }
        let Some(seen) = &self.seen else { return TenureStep::Read };
        if self.may_take(seen, now) {
            let former = seen.row.as_ref().map_or(0, |row| row.fencing);
            let row = HolderRow {
                holder: self.own.clone(),
                born: self.born,
                fencing: (former.max(self.highest) + 1).max(unix_ms),
                released: false,
            };
            return TenureStep::Take { row, version: seen.version };
        }
        if now.since(seen.read) >= READ_PAUSE { TenureStep::Read } else { TenureStep::Wait }
    }

    fn may_take(&self, seen: &Seen, now: Moment) -> bool {
        let Some(row) = &seen.row else { return true };
        let free = row.released || row.holder == self.own || seen.gone;
        free || now.since(seen.since) >= self.lease + ABANDONED_MARGIN
    }
}
