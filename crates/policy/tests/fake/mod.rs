//! A simulation of entries and endpoints in virtual time, built on the scheduler's public API.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::{
    Action, AttemptEnd, AttemptKey, Call, Completion, Moment, Purpose, Refusal, RequestFacts,
    RequestKey, Scheduler, SchedulerSettings, ShareAllocator, ShareSettings, Work,
};
use agatestair_schema::link::{
    DemandReport, EndpointKind, EndpointRole, EndpointState, EndpointView, FleetView,
};
use agatestair_schema::lists::{
    Allowance, AllowancesList, Customer, Lists, Plan, PlansList, ServiceRule,
};

/// Length of one step of virtual time.
pub const STEP: Duration = Duration::from_millis(2);

/// Interval between load reports, and between share grants.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Target time to the first token of every plan.
pub const FIRST_TARGET: Duration = Duration::from_secs(1);

/// Engine time of one prompt token, in microseconds.
const PREFILL_US: f64 = 15.0;

/// Time of one decode step with an empty batch, in microseconds.
const DECODE_STEP_US: f64 = 8_000.0;

/// Time that each sequence adds to a decode step, in microseconds.
const SEQUENCE_US: f64 = 150.0;

/// Most jobs that an endpoint runs at once.
const MAX_BATCH: usize = 32;

/// Engine time of one output token in a full batch, in microseconds.
const TOKEN_US: f64 = 400.0;

/// A plan to pass to [`lists`].
#[derive(Clone, Copy, Debug)]
pub struct PlanCase {
    pub name: &'static str,
    pub priority: u32,
    pub share: f64,
    pub borrow: bool,
}

/// Returns lists with the given plans, each allowed to use every service and model.
pub fn lists(plans: &[PlanCase]) -> Arc<Lists> {
    let plan = |case: &PlanCase| Plan {
        name: case.name.to_owned(),
        priority: case.priority,
        first_ms: FIRST_TARGET.as_millis() as u64,
        token_ms: 71,
        deadline_ms: 30_000,
        objective: 0.99,
    };
    let allowance = |case: &PlanCase| Allowance {
        plan: case.name.to_owned(),
        services: vec!["models".into(), "ledger".into()],
        models: vec!["m".into()],
        fleet_share: case.share,
        max_queue: 500,
        borrow: case.borrow,
    };
    Arc::new(Lists {
        revision: 1,
        operator: "test".into(),
        applied_ms: 0,
        plans: PlansList {
            plans: plans.iter().map(plan).collect(),
            customers: Vec::<Customer>::new(),
        },
        allowances: AllowancesList {
            allowances: plans.iter().map(allowance).collect(),
            services: Vec::<ServiceRule>::new(),
        },
    })
}

/// Returns a request for a completion with `prompt` input and at most `output` output tokens.
pub fn completion(
    plan: &str,
    customer: &str,
    prompt: u32,
    output: u32,
    deadline: Moment,
) -> RequestFacts {
    let work = Completion { prompt_tokens: prompt, max_tokens: output, blocks: Vec::new() };
    RequestFacts {
        customer: customer.into(),
        plan: plan.into(),
        service: "models".into(),
        model: "m".into(),
        deadline,
        work: Work::Completion(work),
    }
}

/// Returns a request to the plain service.
pub fn call(plan: &str, customer: &str, idempotent: bool, deadline: Moment) -> RequestFacts {
    let work = Work::Call(Call { idempotent });
    let facts = completion(plan, customer, 0, 0, deadline);
    RequestFacts { service: "ledger".into(), model: "".into(), work, ..facts }
}

/// Returns the view of an idle endpoint that is serving.
pub fn view(name: &str, kind: EndpointKind, role: EndpointRole) -> EndpointView {
    let engine = kind == EndpointKind::Engine;
    EndpointView {
        name: name.into(),
        service: if engine { "models".into() } else { "ledger".into() },
        kind,
        address: "127.0.0.1:1".into(),
        domain: "yaba".into(),
        state: EndpointState::Serving,
        role,
        changing: false,
        report: 1,
        age_ms: 0,
        active: 0,
        queued: 0,
        prefill_backlog: 0,
        decode_backlog: 0,
        prefill_rate: 0.0,
        decode_rate: 0.0,
        kv_used: 0,
        kv_total: 0,
        models: if engine { vec!["m".into()] } else { Vec::new() },
    }
}

/// An attempt that runs or is queued at an endpoint.
#[derive(Debug)]
struct Job {
    entry: usize,
    attempt: AttemptKey,
    /// Prompt tokens left to process.
    prompt: f64,
    /// Output tokens left to generate.
    output: f64,
    /// Output tokens sent by this attempt.
    sent: u32,
    /// Output tokens that the caller already had when the attempt started.
    offset: u32,
    purpose: Purpose,
}

