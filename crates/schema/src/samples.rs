//! Keeps the samples of service-level counters few: the older a sample, the wider its spacing.

use crate::slo::SloSample;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Spacing of the samples up to an age.
struct Tier {
    max_age: u64,
    spacing: u64,
}

/// Spacing by age in milliseconds: fine for the 5-minute window, coarse for the 3-day one.
const TIERS: [Tier; 4] = [
    Tier { max_age: 10 * MINUTE_MS, spacing: MINUTE_MS },
    Tier { max_age: 70 * MINUTE_MS, spacing: 5 * MINUTE_MS },
    Tier { max_age: 7 * HOUR_MS, spacing: 20 * MINUTE_MS },
    Tier { max_age: 76 * HOUR_MS, spacing: 2 * HOUR_MS },
];

/// Appends `sample` and drops samples that stand closer than the spacing of their age.
///
/// The first and the last sample within the greatest age always stay. At most about 90 samples
/// are kept.
pub fn push_sample(samples: &mut Vec<SloSample>, sample: SloSample) {
    let now = sample.at_ms;
    samples.push(sample);
    samples.sort_by_key(|sample| sample.at_ms);
    let last = samples.len() - 1;
    let mut kept: Option<u64> = None;
    let mut index = 0;
    samples.retain(|sample| {
        let keep = index == last || keeps(now, kept, sample.at_ms);
        index += 1;
        if keep {
            kept = Some(sample.at_ms);
        }
        keep
    });
}

/// Whether the sample taken at `at` stays when the one kept before it was taken at `kept`.
///
/// Samples fall into aligned slots, so that repeated thinning keeps the same ones.
fn keeps(now: u64, kept: Option<u64>, at: u64) -> bool {
    let age = now.saturating_sub(at);
    let Some(tier) = TIERS.iter().find(|tier| age <= tier.max_age) else {
        return false;
    };
    kept.is_none_or(|kept| kept / tier.spacing != at / tier.spacing)
}
