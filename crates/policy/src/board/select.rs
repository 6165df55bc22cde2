//! Choice among ways: the cheapest that is in time, drawn where several cost the same.
//!
//! Answers crests: what cannot begin in time, or would take too much from others, is refused at once
//! with the time at which there should be room.

use std::time::Duration;

use crate::board::wanted::{Choice, Denial, DenialCause, Wanted};
use crate::board::ways::Way;

/// Time that a run may take from others at most; one that would take more is refused, as if it were
/// too late.
const MAX_HARM_MS: f64 = 500.0;

/// Shortest time after which a refused caller is asked to come back.
pub(super) const MIN_RETURN: Duration = Duration::from_millis(100);

/// The cheapest of the ways that are in time; `None` if there are no ways.
pub(super) fn within(
    ways: impl Iterator<Item = Way>,
    wanted: &Wanted,
) -> Option<Result<Choice, Denial>> {
    let mut open: Vec<Way> = Vec::new();
    let mut earliest: Option<Duration> = None;
    for way in ways {
        let expected = way.choice.expected;
        earliest = Some(earliest.map_or(expected, |known| known.min(expected)));
        let in_time = expected <= wanted.aim || way.wait <= wanted.slack;
        if in_time && way.harm <= MAX_HARM_MS && expected <= wanted.limit {
            open.push(way);
        }
    }
    match (pick(&open, as_ms(wanted.unseen), wanted.draw), earliest) {
        (Some(way), _) => Some(Ok(way.choice)),
        (None, Some(earliest)) => Some(Err(too_late(earliest.saturating_sub(wanted.aim)))),
        (None, None) => None,
    }
}

/// A way drawn from those that cost hardly more than the cheapest one.
///
/// Instances that do not know of each other's choices yet would all take the very cheapest, and
/// queue there while its equals stay idle.
pub(super) fn pick(ways: &[Way], spread: f64, draw: f64) -> Option<Way> {
    let least = ways.iter().map(|way| way.cost).min_by(f64::total_cmp)?;
    let near: Vec<&Way> = ways.iter().filter(|way| way.cost <= least + spread).collect();
    near.get((draw * near.len() as f64) as usize).or(near.last()).map(|way| **way)
}

pub(super) fn too_late(back: Duration) -> Denial {
    Denial { cause: DenialCause::TooLate, back: back.max(MIN_RETURN) }
}

pub(super) fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
