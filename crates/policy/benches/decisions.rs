//! Time of admission and placement with 10,000 waiting requests and 10 to 910 endpoints.
//!
//! One iteration ends an attempt, submits a request and polls, which starts one waiting request.
//! The clock advances by one millisecond per iteration, so that every fifth poll also evaluates the
//! endpoints' room and every twentieth one their pace.

#[path = "../tests/fake/mod.rs"]
mod fake;

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;

use agatestair_policy::{
    Action, AttemptEnd, AttemptKey, Completion, Moment, RequestFacts, Scheduler, SchedulerSettings,
    Work,
};
use agatestair_schema::link::{EndpointKind, EndpointRole, FleetView};
use agatestair_schema::lists::Lists;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fake::{PlanCase, lists, view};

const WAITING: u32 = 10_000;

const PLANS: [PlanCase; 3] = [
    PlanCase { name: "gold", priority: 3, share: 0.5, borrow: true },
    PlanCase { name: "silver", priority: 2, share: 0.3, borrow: true },
    PlanCase { name: "base", priority: 1, share: 0.2, borrow: true },
];

/// A scheduler with many waiting requests.
struct Saturated {
    scheduler: Scheduler,
    now: Moment,
    open: VecDeque<AttemptKey>,
    count: u64,
}

impl Saturated {
    fn new(endpoints: usize) -> Self {
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        scheduler.set_lists(long_wait_lists().into());
        let engine = |index| view(&format!("e{index}"), EndpointKind::Engine, EndpointRole::Mixed);
        let endpoints = (0..endpoints).map(engine).collect();
        let now = Moment(1_000_000);
        scheduler.set_fleet(now, &FleetView { version: 1, endpoints });
        let mut saturated = Self { scheduler, now, open: VecDeque::new(), count: 0 };
        while saturated.scheduler.waiting() < WAITING {
            saturated.submit();
            saturated.poll();
        }
        saturated
    }

    fn submit(&mut self) {
        self.count += 1;
        let plan = PLANS[self.count as usize % PLANS.len()].name;
        let work = Completion {
            prompt_tokens: 100 + (self.count % 17 * 300) as u32,
            max_tokens: 8 + (self.count % 5 * 50) as u32,
            blocks: (0..4).map(|block| self.count % 50 * 10 + block).collect(),
        };
        let facts = RequestFacts {
            customer: format!("c{}", self.count % 300).into(),
            plan: plan.into(),
            service: "models".into(),
            model: "m".into(),
            deadline: self.now + Duration::from_secs(1_000_000),
            work: Work::Completion(work),
        };
        let _ = black_box(self.scheduler.submit(self.now, facts));
    }

    fn poll(&mut self) {
        let mut actions = Vec::new();
        self.scheduler.poll(self.now, &mut actions);
        for action in actions {
            if let Action::Start { attempt, .. } = action {
                self.scheduler.note_tokens(self.now, attempt, 1);
                self.open.push_back(attempt);
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        if let Some(attempt) = self.open.pop_front() {
            self.scheduler.note_end(self.now, attempt, AttemptEnd::Done);
        }
        self.submit();
        self.poll();
    }
}

/// Lists with targets and bounds that allow 10,000 requests to wait.
fn long_wait_lists() -> Lists {
    let mut lists = (*lists(&PLANS)).clone();
    lists.plans.plans.iter_mut().for_each(|plan| plan.first_ms = 1_000_000_000);
    lists.allowances.allowances.iter_mut().for_each(|a| a.max_queue = 100_000);
    lists
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit_and_place");
    for endpoints in [10, 100, 300, 910] {
        let mut saturated = Saturated::new(endpoints);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| saturated.step());
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2));
    targets = decisions
}
criterion_main!(benches);
