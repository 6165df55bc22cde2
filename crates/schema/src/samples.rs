//! Downsamples the history of service-level counters: the older a sample, the wider the spacing.

use crate::slo::SloSample;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Spacing of samples up to a maximum age, in milliseconds.
struct Tier {
    max_age: u64,
    spacing: u64,
}

/// Spacing by age: fine for the 5-minute window of reports, coarse for the 3-day window.
const TIERS: [Tier; 4] = [
    Tier { max_age: 10 * MINUTE_MS, spacing: MINUTE_MS },
    Tier { max_age: 70 * MINUTE_MS, spacing: 5 * MINUTE_MS },
    Tier { max_age: 7 * HOUR_MS, spacing: 20 * MINUTE_MS },
    Tier { max_age: 76 * HOUR_MS, spacing: 2 * HOUR_MS },
];

/// Adds `sample` and drops samples that are closer together than the spacing for their age.
///
/// The first sample within the maximum age and the last sample always stay. About 90 samples are
/// kept at most.
pub fn push_sample(samples: &mut Vec<SloSample>, sample: SloSample) {
    let now = sample.at_ms;
    samples.push(sample);
    samples.sort_by_key(|sample| sample.at_ms);
    let last = samples.len() - 1;
    let mut previous: Option<u64> = None;
    let mut index = 0;
    samples.retain(|sample| {
        let keep = index == last || is_kept(now, previous, sample.at_ms);
        index += 1;
        if keep {
            previous = Some(sample.at_ms);
        }
        keep
    });
}

/// Whether to keep the sample taken at `at` if the previous kept sample was taken at `previous`.
///
/// Spacing is measured in aligned slots, so that repeated downsampling keeps the same samples.
fn is_kept(now: u64, previous: Option<u64>, at: u64) -> bool {
    let age = now.saturating_sub(at);
    let Some(tier) = TIERS.iter().find(|tier| age <= tier.max_age) else {
        return false;
    };
    previous.is_none_or(|previous| previous / tier.spacing != at / tier.spacing)
}
