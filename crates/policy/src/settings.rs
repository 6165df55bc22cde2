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
    /// Attempts of one request in all.
    pub max_attempts: u32,
    /// Least time after which callers should come back after a refusal for load.
    pub retry_after: Duration,
    /// What an engine is expected to do.
    pub engine: EngineModel,
    /// Waiting requests.
    pub queue: QueueSettings,
    /// Second attempts beside slow ones.
    pub hedge: HedgeSettings,
    /// Retries after failed attempts.
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

/// What an engine is expected to do before anything has been observed.
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
    /// Sequences that an engine decodes side by side.
    pub slots: u32,
    /// Calls that a plain service works on side by side.
    pub call_slots: u32,
    /// Tokens of one block of the prefix cache.
    pub block_tokens: u32,
    /// Greatest prefill backlog, in microseconds, at which an engine is sent further work.
    pub prefill_window: f64,
    /// Processing time of a prompt, in microseconds, from which it counts as long.
    pub long_us: f64,
    /// Least number of uncached prompt tokens for which a prefill engine is used.
    pub split_tokens: u32,
    /// Greatest number of uncached prompt tokens that a decode engine takes.
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
    /// Engine time that one output token costs in a full batch, in microseconds.
    pub fn token_us(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        (self.step_us + self.sequence_us * slots) / slots
    }
}

/// Bounds of the waiting requests.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Greatest wait, as a multiple of the plan's target to the first token.
    pub late_factor: f64,
    /// Wait, as a part of the plan's target to the first token, after which the oldest goes first.
    pub age_part: f64,
    /// Part of a plan's bound that one customer may fill while others wait as well.
    pub customer_part: f64,
    /// Waiting requests that one customer may always have.
    pub customer_min: u32,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { late_factor: 1.0, age_part: 0.6, customer_part: 0.5, customer_min: 8 }
    }
}

/// When a second attempt is started beside a running one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgeRule {
    /// Never.
    Off,
    /// After a fixed time.
    Fixed(Duration),
    /// After the given quantile (between 0 and 1) of recent times of requests of the same size.
    Percentile(f64),
    /// Once more than this number of later requests of the same size have got ahead.
    Progress(u32),
}

/// Settings of second attempts.
#[derive(Clone, Debug)]
pub struct HedgeSettings {
    /// When one is started.
    pub rule: HedgeRule,
    /// Budget in engine time.
    pub budget: BudgetSettings,
    /// Least ratio of the expected rest here to the expected time elsewhere; 0 for no such check.
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
    /// Greatest part of a pool that may be ejected.
    pub max_part: f64,
    /// First duration of an ejection.
    pub duration: Duration,
    /// Greatest duration of an ejection.
    pub max_duration: Duration,
}

impl Default for EjectSettings {
    fn default() -> Self {
        Self {
            slow_ratio: 2.5,
            good_ratio: 1.6,
            max_part: 0.4,
            duration: Duration::from_millis(500),
            max_duration: Duration::from_secs(10),
        }
    }
}
