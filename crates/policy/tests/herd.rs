//! Many instances place on the same engines, each knowing the others' choices only after a while.

mod arrivals;

use std::collections::HashMap;
use std::time::Duration;

use agatestair_policy::EndpointKey;
use agatestair_policy::assign::digest;
use agatestair_policy::board::{
    Board, BoardSettings, EngineCosts, Load, Part, SeatFacts, Stage, Telling, Wanted,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::arrivals::{draw_arrivals, moment};

/// Instances of the grown fleet, its engines, and how often an instance tells all others.
const INSTANCES: usize = 60;
const READERS: usize = 13;
const WRITERS: usize = 35;
const ROUND_MS: f64 = 200.0;

/// Time for which others are told that a load is gone: three rounds.
const CLEARED: Duration = Duration::from_millis(600);

/// Time after which another instance has a datagram.
const TRANSIT_MS: f64 = 1.0;

/// Seconds that a load is played, and those at its start in which caches fill.
const SECONDS: f64 = 12.0;
const WARM_UP: f64 = 4.0;

/// How instances learn of each other's choices, and choose between equals.
#[derive(Clone, Copy)]
struct Manner {
    name: &'static str,
    /// Prompts of this many tokens or more are told at once.
    told: u32,
    /// Choices that cost this much more count as equal, in milliseconds.
    unseen: u64,
}

const ALONE: Manner = Manner { name: "in rounds, the very cheapest", told: u32::MAX, unseen: 0 };
const DRAWN: Manner = Manner { name: "in rounds, drawn", told: u32::MAX, unseen: 20 };
const TOLD: Manner = Manner { name: "long prompts at once, drawn", told: 2500, unseen: 20 };

/// A load on all instances.
struct LoadCase {
    name: &'static str,
    long_rate: f64,
    short_rate: f64,
}

const LOADS: [LoadCase; 3] = [
    LoadCase { name: "mean of a day", long_rate: 35.0, short_rate: 372.0 },
    LoadCase { name: "crest of long prompts", long_rate: 150.0, short_rate: 250.0 },
    LoadCase { name: "crest of both", long_rate: 110.0, short_rate: 900.0 },
];

/// Something that becomes known to all instances later.
struct Due {
    at: f64,
    from: usize,
    key: usize,
}

struct Fleet {
    boards: Vec<Board>,
    keys: Vec<Vec<EndpointKey>>,
    names: Vec<u64>,
    /// When each engine has read all that it has.
    free: Vec<f64>,
    kept: Vec<HashMap<u64, u32>>,
    ends: Vec<(f64, usize, usize, Load)>,
    due: Vec<Due>,
    costs: EngineCosts,
}

/// Share of the long and of the short requests whose prompt is read in time.
fn play(case: &LoadCase, manner: Manner, seed: u64) -> [f64; 2] {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new();
    let arrivals = draw_arrivals(&[case.long_rate, case.short_rate], SECONDS, &mut random);
    let (mut asked, mut on_time) = ([0_u32; 2], [0_u32; 2]);
    let mut round = 0.0;
    for (number, (at, kind)) in arrivals.into_iter().enumerate() {
        while round < at {
            fleet.settle(round);
            fleet.tell_all(round);
            round += ROUND_MS / INSTANCES as f64;
        }
        fleet.settle(at);
        let own = Part { id: 1_000_000 + number as u64, tokens: [3720, 291][kind] };
        let shared = Part { id: random.random_range(0..97), tokens: 13_300 };
        let parts = if kind == 0 { vec![shared, own] } else { vec![own] };
        let wanted = wanted(parts, kind, manner, random.random());
        let from = random.random_range(0..INSTANCES);
        let first = fleet.serve(from, &wanted, manner, at);
        if at >= WARM_UP * 1000.0 {
            asked[kind] += 1;
            let aim = wanted.aim.as_secs_f64() * 1000.0;
            on_time[kind] += u32::from(first.is_some_and(|first| first - at <= aim));
        }
    }
    [0, 1].map(|kind| f64::from(on_time[kind]) / f64::from(asked[kind].max(1)))
}

impl Fleet {
    fn new() -> Self {
        let costs = EngineCosts::default();
        let settings = BoardSettings { costs, ..BoardSettings::default() };
        let mut boards: Vec<Board> = (0..INSTANCES).map(|_| Board::new(settings)).collect();
        for board in &mut boards {
            board.token_transfer_ms = 0.0014;
        }
        let engines = READERS + WRITERS;
        let keys = boards.iter_mut().map(|board| (0..engines).map(|i| board.upsert(seat(i))));
        let keys = keys.map(Iterator::collect).collect();
        let names = (0..INSTANCES).map(|index| digest(&format!("instance-{index}"))).collect();
        Self {
            boards,
            keys,
            names,
            free: vec![0.0; engines],
            kept: vec![HashMap::new(); engines],
            ends: Vec::new(),
            due: Vec::new(),
            costs,
        }
    }

    /// Places one request and returns when its first token comes.
    fn serve(&mut self, from: usize, wanted: &Wanted, manner: Manner, at: f64) -> Option<f64> {
        let choice = self.boards[from].choose_run(wanted, true, moment(at)).ok()?;
        let engine = self.keys[from].iter().position(|key| *key == choice.key)?;
        self.boards[from].start(choice.key, choice.load);
        let shared = wanted.parts.first().filter(|_| wanted.parts.len() > 1);
        let fetched = choice.fetch.is_some();
        let cached = shared.map_or(0, |part| {
            let known = self.kept[engine].insert(part.id, part.tokens).is_some();
            if known || fetched { part.tokens } else { 0 }
        });
        if wanted.prompt >= self.costs.notable {
            for board in 0..INSTANCES {
                let key = self.keys[board][engine];
                self.boards[board].note_read(key, &wanted.parts, moment(at));
            }
        }
        let factor = if choice.reads { 1.0 } else { self.costs.mixed_factor };
        let work = self.costs.read_ms(wanted.prompt - cached, cached) * factor;
        let begin = at + self.costs.intake_ms;
        // Short prompts are the more urgent ones, and are read before the others.
        let urgent = wanted.prompt < self.costs.notable;
        self.free[engine] = self.free[engine].max(begin) + work;
        let first = if urgent { begin + work } else { self.free[engine] };
        self.ends.push((first, from, engine, choice.load));
        if choice.load.unread >= manner.told {
            self.due.push(Due { at: at + TRANSIT_MS, from, key: engine });
            self.due.push(Due { at: first + TRANSIT_MS, from, key: engine });
        }
        Some(first)
    }

    /// Takes back the loads of what has ended, and delivers what was told.
    fn settle(&mut self, now: f64) {
        let (boards, keys) = (&mut self.boards, &self.keys);
        self.ends.retain(|(end, from, engine, load)| {
            let over = *end <= now;
            if over {
                boards[*from].finish(keys[*from][*engine], *load, moment(now));
            }
            !over
        });
        let (due, later) = std::mem::take(&mut self.due).into_iter().partition(|due| due.at <= now);
        self.due = later;
        let due: Vec<Due> = due;
        for due in due {
            let key = self.keys[due.from][due.key];
            let tellings = self.boards[due.from].tellings_of(&[key], moment(now));
            self.hear(due.from, &tellings, now);
        }
    }

    /// The next instance in turn tells all others its loads.
    fn tell_all(&mut self, now: f64) {
        let from = (now / (ROUND_MS / INSTANCES as f64)).round() as usize % INSTANCES;
        let tellings = self.boards[from].tellings(CLEARED, moment(now));
        self.hear(from, &tellings, now);
    }

    fn hear(&mut self, from: usize, tellings: &[Telling], now: f64) {
        let name = self.names[from];
        for (index, board) in self.boards.iter_mut().enumerate() {
            if index != from {
                board.note_peer(name, tellings, moment(now));
            }
        }
    }
}

fn seat(index: usize) -> SeatFacts {
    SeatFacts {
        name: format!("engine-{index}").into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        domain: "a".into(),
        slots: 12,
        leaving: false,
        stage: Some(if index < READERS { Stage::Prefill } else { Stage::Decode }),
        born: 1,
    }
}

fn wanted(parts: Vec<Part>, kind: usize, manner: Manner, draw: f64) -> Wanted {
    Wanted {
        service: "engines".into(),
        domain: "a".into(),
        prompt: parts.iter().map(|part| part.tokens).sum(),
        parts,
        output: [120, 40][kind],
        limit: Duration::from_secs(5),
        aim: Duration::from_millis([600, 300][kind]),
        slack: Duration::from_millis([420, 210][kind]),
        pause: Duration::from_millis(200),
        share: 100,
        unseen: Duration::from_millis(manner.unseen),
        draw: if manner.unseen == 0 { 0.0 } else { draw },
        ..Wanted::default()
    }
}

#[gtest]
fn instances_that_cannot_see_each_other_spread_their_choices() {
    for case in &LOADS {
        for seed in 1..=2 {
            let outcomes =
                [ALONE, DRAWN, TOLD].map(|manner| (manner.name, play(case, manner, seed)));
            let told = outcomes[2].1;
            for (name, other) in &outcomes[..2] {
                for kind in 0..2 {
                    let name = format!("{}, kind {kind}, {name}, seed {seed}", case.name);
                    expect_that!(told[kind], ge(other[kind]), "{name}");
                }
            }
            // Engines have room for all of it, so nobody need wait for another one's choice.
            expect_that!(told[0], ge(0.99), "{}, seed {seed}", case.name);
            expect_that!(told[1], ge(0.99), "{}, seed {seed}", case.name);
        }
    }
}
