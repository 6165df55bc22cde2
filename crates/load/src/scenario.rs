//! Scenarios: offered load and actions on the fleet over time.

use std::time::Duration;

use crate::arrivals::{Offer, Profile, TokenRange};
use crate::callers::{CallerSettings, Route};
use crate::deployment::CostModel;
use crate::operation::Class;
use crate::steps::{FleetAction, Step};

/// Properties of a deployment that scenarios depend on.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Name of the deployment.
    pub name: String,
    /// Cost model of its engines.
    pub cost: CostModel,
    /// Number of its engines.
    pub engines: usize,
    /// Number of its entries.
    pub entries: usize,
    /// Whether requests to a plain HTTP service are sent.
    pub has_service: bool,
}

/// Measurement window of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    /// Start, since the start of the run.
    pub from: Duration,
    /// End, exclusive.
    pub to: Duration,
}

impl Window {
    /// Whether a request with the intended send time `at` is measured.
    pub fn contains(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }

    /// Length in seconds.
    pub fn seconds(&self) -> f64 {
        self.to.saturating_sub(self.from).as_secs_f64()
    }
}

/// Description of one run: offered load, caller behaviour and actions on the fleet.
pub struct RunPlan {
    /// Duration of the arrivals.
    pub length: Duration,
    /// Measurement window.
    pub window: Window,
    /// Caller behaviour.
    pub callers: CallerSettings,
    /// Offered load as a function of the time since the start.
    pub offer: Box<dyn Fn(Duration) -> Offer>,
    /// Timed actions on the fleet.
    pub steps: Vec<Step>,
}

/// A named scenario.
pub struct Scenario {
    /// Name, as given on the command line.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// Builds the run for a fleet.
    pub build: fn(&Fleet) -> RunPlan,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 9] = [
    Scenario {
        name: "mixed",
        about: "short and medium completions, writes and reads at a constant load",
        build: mixed,
    },
    Scenario {
        name: "overhead",
        about: "requests alternating between the entries and a direct path to the engines",
        build: overhead,
    },
    Scenario {
        name: "mix-shift",
        about: "prefill share of the engine time changes from 20% to 60% and back",
        build: mix_shift,
    },
    Scenario {
        name: "crest",
        about: "demand rises to twice the capacity within a second and falls again",
        build: crest,
    },
    Scenario {
        name: "short-behind-long",
        about: "short requests alone, then mixed with long requests and stragglers",
        build: short_behind_long,
    },
    Scenario {
        name: "slow-endpoints",
        about: "a quarter of the engines slowed by a factor of five, load reports delayed",
        build: slow_endpoints,
    },
    Scenario {
        name: "fleet-change",
        about: "drains, replacements, withdrawals, list changes and store outages under load",
        build: fleet_change,
    },
    Scenario {
        name: "config-spread",
        about: "three changes of the lists per second; time until every process applies them",
        build: config_spread,
    },
    Scenario {
        name: "control-cost",
        about: "CPU time, memory, traffic and store requests of control under light load",
        build: control_cost,
    },
];

/// Finds a scenario by name.
pub fn find_scenario(name: &str) -> Option<&'static Scenario> {
    SCENARIOS.iter().find(|scenario| scenario.name == name)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn window(from: u64, to: u64) -> Window {
    Window { from: seconds(from), to: seconds(to) }
}

fn range(min: u32, max: u32) -> TokenRange {
    TokenRange { min, max }
}

/// Completions without a shared prefix and without stragglers.
fn profile(class: Class, unique: TokenRange, output: TokenRange) -> Profile {
    Profile { class, unique, prefix: 0, prefixes: 1, output, straggler_share: 0.0 }
}

/// Medium requests: a dispute about a word with the rules, or a question about a catalogue.
fn standard(fleet: &Fleet) -> Profile {
    let unique = if fleet.name == "fitline" { range(1000, 2600) } else { range(1200, 3000) };
    profile(Class::Standard, unique, range(24, 72))
}

/// Short requests: word checks and size recommendations.
fn short() -> Profile {
    profile(Class::Short, range(30, 120), range(8, 16))
}

/// Long requests: rulings on the full rulebook, or advice based on a full catalogue.
fn long(fleet: &Fleet) -> Profile {
    let unique = if fleet.name == "fitline" { range(6000, 14_000) } else { range(5000, 12_000) };
    Profile { straggler_share: 0.05, ..profile(Class::Long, unique, range(40, 100)) }
}

