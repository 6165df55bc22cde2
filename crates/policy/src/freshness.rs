//! How long ago an instance certainly knew all acknowledged changes of a row.
//!
//! Instances pass proofs on to each other as times of the store's clock. Each instance maps this
//! clock to its own one by the calls that it has made itself, so that neither a late datagram nor a
//! pause of the process makes a proof look younger than it is.

use std::time::Duration;

use crate::moment::Moment;

/// Largest difference in speed between two clocks.
const MAX_DRIFT: f64 = 0.001;

/// Largest rounding error of a difference between two clocks, in milliseconds.
const ROUNDING_MS: u64 = 2;

/// Latest time of the store's clock, as this instance knows it.
///
/// Moments are those of a clock that also runs while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// The latest time that the clock can have shown at the moment, in milliseconds.
    latest: Option<(u64, Moment)>,
    /// The time that it had shown at least at the moment of the last answer, in milliseconds.
    earliest: Option<(u64, Moment)>,
}

impl StoreClock {
    /// Records that the store's clock showed `store_ms` when the store handled a call that was sent
    /// at `sent` and answered at `received`. Returns whether the clock has been restarted since the
    /// last call, so that earlier times cannot be compared with it.
    pub fn note(&mut self, store_ms: u64, sent: Moment, received: Moment) -> bool {
        // It showed at most this when the call was sent, and at least this when it was answered.
        let has_restarted = self.latest_ms(received).is_some_and(|latest| latest < store_ms)
            || self.earliest_ms(sent).is_some_and(|earliest| store_ms < earliest);
        let is_closer = self.latest_ms(sent).is_none_or(|latest| store_ms < latest);
        if has_restarted || is_closer {
            self.latest = Some((store_ms, sent));
        }
        self.earliest = Some((store_ms, received));
        has_restarted
    }

    /// Earliest time that the store's clock may show if it has not been restarted.
    fn earliest_ms(&self, now: Moment) -> Option<u64> {
        let (at_ms, at) = self.earliest?;
        let passed = now.since(at).mul_f64(1.0 - MAX_DRIFT);
        let passed = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        Some(at_ms.saturating_add(passed).saturating_sub(ROUNDING_MS))
    }

    /// Latest time that the store's clock may show; `None` if the store has never answered.
    pub fn latest_ms(&self, now: Moment) -> Option<u64> {
        let (at_ms, at) = self.latest?;
        let passed = now.since(at).mul_f64(1.0 + MAX_DRIFT);
        let passed = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        Some(at_ms.saturating_add(passed).saturating_add(ROUNDING_MS))
    }
}

/// A version of a row that was the newest one at a time of the store's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Proof {
    /// Version of the row.
    pub row: u64,
    /// Timeline of the store to which the version belongs, if the store names one.
    pub timeline: Option<u64>,
    /// The store's time in milliseconds.
    pub at_ms: u64,
}

/// The row that an instance serves by, and until when it certainly knew all changes of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// The store's clock.
    clock: StoreClock,
    /// Version of the row, and its timeline.
    row: Option<(u64, Option<u64>)>,
    /// The store's time up to which all changes are known.
    proven_ms: Option<u64>,
}

impl Freshness {
    /// Records the version of the row that this instance serves by.
    ///
    /// What was proven before stays true, since a newer version includes all earlier changes.
    pub fn note_row(&mut self, row: u64, timeline: Option<u64>) {
        self.row = Some((row, timeline));
    }

    /// The version of the row that this instance serves by.
    pub fn row(&self) -> Option<u64> {
        self.row.map(|(row, _)| row)
    }

    /// Whether anything was ever proven.
    pub fn is_proven(&self) -> bool {
        self.proven_ms.is_some()
    }

    /// Records the time of the store's clock during a call, see [`StoreClock::note`].
    pub fn note_clock(&mut self, store_ms: u64, sent: Moment, received: Moment) {
        if self.clock.note(store_ms, sent, received) {
            // A later time of the former run would hide all proofs of this one.
            self.proven_ms = None;
        }
    }

    /// Records a proof. Returns `false` if this instance lacks the version that it is about, or
    /// follows another timeline.
    pub fn note_proof(&mut self, proof: Proof, now: Moment) -> bool {
        let covers =
            self.row.is_some_and(|(row, timeline)| row >= proof.row && timeline == proof.timeline);
        // A proof from the future belongs to another run of the store's clock. Without a call of
        // its own, an instance cannot tell which run a proof belongs to.
        let is_dated = self.clock.latest_ms(now).is_some_and(|latest| proof.at_ms <= latest);
        if covers && is_dated {
            self.proven_ms = self.proven_ms.max(Some(proof.at_ms));
        }
        covers
    }

    /// Longest time for which this instance may lack a change; `None` if nothing bounds it.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let latest = self.clock.latest_ms(now)?;
        let age = Duration::from_millis(latest.checked_sub(self.proven_ms?)?);
        // The store's clock may be slower than the own one.
        Some(age.mul_f64(1.0 + 2.0 * MAX_DRIFT))
    }
}
