//! Load reports and cache events, served with a delay; cache events may also have gaps.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatestair_schema::endpoint::{CacheEvent, CacheEvents, CacheOp, EngineRole, LoadReport};
use agatestair_schema::settings::EngineSettings;

/// Minimum interval between the reports kept.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of cache events kept; the oldest are dropped first.
const MAX_EVENTS: usize = 16_384;
/// Maximum number of cache events per page.
const MAX_PAGE_EVENTS: usize = 2048;

/// Value with its time of publication.
struct Timed<T> {
    at: Instant,
    value: T,
}

struct Published {
    reports: VecDeque<Timed<LoadReport>>,
    sequence: u64,
    events: VecDeque<Timed<(u64, CacheEvent)>>,
    events_total: u64,
    /// Report served repeatedly while the fault `stale_reports` is active.
    frozen: Option<LoadReport>,
}

/// Load reports and cache events published by an endpoint.
pub struct Reports {
    published: Mutex<Published>,
    lag: Duration,
}

impl Reports {
    /// Creates it with a first report; reports and cache events become visible after `lag`.
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

    /// Publishes a report; replaces the previous one if it is less than
    /// [`REPORT_INTERVAL`] old.
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

    /// Returns the newest visible report, or the same report on every call while `stale` is set.
    pub fn latest(&self, stale: bool) -> LoadReport {
        let mut published = self.lock();
        if let (true, Some(frozen)) = (stale, published.frozen.clone()) {
            return frozen;
        }
        let now = Instant::now();
        let visible = published.reports.iter().rev().find(|timed| now - timed.at >= self.lag);
        let mut report = match visible.or_else(|| published.reports.front()) {
            Some(timed) => timed.value.clone(),
            None => unreachable!("at least one report is always kept"),
        };
        published.sequence += 1;
        report.sequence = published.sequence;
        report.age_ms = u64::try_from(self.lag.as_millis()).unwrap_or(u64::MAX);
        published.frozen = stale.then(|| report.clone());
        report
    }

    /// Adds a cache event; a lost event uses up a sequence number but is never served.
    pub fn add_event(&self, op: CacheOp, block: u64, lost: bool) {
        let mut published = self.lock();
        published.events_total += 1;
        if lost {
            return;
        }
        let number = published.events_total;
        let value = (number, CacheEvent { block, op });
        published.events.push_back(Timed { at: Instant::now(), value });
        if published.events.len() > MAX_EVENTS {
            published.events.pop_front();
        }
    }

    /// Returns the visible cache events with a sequence number above `after`.
    pub fn events(&self, endpoint: &str, after: u64) -> CacheEvents {
        let published = self.lock();
        let now = Instant::now();
        let visible = published.events.iter().filter(|timed| now - timed.at >= self.lag);
        let page: Vec<&Timed<(u64, CacheEvent)>> =
            visible.filter(|timed| timed.value.0 > after).take(MAX_PAGE_EVENTS).collect();
        let last = page.last().map_or(after, |timed| timed.value.0);
        CacheEvents {
            endpoint: endpoint.to_owned(),
            first: page.first().map_or(last + 1, |timed| timed.value.0),
            last,
            events: page.iter().map(|timed| timed.value.1.clone()).collect(),
        }
    }
}

/// Load report of an engine before its first request.
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