/// Completions per second at which `mix` uses the share `load` of the engines' capacity.
pub fn rate_for_load(load: f64, fleet: &Fleet, mix: &[(f64, Profile)]) -> f64 {
    let weight: f64 = mix.iter().map(|(weight, _)| weight).sum();
    let cost: f64 = mix.iter().map(|(weight, profile)| weight * profile.cost_s(&fleet.cost)).sum();
    if cost <= 0.0 { 0.0 } else { load * f64::from(fleet.cost.engines) * weight / cost }
}

/// Offers `mix` at the share `load` of the engines' capacity, plus calls of the plain service.
fn offer(load: f64, fleet: &Fleet, mix: Vec<(f64, Profile)>) -> Offer {
    let calls = if fleet.has_service { CALLS_PER_S } else { 0.0 };
    let rate = rate_for_load(load, fleet, &mix);
    Offer { rate, mix, writes: calls, reads: calls }
}

/// Writes per second to the plain service, and the same number of reads.
const CALLS_PER_S: f64 = 4.0;
/// Maximum completions per second in the `overhead` scenario.
const OVERHEAD_RATE: f64 = 160.0;

fn mixed(fleet: &Fleet) -> RunPlan {
    let fleet = fleet.clone();
    let offer = move |_| offer(0.4, &fleet, vec![(0.5, short()), (0.5, standard(&fleet))]);
    RunPlan {
        length: seconds(30),
        window: window(2, 30),
        callers: CallerSettings::default(),
        offer: Box::new(offer),
        steps: vec![],
    }
}

fn overhead(fleet: &Fleet) -> RunPlan {
    let fleet = fleet.clone();
    let mix = vec![(1.0, profile(Class::Standard, range(50, 200), range(96, 128)))];
    let callers = CallerSettings { route: Route::Alternate, ..CallerSettings::default() };
    let offer = move |_| {
        let rate = rate_for_load(0.6, &fleet, &mix).min(OVERHEAD_RATE);
        Offer { rate, mix: mix.clone(), ..Offer::default() }
    };
    RunPlan {
        length: seconds(15),
        window: window(3, 15),
        callers,
        offer: Box::new(offer),
        steps: vec![],
    }
}

/// Minimum and maximum prefill share of the engine time in the `mix-shift` scenario.
const PREFILL_SHARES: (f64, f64) = (0.2, 0.6);

fn mix_shift(fleet: &Fleet) -> RunPlan {
    let fleet = fleet.clone();
    let offer = move |at: Duration| {
        let rise = ramp(at, 10, 12) - ramp(at, 22, 24);
        let share = PREFILL_SHARES.0 + (PREFILL_SHARES.1 - PREFILL_SHARES.0) * rise;
        let decode = profile(Class::Standard, range(100, 500), range(64, 128));
        let prefill = profile(Class::Standard, range(4000, 8000), range(8, 24));
        let weight = prefill_weight(share, &fleet.cost, &decode, &prefill);
        offer(0.9, &fleet, vec![(1.0 - weight, decode), (weight, prefill)])
    };
    RunPlan {
        length: seconds(34),
        window: window(4, 34),
        callers: CallerSettings::default(),
        offer: Box::new(offer),
        steps: vec![],
    }
}

/// Linear ramp from 0 at `from` to 1 at `to`, in seconds since the start.
fn ramp(at: Duration, from: u64, to: u64) -> f64 {
    let done = at.as_secs_f64() - seconds(from).as_secs_f64();
    (done / (seconds(to) - seconds(from)).as_secs_f64()).clamp(0.0, 1.0)
}

/// Fraction of requests with profile `second` at which prefill uses `share` of the engine time.
fn prefill_weight(share: f64, cost: &CostModel, first: &Profile, second: &Profile) -> f64 {
    let (first_all, second_all) = (first.cost_s(cost), second.cost_s(cost));
    let (first_prompt, second_prompt) = (first.prompt_s(cost), second.prompt_s(cost));
    let divisor = share * (second_all - first_all) - second_prompt + first_prompt;
    if divisor == 0.0 {
        return 0.0;
    }
    ((first_prompt - share * first_all) / divisor).clamp(0.0, 1.0)
}

