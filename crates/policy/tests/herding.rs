//! Herding: many instances place requests on the same engines, and learn of each other's choices
//! only after a delay.

mod arrivals;

use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_policy::assign::name_hash;
use agatestair_policy::board::{
    Board, BoardSettings, EndpointFacts, EndpointReport, EngineCosts, Load, PlacementRequest,
    PromptPart, Stage,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::arrivals::{draw_arrivals, moment};

/// Numbers of instances and engines of a large fleet.
const INSTANCES: usize = 60;
const PREFILL_ENGINES: usize = 13;
const DECODE_ENGINES: usize = 35;

/// Interval at which an instance broadcasts its loads to all others.
const ROUND_MS: f64 = 200.0;

/// Time for which an instance keeps broadcasting that a load has ended: three rounds.
const CLEARED_FOR: Duration = Duration::from_millis(600);

/// Network latency of a datagram between instances.
const TRANSIT_MS: f64 = 1.0;

/// Duration of a simulation.
const SECONDS: f64 = 12.0;

/// Time at the start in which caches fill; requests that arrive in it do not count.
const WARM_UP_SECS: f64 = 4.0;

/// How instances learn of each other's choices, and choose between endpoints of similar cost.
#[derive(Clone, Copy)]
struct Strategy {
    name: &'static str,
    /// Least number of uncached prompt tokens for which a choice is sent to peers immediately.
    announce_tokens: u32,
    /// Greatest difference in cost from the cheapest choice that counts as a tie, in milliseconds.
    tie_ms: u64,
}

const ROUNDS_CHEAPEST: Strategy =
    Strategy { name: "periodic updates, cheapest choice", announce_tokens: u32::MAX, tie_ms: 0 };
const ROUNDS_RANDOM: Strategy = Strategy {
    name: "periodic updates, random choice among ties",
    announce_tokens: u32::MAX,
    tie_ms: 20,
};
const IMMEDIATE_RANDOM: Strategy = Strategy {
    name: "immediate updates, random choice among ties",
    announce_tokens: 2500,
    tie_ms: 20,
};

/// Request rates over all instances, per second.
struct LoadCase {
    name: &'static str,
    long_rate: f64,
    short_rate: f64,
}

const LOADS: [LoadCase; 3] = [
    LoadCase { name: "daily mean", long_rate: 35.0, short_rate: 372.0 },
    LoadCase { name: "peak of long prompts", long_rate: 150.0, short_rate: 250.0 },
    LoadCase { name: "peak of both", long_rate: 110.0, short_rate: 900.0 },
];

/// A load update from one instance that its peers receive later.
struct PendingUpdate {
    at: f64,
    from: usize,
    engine: usize,
}

/// Instances and engines on one virtual clock, in milliseconds.
struct Fleet {
    /// Board of each instance.
    boards: Vec<Board>,
    /// Keys of the engines on each board.
    keys: Vec<Vec<EndpointKey>>,
    /// Hash of the name of each instance.
    names: Vec<u64>,
    /// When each engine has processed its queued prompts.
    free_at: Vec<f64>,
    /// Shared prompt parts that each engine has cached, with their tokens.
    cached_parts: Vec<HashMap<u64, u32>>,
    /// Time of the first token, instance, engine and load of each request being processed.
    running: Vec<(f64, usize, usize, Load)>,
    pending: Vec<PendingUpdate>,
    costs: EngineCosts,
}

/// Returns the fractions of the long and of the short requests whose first token is on time.
fn simulate(case: &LoadCase, strategy: Strategy, seed: u64) -> [f64; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new();
    let arrivals = draw_arrivals(&[case.long_rate, case.short_rate], SECONDS, &mut rng);
    let (mut counted, mut on_time) = ([0_u32; 2], [0_u32; 2]);
    let mut next_broadcast = 0.0;
    for (index, (at, kind)) in arrivals.into_iter().enumerate() {
        while next_broadcast < at {
            fleet.advance(next_broadcast);
            fleet.broadcast_next(next_broadcast);
            next_broadcast += ROUND_MS / INSTANCES as f64;
        }
        fleet.advance(at);
        let own = PromptPart { id: 1_000_000 + index as u64, tokens: [3720, 291][kind] };
        let shared = PromptPart { id: rng.random_range(0..97), tokens: 13_300 };
        let parts = if kind == 0 { vec![shared, own] } else { vec![own] };
        let request = request(parts, kind, strategy, rng.random());
        let from = rng.random_range(0..INSTANCES);
        let first = fleet.serve(from, &request, strategy, at);
        if at >= WARM_UP_SECS * 1000.0 {
            counted[kind] += 1;
            let aim = request.objective.as_secs_f64() * 1000.0;
            on_time[kind] += u32::from(first.is_some_and(|first| first - at <= aim));
        }
    }
    [0, 1].map(|kind| f64::from(on_time[kind]) / f64::from(counted[kind].max(1)))
}

impl Fleet {
    fn new() -> Self {
        let costs = EngineCosts::default();
        let settings = BoardSettings { costs, ..BoardSettings::default() };
        let mut boards: Vec<Board> = (0..INSTANCES).map(|_| Board::new(settings)).collect();
        for board in &mut boards {
            board.token_transfer_ms = 0.0014;
        }
        let engines = PREFILL_ENGINES + DECODE_ENGINES;
        let keys =
            boards.iter_mut().map(|board| (0..engines).map(|i| board.upsert(engine_facts(i))));
        let keys = keys.map(Iterator::collect).collect();
        let names = (0..INSTANCES).map(|index| name_hash(&format!("instance-{index}"))).collect();
        Self {
            boards,
            keys,
            names,
            free_at: vec![0.0; engines],
            cached_parts: vec![HashMap::new(); engines],
            running: Vec::new(),
            pending: Vec::new(),
            costs,
        }
    }

    /// Places one request and returns the time of its first token, `None` if it is refused.
    fn serve(
        &mut self,
        from: usize,
        request: &PlacementRequest,
        strategy: Strategy,
        at: f64,
    ) -> Option<f64> {
        let choice = self.boards[from].choose_run(request, true, moment(at)).ok()?;
        let engine = self.keys[from].iter().position(|key| *key == choice.key)?;
        self.boards[from].start(choice.key, choice.load);
        let shared = request.parts.first().filter(|_| request.parts.len() > 1);
        let fetched = choice.fetch.is_some();
        let cached = shared.map_or(0, |part| {
            let was_cached = self.cached_parts[engine].insert(part.id, part.tokens).is_some();
            if was_cached || fetched { part.tokens } else { 0 }
        });
        if request.prompt >= self.costs.min_tracked {
            for board in 0..INSTANCES {
                let key = self.keys[board][engine];
                self.boards[board].note_prompt(key, &request.parts, moment(at));
            }
        }
        let factor = if choice.prefill_only { 1.0 } else { self.costs.mixed_factor };
        let work = self.costs.prefill_ms(request.prompt - cached, cached) * factor;
        let begin = at + self.costs.intake_ms;
        // Short prompts are more urgent and go before the queued ones.
        let urgent = request.prompt < self.costs.min_tracked;
        self.free_at[engine] = self.free_at[engine].max(begin) + work;
        let first = if urgent { begin + work } else { self.free_at[engine] };
        self.running.push((first, from, engine, choice.load));
        if choice.load.unread >= strategy.announce_tokens {
            self.pending.push(PendingUpdate { at: at + TRANSIT_MS, from, engine });
            self.pending.push(PendingUpdate { at: first + TRANSIT_MS, from, engine });
        }
        Some(first)
    }

    /// Removes the loads of requests that have ended, and delivers the updates that are due.
    fn advance(&mut self, now: f64) {
        let (boards, keys) = (&mut self.boards, &self.keys);
        self.running.retain(|(end, from, engine, load)| {
            let ended = *end <= now;
            if ended {
                boards[*from].finish(keys[*from][*engine], *load, moment(now));
            }
            !ended
        });
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|update| update.at <= now);
        self.pending = later;
        let due: Vec<PendingUpdate> = due;
        for update in due {
            let key = self.keys[update.from][update.engine];
            let updates = self.boards[update.from].reports_of(&[key], moment(now));
            self.deliver(update.from, &updates, now);
        }
    }

    /// Broadcasts the loads of the instance whose turn it is; the turns are spread over a round.
    fn broadcast_next(&mut self, now: f64) {
        let from = (now / (ROUND_MS / INSTANCES as f64)).round() as usize % INSTANCES;
        let updates = self.boards[from].reports(CLEARED_FOR, moment(now));
        self.deliver(from, &updates, now);
    }

    /// Delivers updates from one instance to all others.
    fn deliver(&mut self, from: usize, updates: &[EndpointReport], now: f64) {
        let name = self.names[from];
        for (index, board) in self.boards.iter_mut().enumerate() {
            if index != from {
                board.note_peer(name, updates, moment(now));
            }
        }
    }
}

