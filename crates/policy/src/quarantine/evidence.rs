//! What crashes tell about a suspect.

use std::time::Duration;

use crate::moment::Moment;

/// Crashes within this time of each other count as one, since they may have a common cause outside
/// the endpoints, for example the loss of a rack.
const SAME_CAUSE: Duration = Duration::from_millis(100);

/// Crashes after which a part is quarantined.
pub(super) const MIN_CRASHES: usize = 3;

/// The same for a part of which a run survived shortly before.
const PROVEN_CRASHES: usize = 5;

/// Crashes of a part, even within [`SAME_CAUSE`], after which one that recurs is sufficient.
const MASS_CRASHES: usize = 5;

/// Time after crashes from which on another one counts as recurrence. By then other instances have
/// reported runs that survived.
const RECURRED_AFTER: Duration = Duration::from_millis(500);

/// Crashes of a part from which on runs that survive are reported to other instances.
const DOUBTED_CRASHES: usize = 2;

/// Times of the crashes that a suspect may have caused.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence(Vec<Moment>);

impl Evidence {
    pub(super) fn add(&mut self, at: Moment) {
        let index = self.0.partition_point(|known| *known <= at);
        self.0.insert(index, at);
    }

    /// Number of crashes.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Time of the first crash.
    pub(super) fn first(&self) -> Option<Moment> {
        self.0.first().copied()
    }

    /// Number of crashes, where those within [`SAME_CAUSE`] of each other count once.
    pub(super) fn distinct(&self) -> usize {
        let mut count = 0;
        let mut last: Option<Moment> = None;
        for at in &self.0 {
            if last.is_none_or(|last| at.since(last) >= SAME_CAUSE) {
                count += 1;
                last = Some(*at);
            }
        }
        count
    }

    /// Whether it is sufficient to quarantine a suspect of which a run survived shortly before.
    pub(super) fn is_sufficient_for_proven(&self) -> bool {
        self.distinct() >= PROVEN_CRASHES
    }

    /// Whether it is sufficient to quarantine a part of prompts.
    pub(super) fn is_sufficient_for_part(&self) -> bool {
        self.distinct() >= MIN_CRASHES || self.has_recurred()
    }

    /// Whether it is sufficient to quarantine a request.
    pub(super) fn is_sufficient_for_request(&self) -> bool {
        self.is_sufficient_for_part() || self.has_repeated()
    }

    /// Whether other instances should know of runs that survived.
    pub(super) fn is_doubted(&self) -> bool {
        self.distinct() >= DOUBTED_CRASHES || self.len() >= MASS_CRASHES
    }

    /// Whether one request was in enough crashes, not all of them at the same moment. Unlike the parts
    /// of prompts, it is seldom at several endpoints when they end for another reason.
    fn has_repeated(&self) -> bool {
        let span = self.0.first().zip(self.0.last());
        self.len() >= MIN_CRASHES
            && span.is_some_and(|(first, last)| last.since(*first) >= RECURRED_AFTER)
    }

    /// Whether a crash followed many others after a while.
    fn has_recurred(&self) -> bool {
        let mass = self.0.get(MASS_CRASHES - 1).zip(self.0.last());
        mass.is_some_and(|(mass, last)| last.since(*mass) >= RECURRED_AFTER)
    }
}