fn crest(fleet: &Fleet) -> RunPlan {
    let fleet = fleet.clone();
    let callers = CallerSettings { max_retries: 1, ..CallerSettings::default() };
    let offer = move |at: Duration| {
        let high = ramp(at, 6, 7) - ramp(at, 18, 19);
        let load = 0.6 + 1.4 * high;
        offer(load, &fleet, vec![(0.5, short()), (0.5, standard(&fleet))])
    };
    RunPlan {
        length: seconds(24),
        window: window(7, 18),
        callers,
        offer: Box::new(offer),
        steps: vec![],
    }
}

/// Length in seconds of the initial phase of `short-behind-long` with short requests only.
pub const SHORT_ONLY_S: u64 = 8;

fn short_behind_long(fleet: &Fleet) -> RunPlan {
    let fleet = fleet.clone();
    let offer = move |at: Duration| {
        let mixed = vec![(0.8, short()), (0.2, long(&fleet))];
        let full = offer(0.75, &fleet, mixed);
        if at < seconds(SHORT_ONLY_S) {
            return Offer { rate: full.rate * 0.8, mix: vec![(1.0, short())], ..full };
        }
        full
    };
    RunPlan {
        length: seconds(30),
        window: window(SHORT_ONLY_S + 2, 30),
        callers: CallerSettings::default(),
        offer: Box::new(offer),
        steps: vec![],
    }
}

fn slow_endpoints(fleet: &Fleet) -> RunPlan {
    let slowed = fleet.engines.div_ceil(4);
    let steps = vec![Step {
        at: seconds(6),
        action: FleetAction::Slow {
            engines: slowed,
            factor: 5.0,
            length: seconds(10),
            blind: seconds(3),
        },
    }];
    let fleet = fleet.clone();
    let offer = move |_| offer(0.5, &fleet, vec![(0.5, short()), (0.5, standard(&fleet))]);
    RunPlan {
        length: seconds(22),
        window: window(6, 18),
        callers: CallerSettings::default(),
        offer: Box::new(offer),
        steps,
    }
}

fn fleet_change(fleet: &Fleet) -> RunPlan {
    let steps = vec![
        Step { at: seconds(4), action: FleetAction::Drain },
        Step { at: seconds(7), action: FleetAction::ChangeLists },
        Step { at: seconds(10), action: FleetAction::Withdraw },
        Step { at: seconds(13), action: FleetAction::Restore },
        Step { at: seconds(14), action: FleetAction::Outage { length: seconds(3) } },
        Step { at: seconds(18), action: FleetAction::Replace },
        Step { at: seconds(20), action: FleetAction::LoseReplies { count: 3 } },
        Step { at: seconds(21), action: FleetAction::ChangeLists },
        Step { at: seconds(23), action: FleetAction::Restore },
        Step { at: seconds(26), action: FleetAction::Drain },
        Step { at: seconds(28), action: FleetAction::ChangeLists },
        Step { at: seconds(31), action: FleetAction::Restore },
    ];
    let fleet = fleet.clone();
    let offer = move |_| offer(0.4, &fleet, vec![(0.5, short()), (0.5, standard(&fleet))]);
    RunPlan {
        length: seconds(36),
        window: window(2, 36),
        callers: CallerSettings { max_retries: 2, ..CallerSettings::default() },
        offer: Box::new(offer),
        steps,
    }
}

fn config_spread(fleet: &Fleet) -> RunPlan {
    let changes = (0..60).map(|index| Step {
        at: seconds(3) + Duration::from_millis(index * 333),
        action: FleetAction::ChangeLists,
    });
    let fleet = fleet.clone();
    let offer = move |_| offer(0.2, &fleet, vec![(1.0, short())]);
    RunPlan {
        length: seconds(26),
        window: window(2, 26),
        callers: CallerSettings::default(),
        offer: Box::new(offer),
        steps: changes.collect(),
    }
}

fn control_cost(fleet: &Fleet) -> RunPlan {
    let fleet = fleet.clone();
    let offer = move |_| offer(0.3, &fleet, vec![(0.5, short()), (0.5, standard(&fleet))]);
    RunPlan {
        length: seconds(25),
        window: window(5, 25),
        callers: CallerSettings::default(),
        offer: Box::new(offer),
        steps: vec![],
    }
}
