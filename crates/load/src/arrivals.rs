//! Seeded arrivals of an open loop.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::CostModel;
use crate::work::{Arrival, Class, CompletionShape, Work};

/// Least and greatest number of tokens, both included.
#[derive(Clone, Copy, Debug)]
pub struct TokenRange {
    /// Least number.
    pub min: u32,
    /// Greatest number.
    pub max: u32,
}

impl TokenRange {
    /// Mean of the range.
    pub fn mean(&self) -> f64 {
        (f64::from(self.min) + f64::from(self.max)) / 2.0
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> u32 {
        rng.random_range(self.min..=self.max)
    }
}

/// One kind of completion within a mix.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Kind for the figures.
    pub class: Class,
    /// Tokens of the prompt that are the request's own.
    pub own: TokenRange,
    /// Tokens of the prompt that others share; 0 for none.
    pub shared: u32,
    /// Number of different shared texts.
    pub texts: u64,
    /// Output tokens.
    pub output: TokenRange,
    /// Share of requests with `straggler` times the output tokens.
    pub straggler_share: f64,
}

/// How many times more output tokens a straggler has.
pub const STRAGGLER_FACTOR: u32 = 6;

impl Part {
    /// Prompt cost in seconds of one engine.
    pub fn prompt_s(&self, cost: &CostModel) -> f64 {
        (f64::from(self.shared) + self.own.mean()) * cost.prompt_s
    }

    /// Cost of the whole request in seconds of one engine.
    pub fn cost_s(&self, cost: &CostModel) -> f64 {
        let extra = self.straggler_share * f64::from(STRAGGLER_FACTOR - 1);
        self.prompt_s(cost) + self.output.mean() * (1.0 + extra) * cost.output_s
    }

    fn shape(&self, models: usize, rng: &mut ChaCha8Rng) -> CompletionShape {
        let straggler = rng.random::<f64>() < self.straggler_share;
        let factor = if straggler { STRAGGLER_FACTOR } else { 1 };
        CompletionShape {
            model: rng.random_range(0..models.max(1)),
            shared: rng.random_range(0..self.texts.max(1)),
            shared_tokens: self.shared,
            own_tokens: self.own.draw(rng),
            max_tokens: self.output.draw(rng) * factor,
        }
    }
}

/// What is offered at one moment.
#[derive(Clone, Debug, Default)]
pub struct Offer {
    /// Completions a second.
    pub rate: f64,
    /// Kinds of completions with their weights by count.
    pub parts: Vec<(f64, Part)>,
    /// Writes a second at the plain service.
    pub writes: f64,
    /// Reads a second at the plain service.
    pub reads: f64,
}

/// The requests of one run, in order of time.
pub struct ArrivalSettings<'a> {
    /// Seed of all choices.
    pub seed: u64,
    /// Length of the run.
    pub duration: Duration,
    /// Weight of each customer.
    pub customers: &'a [f64],
    /// Number of models.
    pub models: usize,
    /// What is offered at a time since the start.
    pub offer: &'a dyn Fn(Duration) -> Offer,
}

/// Interval at which the offer is evaluated.
const STEP: Duration = Duration::from_millis(100);

/// Draws the arrivals of a Poisson process whose rate follows the offer.
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
            arrivals.push(call(settings, Work::Write, at, &mut rng));
        }
        for at in draw_times(offer.reads, start, &mut rng) {
            arrivals.push(call(settings, Work::Read, at, &mut rng));
        }
        start += STEP;
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Times within one step that starts at `start`, at `rate` a second.
fn draw_times(rate: f64, start: Duration, rng: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return times;
    }
    let mut offset = 0.0;
    loop {
        let gap: f64 = rng.random();
        offset += -(1.0 - gap).ln() / rate;
        if offset >= STEP.as_secs_f64() {
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
    let weights: Vec<f64> = offer.parts.iter().map(|(weight, _)| *weight).collect();
    let part = &offer.parts[pick(&weights, rng)].1;
    let customer = pick(settings.customers, rng);
    let work = Work::Completion(part.shape(settings.models, rng));
    Arrival { at, class: part.class, customer, work, seed: rng.random() }
}

fn call(settings: &ArrivalSettings<'_>, work: Work, at: Duration, rng: &mut ChaCha8Rng) -> Arrival {
    let class = if work == Work::Write { Class::Write } else { Class::Read };
    let customer = pick(settings.customers, rng);
    Arrival { at, class, customer, work, seed: rng.random() }
}

/// Index drawn with the given weights; 0 if there are none.
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
