//! Trials of quarantined requests, which may have stood beside the ones that crash endpoints.
//!
//! Crashes don't tell requests apart that were always in work at the same endpoints. All of them are
//! quarantined; once the crashes have ended, each is tried by itself, and released if it survives.

use std::time::Duration;

use super::report::is_fingerprint;
use super::{CERTAIN_CRASHES, Crash, Entry, Quarantine, ServicePart, TRIAL_AFTER};
use crate::moment::Moment;

/// Time without crashes of a service after which doubtful requests are tried.
const CALM: Duration = Duration::from_millis(300);

/// Time of one doubtful request of a service before the next one's turn, so that they seldom meet at
/// an endpoint.
const TURN: Duration = Duration::from_millis(500);

/// Time from the begin of a turn in which its request may be tried.
const TURN_BEGIN: Duration = Duration::from_millis(200);

/// Time until a doubtful request is tried again; ten times as long after each further trial.
const RETRIAL_AFTER: Duration = Duration::from_secs(1);

/// Largest number of trials of a doubtful request.
const MAX_TRIALS: u32 = 3;

impl Quarantine {
    /// Whether each crash that a quarantined request was in may have been caused by another one that
    /// is quarantined.
    pub fn is_doubtful(&self, part: ServicePart) -> bool {
        let is_other = |suspect: &u64| {
            let other = ServicePart { part: *suspect, ..part };
            is_fingerprint(*suspect) && other != part && self.entries.contains_key(&other)
        };
        let mut crashes = self.crashes_with(part).peekable();
        is_fingerprint(part.part)
            && crashes.peek().is_some()
            && crashes.all(|crash| crash.suspects.iter().any(is_other))
    }

    /// Whether a quarantined part is to be tried, by the instance that does this.
    pub(super) fn is_trial_due(&self, part: ServicePart, entry: &Entry, now: Moment) -> bool {
        if entry.trials == 0 && now.since(entry.since) >= TRIAL_AFTER {
            return (entry.crashes as usize) < CERTAIN_CRASHES || self.has_rival(part);
        }
        let pause = RETRIAL_AFTER * 10u32.pow(entry.trials.saturating_sub(1).min(MAX_TRIALS));
        let calm = self.calm(part.service, now);
        entry.trials < MAX_TRIALS
            && entry.tried.is_none_or(|at| now.since(at) >= pause)
            && calm >= CALM
            && self.is_doubtful(part)
            && self.has_turn(part, calm - CALM)
    }

    /// Whether another request was in each crash that a request was in.
    fn has_rival(&self, part: ServicePart) -> bool {
        let mut crashes = self.crashes_with(part);
        let Some(first) = crashes.next().filter(|_| is_fingerprint(part.part)) else {
            return false;
        };
        let others = first.suspects.iter().filter(|other| **other != part.part);
        let mut rivals: Vec<u64> = others.copied().filter(|other| is_fingerprint(*other)).collect();
        for crash in crashes {
            rivals.retain(|rival| crash.suspects.contains(rival));
        }
        !rivals.is_empty()
    }

    pub(super) fn crashes_with(&self, part: ServicePart) -> impl Iterator<Item = &Crash> {
        let of_service = self.crashes.iter().filter(move |crash| crash.service == part.service);
        of_service.filter(move |crash| crash.suspects.contains(&part.part))
    }

    /// Whether it is a doubtful request's turn, this time after it became calm: those in fewer crashes
    /// go first.
    fn has_turn(&self, part: ServicePart, time: Duration) -> bool {
        let others = self.entries.iter().filter(|(other, entry)| {
            other.service == part.service
                && entry.trials < MAX_TRIALS
                && **other != part
                && self.is_doubtful(**other)
        });
        let rank = |part: &ServicePart| (self.crashes_with(*part).count(), *part);
        let (before, after): (Vec<_>, Vec<_>) =
            others.partition(|(other, _)| rank(other) < rank(&part));
        let (turn, into) =
            (time.as_millis() / TURN.as_millis(), time.as_millis() % TURN.as_millis());
        let is_own = turn % (before.len() + after.len() + 1) as u128 == before.len() as u128;
        is_own && into < TURN_BEGIN.as_millis()
    }

    /// Time since the last crash of a service.
    fn calm(&self, service: u64, now: Moment) -> Duration {
        let crashes = self.crashes.iter().filter(|crash| crash.service == service);
        now.since(crashes.map(|crash| crash.at).max().unwrap_or_default())
    }
}