/// A simulated engine or service instance.
#[derive(Debug)]
pub struct FakeEndpoint {
    pub view: EndpointView,
    /// Factor by which it is slower than normal.
    pub slowdown: f64,
    /// How every attempt sent to it ends; `None` if it responds.
    pub fault: Option<AttemptEnd>,
    jobs: Vec<Job>,
}

/// Progress and outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub plan: String,
    pub submitted: Moment,
    pub first_token: Option<Moment>,
    pub done: Option<Moment>,
    pub refused: Option<Refusal>,
    pub withdrawn: bool,
    /// Attempts that may have run.
    pub executions: u32,
    pub attempts: u32,
    /// Engine time for one full run, in seconds.
    pub engine_secs: f64,
    /// Numbers of prompt and output tokens.
    pub tokens: (u32, u32),
    /// Output tokens delivered to the caller.
    delivered: u32,
    /// Output tokens generated by all attempts together.
    generated: u32,
}

/// A simulated entry with its scheduler.
pub struct FakeEntry {
    pub name: String,
    pub scheduler: Scheduler,
    /// Whether its process is running.
    pub alive: bool,
    /// Whether it exchanges demand reports and share grants with the allocator.
    pub connected: bool,
    pub records: HashMap<RequestKey, Record>,
    running: BTreeMap<AttemptKey, RequestKey>,
    /// Engine seconds of the first attempts dispatched for each plan.
    pub dispatched: BTreeMap<String, f64>,
}

/// Simulated entries and endpoints on one virtual clock.
pub struct Simulation {
    pub now: Moment,
    pub endpoints: Vec<FakeEndpoint>,
    pub entries: Vec<FakeEntry>,
    allocator: ShareAllocator,
    last_report: Moment,
    /// Reports that are not yet delivered, with the time at which they were made.
    reports: VecDeque<(Moment, Vec<EndpointView>)>,
    /// Delay with which reports reach the entries.
    pub report_lag: Duration,
    /// Engine seconds of prompts processed by hedged attempts.
    hedged_work: f64,
    /// Engine seconds of all other attempts that were started.
    pub started_work: f64,
}

impl Simulation {
    pub fn new(settings: &SchedulerSettings, lists: &Arc<Lists>, entries: usize) -> Self {
        let entry = |index: usize| {
            let seed = settings.seed + index as u64;
            let mut settings = SchedulerSettings { seed, ..settings.clone() };
            settings.engine.slots = u32::try_from(MAX_BATCH).unwrap_or(u32::MAX);
            let mut scheduler = Scheduler::new(settings);
            scheduler.set_lists(lists.clone());
            FakeEntry {
                name: format!("entry-{index}"),
                scheduler,
                alive: true,
                connected: true,
                records: HashMap::new(),
                running: BTreeMap::new(),
                dispatched: BTreeMap::new(),
            }
        };
        let entries: Vec<FakeEntry> = (0..entries).map(entry).collect();
        let mut allocator = ShareAllocator::new(ShareSettings::default());
        let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        allocator.set_entries(&names);
        Self {
            now: Moment(1_000_000),
            endpoints: Vec::new(),
            entries,
            allocator,
            last_report: Moment::default(),
            reports: VecDeque::new(),
            report_lag: Duration::from_millis(250),
            hedged_work: 0.0,
            started_work: 0.0,
        }
    }

    /// Adds engines of a role, and instances of the plain service.
    pub fn add_endpoints(&mut self, engines: usize, role: EndpointRole, services: usize) {
        let first = self.endpoints.len();
        for index in 0..engines + services {
            let kind = if index < engines { EndpointKind::Engine } else { EndpointKind::Service };
            let name = format!("endpoint-{}", first + index);
            let view = view(&name, kind, role);
            self.endpoints.push(FakeEndpoint {
                view,
                slowdown: 1.0,
                fault: None,
                jobs: Vec::new(),
            });
        }
        let engines = self.endpoints.iter().filter(|e| e.view.kind == EndpointKind::Engine);
        self.allocator.set_engines(u32::try_from(engines.count()).unwrap_or(0));
    }

    /// Submits a request at an entry and returns its key, or the refusal if it was not admitted.
    pub fn submit(&mut self, entry: usize, facts: RequestFacts) -> Result<RequestKey, Refusal> {
        let plan = facts.plan.to_string();
        let tokens = match &facts.work {
            Work::Completion(work) => (work.prompt_tokens, work.max_tokens),
            Work::Call(_) => (0, 1),
        };
        let engine_secs = (f64::from(tokens.0) * PREFILL_US + f64::from(tokens.1) * TOKEN_US) / 1e6;
        let key = self.entries[entry].scheduler.submit(self.now, facts)?;
        let record = Record { plan, submitted: self.now, engine_secs, tokens, ..Record::default() };
        self.entries[entry].records.insert(key, record);
        Ok(key)
    }

