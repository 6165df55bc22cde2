//! Selection among candidates: the cheapest that is in time, at random among nearly equal ones.
//!
//! Under load peaks, a request that cannot begin in time or would delay others too much is refused
//! at once with the time after which there should be capacity.

use std::time::Duration;

use crate::board::candidates::Candidate;
use crate::board::request::{Choice, Denial, DenialCause, PlacementRequest};

/// Greatest total delay that a run may cause to others. A run that would cause more is refused in
/// the same way as one that would be too late.
const MAX_INTERFERENCE_MS: f64 = 500.0;

/// Shortest time after which a refused caller is asked to retry.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Selects the cheapest candidate that is in time; `None` if there are no candidates.
pub(super) fn cheapest(
    candidates: impl Iterator<Item = Candidate>,
    request: &PlacementRequest,
) -> Option<Result<Choice, Denial>> {
    let mut feasible: Vec<Candidate> = Vec::new();
    let mut earliest: Option<Duration> = None;
    for candidate in candidates {
        let expected = candidate.choice.expected;
        earliest = Some(earliest.map_or(expected, |known| known.min(expected)));
        let in_time = expected <= request.objective || candidate.wait <= request.max_wait;
        if in_time && candidate.interference <= MAX_INTERFERENCE_MS && expected <= request.limit {
            feasible.push(candidate);
        }
    }
    match (pick(&feasible, as_ms(request.unseen), request.draw), earliest) {
        (Some(candidate), _) => Some(Ok(candidate.choice)),
        (None, Some(earliest)) => Some(Err(too_late(earliest.saturating_sub(request.objective)))),
        (None, None) => None,
    }
}

/// Selects by `draw` among the candidates that cost at most `spread` milliseconds more than the
/// cheapest one.
///
/// Instances that do not yet know of each other's choices would otherwise all take the cheapest
/// endpoint and queue there while nearly equal ones stay idle.
pub(super) fn pick(candidates: &[Candidate], spread: f64, draw: f64) -> Option<Candidate> {
    let least = candidates.iter().map(|candidate| candidate.cost).min_by(f64::total_cmp)?;
    let near: Vec<&Candidate> =
        candidates.iter().filter(|candidate| candidate.cost <= least + spread).collect();
    near.get((draw * near.len() as f64) as usize).or(near.last()).map(|candidate| **candidate)
}

pub(super) fn too_late(retry_after: Duration) -> Denial {
    Denial { cause: DenialCause::TooLate, retry_after: retry_after.max(MIN_RETRY_AFTER) }
}

pub(super) fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
