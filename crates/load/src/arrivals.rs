//! Generates the arrivals of an open-loop load from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::CostModel;
use crate::operation::{Arrival, Class, CompletionShape, Operation};

/// Inclusive range of token counts.
#[derive(Clone, Copy, Debug)]
pub struct TokenRange {
    /// Minimum.
    pub min: u32,
    /// Maximum.
    pub max: u32,
}

impl TokenRange {
    /// Mean of the uniform distribution over the range.
    pub fn mean(&self) -> f64 {
        (f64::from(self.min) + f64::from(self.max)) / 2.0
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> u32 {
        rng.random_range(self.min..=self.max)
    }
}

/// Size distribution of one class of completions.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Class under which the requests are reported.
    pub class: Class,
    /// Prompt tokens that are unique to the request.
    pub unique: TokenRange,
    /// Prompt tokens of the shared prefix; 0 for none.
    pub prefix: u32,
    /// Number of distinct shared prefixes.
    pub prefixes: u64,
    /// Output tokens, before the straggler factor.
    pub output: TokenRange,
    /// Share of requests with `STRAGGLER_FACTOR` times the output tokens.
    pub straggler_share: f64,
}

/// Multiplier of the output tokens of a straggler.
pub const STRAGGLER_FACTOR: u32 = 6;

impl Profile {
    /// Mean prefill cost in seconds of one engine.
    pub fn prompt_s(&self, cost: &CostModel) -> f64 {
        (f64::from(self.prefix) + self.unique.mean()) * cost.prompt_s
    }

    /// Mean cost of a request in seconds of one engine.
    pub fn cost_s(&self, cost: &CostModel) -> f64 {
        let extra = self.straggler_share * f64::from(STRAGGLER_FACTOR - 1);
        self.prompt_s(cost) + self.output.mean() * (1.0 + extra) * cost.output_s
    }

    fn shape(&self, models: usize, rng: &mut ChaCha8Rng) -> CompletionShape {
        let straggler = rng.random::<f64>() < self.straggler_share;
        let factor = if straggler { STRAGGLER_FACTOR } else { 1 };
        CompletionShape {
            model: rng.random_range(0..models.max(1)),
            prefix_seed: rng.random_range(0..self.prefixes.max(1)),
            prefix_tokens: self.prefix,
            unique_tokens: self.unique.draw(rng),
            max_tokens: self.output.draw(rng) * factor,
        }
    }
}

/// Offered load at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Offer {
    /// Completions per second.
    pub rate: f64,
    /// Completion profiles with their relative frequencies.
    pub mix: Vec<(f64, Profile)>,
    /// Writes per second to the plain service.
    pub writes: f64,
    /// Reads per second from the plain service.
    pub reads: f64,
}

/// Parameters of [`draw_arrivals`].
pub struct ArrivalSettings<'a> {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Duration of the arrivals.
    pub duration: Duration,
    /// Relative request rate of each customer.
    pub customers: &'a [f64],
    /// Number of models.
    pub models: usize,
    /// Offered load as a function of the time since the start.
    pub offer: &'a dyn Fn(Duration) -> Offer,
}

/// Interval at which the offer is evaluated.
const OFFER_INTERVAL: Duration = Duration::from_millis(100);

/// Draws arrivals, sorted by time, from a Poisson process whose rate follows the offered load.
pub fn draw_arrivals(settings: &ArrivalSettings<'_>) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut arrivals = Vec::new();
    let mut start = Duration::ZERO;
    while start < settings.duration {
        let offer = (settings.offer)(start);
        for at in draw_times(offer.rate, start, &mut rng) {
            arrivals.push(completion(settings, &offer, at, &mut rng));
        }
        for at in draw_times(offer.writes, start, &mut rng) {
            arrivals.push(service_call(settings, Operation::Write, at, &mut rng));
        }
        for at in draw_times(offer.reads, start, &mut rng) {
            arrivals.push(service_call(settings, Operation::Read, at, &mut rng));
        }
        start += OFFER_INTERVAL;
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Draws arrival times within one [`OFFER_INTERVAL`] from `start` on, at `rate` per second.
fn draw_times(rate: f64, start: Duration, rng: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return times;
    }
    let mut offset = 0.0;
    loop {
        let gap: f64 = rng.random();
        offset += -(1.0 - gap).ln() / rate;
        if offset >= OFFER_INTERVAL.as_secs_f64() {
            return times;
        }
        times.push(start + Duration::from_secs_f64(offset));
    }
}

fn completion(
    settings: &ArrivalSettings<'_>,
    offer: &Offer,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let weights: Vec<f64> = offer.mix.iter().map(|(weight, _)| *weight).collect();
    let profile = &offer.mix[pick(&weights, rng)].1;
    let customer = pick(settings.customers, rng);
    let operation = Operation::Completion(profile.shape(settings.models, rng));
    Arrival { at, class: profile.class, customer, operation, seed: rng.random() }
}

fn service_call(
    settings: &ArrivalSettings<'_>,
    operation: Operation,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let class = if operation == Operation::Write { Class::Write } else { Class::Read };
    let customer = pick(settings.customers, rng);
    Arrival { at, class, customer, operation, seed: rng.random() }
}

/// Draws an index with the given weights; 0 if `weights` is empty.
fn pick(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut point = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        point -= weight;
        if point < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}