    /// Withdraws a request, as if its caller had disconnected.
    pub fn withdraw(&mut self, entry: usize, key: RequestKey) {
        let mut actions = Vec::new();
        self.entries[entry].scheduler.withdraw(key, &mut actions);
        if let Some(record) = self.entries[entry].records.get_mut(&key)
            && record.done.is_none()
            && record.refused.is_none()
        {
            record.withdrawn = true;
        }
        self.apply(entry, actions);
    }

    /// Reports all running attempts of an entry as silent.
    pub fn silence(&mut self, entry: usize) {
        let entry = &mut self.entries[entry];
        for attempt in entry.running.keys() {
            entry.scheduler.note_silent(*attempt);
        }
    }

    /// Advances the simulation by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation by one [`STEP`].
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        if self.now.since(self.last_report) >= REPORT_INTERVAL {
            self.last_report = self.now;
            self.report();
        }
        for index in 0..self.endpoints.len() {
            self.step_endpoint(index);
        }
        for entry in 0..self.entries.len() {
            self.poll(entry);
        }
    }

    /// Polls an entry's scheduler and carries out its actions, if the entry is alive.
    pub fn poll(&mut self, entry: usize) {
        if self.entries[entry].alive {
            let mut actions = Vec::new();
            self.entries[entry].scheduler.poll(self.now, &mut actions);
            self.apply(entry, actions);
        }
    }

    /// Engine seconds spent on top of processing each request once.
    pub fn extra_work(&self) -> f64 {
        let records = self.entries.iter().flat_map(|entry| entry.records.values());
        let excess = |record: &Record| record.generated.saturating_sub(record.tokens.1);
        let tokens: u32 = records.map(excess).sum();
        self.hedged_work + f64::from(tokens) * TOKEN_US / 1e6
    }

    fn report(&mut self) {
        let views = self.endpoints.iter_mut().map(FakeEndpoint::report).collect();
        self.reports.push_back((self.now, views));
        while self.reports.len() > 1 && self.now.since(self.reports[1].0) >= self.report_lag {
            self.reports.pop_front();
        }
        let (made, mut endpoints) = self.reports[0].clone();
        let age = u64::try_from(self.now.since(made).as_millis()).unwrap_or(0);
        endpoints.iter_mut().for_each(|view| view.age_ms = age);
        let fleet = FleetView { version: 1, endpoints };
        for entry in self.entries.iter_mut().filter(|entry| entry.alive) {
            entry.scheduler.set_fleet(self.now, &fleet);
            let plans = entry.scheduler.take_demand(self.now);
            let report = DemandReport { instance: entry.name.clone(), plans };
            if entry.connected {
                self.allocator.note_demand(self.now, &report);
            }
        }
        for (name, grant) in self.allocator.allocate(self.now) {
            let entry = self.entries.iter_mut().find(|entry| *entry.name == *name);
            if let Some(entry) = entry.filter(|entry| entry.connected) {
                entry.scheduler.set_shares(self.now, &grant);
            }
        }
    }

    fn apply(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { request, attempt, name, purpose, .. } => {
                    self.start_attempt(entry, request, attempt, &name, purpose);
                }
                Action::Cancel { attempt } => {
                    for endpoint in &mut self.endpoints {
                        endpoint.jobs.retain(|job| (job.entry, job.attempt) != (entry, attempt));
                    }
                    self.end_attempt(entry, attempt, AttemptEnd::Cancelled);
                }
                Action::Refuse { request, refusal } => {
                    if let Some(record) = self.entries[entry].records.get_mut(&request) {
                        assert!(
                            record.done.is_none() && !record.withdrawn,
                            "request refused after it had ended"
                        );
                        assert!(record.refused.is_none(), "request refused twice");
                        record.refused = Some(refusal);
                    }
                }
            }
        }
    }

    fn start_attempt(
        &mut self,
        entry: usize,
        request: RequestKey,
        attempt: AttemptKey,
        name: &str,
        purpose: Purpose,
    ) {
        let state = &mut self.entries[entry];
        state.running.insert(attempt, request);
        let Some(record) = state.records.get_mut(&request) else { return };
        assert!(
            record.refused.is_none() && record.done.is_none(),
            "attempt started after the request had ended"
        );
        record.attempts += 1;
        match purpose {
            Purpose::Hedge => self.hedged_work += f64::from(record.tokens.0) * PREFILL_US / 1e6,
            _ => self.started_work += record.engine_secs,
        }
        if purpose == Purpose::First {
            *state.dispatched.entry(record.plan.clone()).or_default() += record.engine_secs;
        }
        let endpoint = self.endpoints.iter_mut().find(|endpoint| endpoint.view.name == name);
        let Some(endpoint) = endpoint else { return };
        match endpoint.fault {
            Some(AttemptEnd::NotRun) => self.end_attempt(entry, attempt, AttemptEnd::NotRun),
            Some(fault) => {
                record.executions += 1;
                self.end_attempt(entry, attempt, fault);
            }
            None => {
                record.executions += 1;
                let prompt = if purpose == Purpose::First && record.attempts > 1 {
                    0.0
                } else {
                    f64::from(record.tokens.0)
                };
                let offset = record.delivered;
                let output = f64::from(record.tokens.1.saturating_sub(offset));
                let job = Job { entry, attempt, prompt, output, sent: 0, offset, purpose };
                endpoint.jobs.push(job);
            }
        }
    }

    fn step_endpoint(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let events = endpoint.advance();
        for (entry, attempt, event) in events {
            if !self.entries[entry].alive {
                continue;
            }
            match event {
                Event::Tokens(tokens, delivered) => {
                    self.deliver_tokens(entry, attempt, tokens, delivered);
                }
                Event::Prefilled => {
                    self.entries[entry].scheduler.note_prefilled(self.now, attempt);
                    self.end_attempt(entry, attempt, AttemptEnd::Done);
                }
                Event::Done => self.end_attempt(entry, attempt, AttemptEnd::Done),
            }
        }
    }

    fn deliver_tokens(&mut self, entry: usize, attempt: AttemptKey, tokens: u32, delivered: u32) {
        let state = &mut self.entries[entry];
        state.scheduler.note_tokens(self.now, attempt, tokens);
        let request = state.running.get(&attempt).copied();
        let record = request.and_then(|request| state.records.get_mut(&request));
        if let Some(record) = record {
            record.first_token.get_or_insert(self.now);
            record.generated += tokens;
            record.delivered = record.delivered.max(delivered);
        }
    }

    fn end_attempt(&mut self, entry: usize, attempt: AttemptKey, end: AttemptEnd) {
        let state = &mut self.entries[entry];
        let Some(request) = state.running.remove(&attempt) else { return };
        let before = state.scheduler.open();
        state.scheduler.note_end(self.now, attempt, end);
        if state.scheduler.open() < before
            && let Some(record) = state.records.get_mut(&request)
            && end == AttemptEnd::Done
        {
            assert!(record.done.is_none() && record.refused.is_none(), "request ended twice");
            record.done = Some(self.now);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// Tokens sent, and the caller's total of output tokens once they are delivered.
    Tokens(u32, u32),
    Prefilled,
    Done,
}

impl FakeEndpoint {
    /// Whether it has an attempt.
    pub fn is_busy(&self) -> bool {
        !self.jobs.is_empty()
    }

    fn report(&mut self) -> EndpointView {
        self.view.report += 1;
        let active = self.jobs.len().min(MAX_BATCH);
        self.view.active = u32::try_from(active).unwrap_or(0);
        self.view.queued = u32::try_from(self.jobs.len() - active).unwrap_or(0);
        self.view.prefill_backlog = self.jobs.iter().map(|job| job.prompt as u64).sum();
        self.view.decode_backlog = self.jobs.iter().map(|job| job.output as u64).sum();
        self.view.clone()
    }

    /// Advances by one step: processes prompts first, and decodes in the time that is left.
    fn advance(&mut self) -> Vec<(usize, AttemptKey, Event)> {
        let mut events = Vec::new();
        let mut remaining = STEP.as_secs_f64() * 1e6 / self.slowdown;
        for job in self.jobs.iter_mut().take(MAX_BATCH) {
            let spent = remaining.min(job.prompt * PREFILL_US);
            job.prompt -= spent / PREFILL_US;
            remaining -= spent;
        }
        let streaming = self.jobs.iter().take(MAX_BATCH).filter(|job| job.prompt < 0.5).count();
        let tokens = remaining / (DECODE_STEP_US + SEQUENCE_US * streaming as f64);
        for job in self.jobs.iter_mut().take(MAX_BATCH).filter(|job| job.prompt < 0.5) {
            if job.purpose == Purpose::Prefill {
                events.push((job.entry, job.attempt, Event::Prefilled));
                continue;
            }
            let before = job.output.ceil();
            job.output -= tokens;
            let sent = (before - job.output.max(0.0).ceil()) as u32;
            if sent > 0 {
                job.sent += sent;
                let delivered = job.offset + job.sent;
                events.push((job.entry, job.attempt, Event::Tokens(sent, delivered)));
            }
            if job.output <= 0.0 {
                events.push((job.entry, job.attempt, Event::Done));
            }
        }
        let ended =
            |job: &Job| job.output <= 0.0 || (job.purpose == Purpose::Prefill && job.prompt < 0.5);
        self.jobs.retain(|job| !ended(job));
        events
    }
}