/// Returns the facts of one engine; the first engines are the prefill engines.
fn engine_facts(index: usize) -> EndpointFacts {
    EndpointFacts {
        name: format!("engine-{index}").into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        domain: "a".into(),
        slots: 12,
        leaving: false,
        stage: Some(if index < PREFILL_ENGINES { Stage::Prefill } else { Stage::Decode }),
        born: 1,
        reclaimable: false,
    }
}

fn request(parts: Vec<PromptPart>, kind: usize, strategy: Strategy, draw: f64) -> PlacementRequest {
    PlacementRequest {
        service: "engines".into(),
        domain: "a".into(),
        prompt: parts.iter().map(|part| part.tokens).sum(),
        parts,
        output: [120, 40][kind],
        limit: Duration::from_secs(5),
        objective: Duration::from_millis([600, 300][kind]),
        max_wait: Duration::from_millis([420, 210][kind]),
        max_gap: Duration::from_millis(200),
        max_concurrent: 100,
        unseen: Duration::from_millis(strategy.tie_ms),
        draw: if strategy.tie_ms == 0 { 0.0 } else { draw },
        ..PlacementRequest::default()
    }
}

#[gtest]
fn immediate_updates_and_random_ties_prevent_herding() {
    for case in &LOADS {
        for seed in 1..=2 {
            let outcomes = [ROUNDS_CHEAPEST, ROUNDS_RANDOM, IMMEDIATE_RANDOM]
                .map(|strategy| (strategy.name, simulate(case, strategy, seed)));
            let immediate = outcomes[2].1;
            for (name, other) in &outcomes[..2] {
                for kind in 0..2 {
                    let name = format!("{}, kind {kind}, {name}, seed {seed}", case.name);
                    expect_that!(immediate[kind], ge(other[kind]), "{name}");
                }
            }
            // The engines can serve the whole load, so only herding makes requests late.
            expect_that!(immediate[0], ge(0.99), "{}, seed {seed}", case.name);
            expect_that!(immediate[1], ge(0.99), "{}, seed {seed}", case.name);
        }
    }
}
