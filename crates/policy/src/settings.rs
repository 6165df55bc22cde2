//! Settings of the scheduler.

use std::time::Duration;

use agatestair_schema::settings::PolicyName;

/// Settings of a [`crate::Scheduler`].
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Placement policy.
    pub policy: PolicyName,
    /// Seed of random choices.
    pub seed: u64,
    /// Greatest number of attempts of one request without progress, hedged ones excluded.
    pub max_attempts: u32,
    /// Shortest time after which callers should retry after a refusal for load.
    pub retry_after: Duration,
    /// Expected performance of an engine.
    pub engine: EngineModel,
    /// Bounds on waiting requests.
    pub queue: QueueSettings,
    /// Hedged attempts: second attempts while a slow one is still running.
    pub hedge: HedgeSettings,
    /// Budget of retries after failed attempts, counted in requests.
    pub retry: BudgetSettings,
    /// Ejection of slow and failing endpoints.
    pub eject: EjectSettings,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            policy: PolicyName::Own,
            seed: 1,
            max_attempts: 4,
            retry_after: Duration::from_millis(500),
            engine: EngineModel::default(),
            queue: QueueSettings::default(),
            hedge: HedgeSettings::default(),
            retry: BudgetSettings { ratio: 0.1, burst: 100.0 },
            eject: EjectSettings::default(),
        }
    }
}

/// Expected performance of an engine before anything has been observed.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// Processing time of one prompt token, in microseconds.
    pub prefill_us: f64,
    /// Time of one decode step with an empty batch, in microseconds.
    pub step_us: f64,
    /// Time that each sequence adds to a decode step, in microseconds.
    pub sequence_us: f64,
    /// Longest time that prompts add to a decode step, in microseconds.
    pub chunk_us: f64,
    /// Sequences that an engine decodes concurrently.
    pub slots: u32,
    /// Calls that an endpoint of a plain service handles concurrently.
    pub call_slots: u32,
    /// Tokens per block of the prefix cache.
    pub block_tokens: u32,
    /// Greatest prefill backlog, in microseconds, at which an engine is sent further work.
    pub prefill_window: f64,
    /// Processing time of a prompt, in microseconds, from which it counts as long.
    pub long_us: f64,
    /// Least number of uncached prompt tokens for which a prefill engine is used.
    pub split_tokens: u32,
    /// Greatest number of uncached prompt tokens that a decode engine processes itself.
    pub decode_prompt: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_us: 15.0,
            step_us: 8_000.0,
            sequence_us: 150.0,
            chunk_us: 30_000.0,
            slots: 16,
            call_slots: 64,
            block_tokens: 4096,
            prefill_window: 60_000.0,
            long_us: 120_000.0,
            split_tokens: 1024,
            decode_prompt: 2048,
        }
    }
}

impl EngineModel {
    /// Engine time of one output token in a full batch, in microseconds.
    pub fn token_us(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        (self.step_us + self.sequence_us * slots) / slots
    }
}

/// Bounds on waiting requests.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Greatest time to the first token, as a multiple of the plan's target.
    pub late_factor: f64,
    /// Wait after which the oldest request goes first, as a fraction of the plan's target time to
    /// the first token.
    pub age_fraction: f64,
    /// Fraction of a plan's bound that one customer may use while one other customer waits as well;
    /// it shrinks with the number of customers.
    pub customer_fraction: f64,
    /// Number of waiting requests that one customer may have regardless of others.
    pub customer_min: u32,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { late_factor: 1.0, age_fraction: 0.6, customer_fraction: 0.5, customer_min: 8 }
    }
}

/// When a hedged attempt is started while another one is running.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgeRule {
    /// Never.
    Off,
    /// After a fixed time.
    Fixed(Duration),
    /// After the given quantile (between 0 and 1) of recent durations of requests of the same size.
    Percentile(f64),
    /// Once more than this number of later requests of the same size have overtaken it.
    Progress(u32),
}

/// Settings of hedged attempts.
#[derive(Clone, Debug)]
pub struct HedgeSettings {
    /// When a hedged attempt is started.
    pub rule: HedgeRule,
    /// Budget, counted in seconds of engine time.
    pub budget: BudgetSettings,
    /// Least ratio of the running attempt's expected remaining time to the expected time of a new
    /// attempt; 0 disables the check.
    pub benefit: f64,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            rule: HedgeRule::Progress(3),
            budget: BudgetSettings { ratio: 0.045, burst: 1.5 },
            benefit: 1.5,
        }
    }
}

/// Settings of a [`crate::Budget`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Extra units earned by each unit of ordinary work.
    pub ratio: f64,
    /// Greatest number of units kept, also the number at the start.
    pub burst: f64,
}

/// Settings of ejection.
#[derive(Clone, Debug)]
pub struct EjectSettings {
    /// Ratio of an endpoint's pace to the pool's usual pace from which it is ejected.
    pub slow_ratio: f64,
    /// Ratio below which a probed endpoint counts as recovered.
    pub good_ratio: f64,
    /// Greatest fraction of a pool that may be ejected.
    pub max_fraction: f64,
    /// Duration of the first ejection; each further one in a row takes twice as long.
    pub duration: Duration,
    /// Greatest duration of an ejection.
    pub max_duration: Duration,
}

impl Default for EjectSettings {
    fn default() -> Self {
        Self {
            slow_ratio: 2.5,
            good_ratio: 1.6,
            max_fraction: 0.4,
            duration: Duration::from_millis(500),
            max_duration: Duration::from_secs(10),
        }
    }
}
