//! Load reports that lag and cache events that come late and with gaps.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatestair_schema::endpoint::{CacheEvent, CacheEvents, CacheOp, EngineRole, LoadReport};
use agatestair_schema::settings::EngineSettings;

/// Shortest time between two kept reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Cache events that are kept.
const KEPT_EVENTS: usize = 16_384;
/// Greatest number of cache events in one answer.
const PAGE_EVENTS: usize = 2048;

struct Timed<T> {
    at: Instant,
    value: T,
}

struct Published {
    reports: VecDeque<Timed<LoadReport>>,
    sequence: u64,
    events: VecDeque<Timed<(u64, CacheEvent)>>,
    events_total: u64,
    frozen: Option<LoadReport>,
}

/// What an endpoint tells of itself.
pub struct Reports {
    published: Mutex<Published>,
    lag: Duration,
}

impl Reports {
    /// Creates it with a first report; reports and cache events are `lag` old when they are seen.
    pub fn new(first: LoadReport, lag: Duration) -> Self {
        let at = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        let published = Published {
            reports: VecDeque::from([Timed { at, value: first }]),
            sequence: 0,
            events: VecDeque::new(),
            events_total: 0,
            frozen: None,
        };
        Self { published: Mutex::new(published), lag }
    }

    fn lock(&self) -> MutexGuard<'_, Published> {
        self.published.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a report; one that follows the last too closely replaces it.
    pub fn publish(&self, report: LoadReport) {
        let mut published = self.lock();
        let now = Instant::now();
        let at = match published.reports.back() {
            Some(last) if published.reports.len() > 1 && now - last.at < REPORT_INTERVAL => {
                let at = last.at;
                published.reports.pop_back();
                at
            }
            _ => now,
        };
        published.reports.push_back(Timed { at, value: report });
        let lag = self.lag;
        while published.reports.get(1).is_some_and(|next| now - next.at > lag) {
            published.reports.pop_front();
        }
    }

    /// The newest report that is old enough to be seen.
    pub fn latest(&self, repeat: bool) -> LoadReport {
        let mut published = self.lock();
        if let (true, Some(frozen)) = (repeat, published.frozen.clone()) {
            return frozen;
        }
        let now = Instant::now();
        let visible = published.reports.iter().rev().find(|timed| now - timed.at >= self.lag);
        let mut report = match visible.or_else(|| published.reports.front()) {
            Some(timed) => timed.value.clone(),
            None => unreachable!("a first report is always kept"),
        };
        published.sequence += 1;
        report.sequence = published.sequence;
        report.age_ms = u64::try_from(self.lag.as_millis()).unwrap_or(u64::MAX);
        published.frozen = repeat.then(|| report.clone());
        report
    }

    /// Adds a cache event; a lost one takes a number but is never seen.
    pub fn add_event(&self, op: CacheOp, block: u64, lost: bool) {
        let mut published = self.lock();
        published.events_total += 1;
        if lost {
            return;
        }
        let number = published.events_total;
        let value = (number, CacheEvent { block, op });
        published.events.push_back(Timed { at: Instant::now(), value });
        if published.events.len() > KEPT_EVENTS {
            published.events.pop_front();
        }
    }

    /// Cache events with a number above `after` that are old enough to be seen.
    pub fn events(&self, endpoint: &str, after: u64) -> CacheEvents {
        let published = self.lock();
        let now = Instant::now();
        let visible = published.events.iter().filter(|timed| now - timed.at >= self.lag);
        let page: Vec<&Timed<(u64, CacheEvent)>> =
            visible.filter(|timed| timed.value.0 > after).take(PAGE_EVENTS).collect();
        let last = page.last().map_or(after, |timed| timed.value.0);
        CacheEvents {
            endpoint: endpoint.to_owned(),
            first: page.first().map_or(last + 1, |timed| timed.value.0),
            last,
            events: page.iter().map(|timed| timed.value.1.clone()).collect(),
        }
    }
}

/// Report of an engine before its first work.
pub fn first_report(name: &str, settings: &EngineSettings) -> LoadReport {
    LoadReport {
        endpoint: name.to_owned(),
        sequence: 0,
        age_ms: 0,
        role: EngineRole::Mixed,
        changing: false,
        active: 0,
        queued: 0,
        prefill_backlog: 0,
        decode_backlog: 0,
        prefill_rate: 0.0,
        decode_rate: 0.0,
        kv_used: 0,
        kv_total: settings.kv_tokens,
        models: settings.models.clone(),
    }
}
