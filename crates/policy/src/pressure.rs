//! Decides what is dropped when the memory that callers may hold is used up.

use std::cmp::Reverse;
use std::time::Duration;

/// Memory that one caller holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Identifies the holding.
    pub key: u64,
    /// Bytes that are held.
    pub bytes: usize,
    /// Time since it began.
    pub age: Duration,
    /// Time without progress.
    pub still: Duration,
}

/// When a holding counts as stalled or slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PressureSettings {
    /// Time without progress after which a holding is stalled. A sender whose packet was lost once
    /// resumes within this time.
    pub stall: Duration,
    /// Bytes per second below which a holding is slow.
    pub floor: f64,
}

impl Default for PressureSettings {
    fn default() -> Self {
        // A body of 4 MiB at this rate takes 64 s, several times the idle timeout of callers.
        Self { stall: Duration::from_millis(500), floor: 64.0 * 1024.0 }
    }
}

/// How soon a holding is dropped; lower values first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rank {
    Stalled,
    Slow,
    Larger,
}

/// Chooses what is dropped so that at least `short` bytes become free for a request that holds
/// `wanted` bytes afterwards: stalled holdings first, then slow ones, then those that are larger than
/// `wanted`, of each kind the largest first.
///
/// Returns nothing if that would not free enough, since dropping a part helps nobody.
pub fn choose_drops(
    holdings: &[Holding],
    wanted: usize,
    short: usize,
    settings: &PressureSettings,
) -> Vec<u64> {
    let ranked = holdings.iter().filter(|holding| holding.bytes > 0);
    let ranked = ranked.filter_map(|holding| Some((rank(holding, wanted, settings)?, holding)));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_by_key(|(rank, holding)| {
        (*rank, Reverse(holding.bytes), Reverse(holding.still), holding.key)
    });
    let (mut freed, mut drops) = (0, Vec::new());
    for (_, holding) in ranked {
        if freed >= short {
            break;
        }
        freed += holding.bytes;
        drops.push(holding.key);
    }
    if freed >= short { drops } else { Vec::new() }
}

fn rank(holding: &Holding, wanted: usize, settings: &PressureSettings) -> Option<Rank> {
    let rate = holding.bytes as f64 / holding.age.as_secs_f64();
    if holding.still >= settings.stall {
        Some(Rank::Stalled)
    } else if holding.age >= settings.stall && rate < settings.floor {
        Some(Rank::Slow)
    } else {
        (holding.bytes > wanted).then_some(Rank::Larger)
    }
}
