//! Polls the load of the endpoints assigned to this instance and broadcasts it.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::owner;
use agatestair_runtime::log_event;
use agatestair_schema::endpoint::{CacheEvents, CacheOp};
use agatestair_schema::link::{
    CacheBatch, CacheBlock, EndpointKind, EndpointView, LinkMessage, LoadBatch,
};

use super::Control;
use crate::event::{Event, PollResult};
use crate::events::{ENDPOINT_RECOVERED, ENDPOINT_SILENT};

/// Consecutive failed polls after which an endpoint is logged as silent.
const SILENT_FAILURES: u32 = 3;
/// Size of one endpoint's load figures in a link message, in bytes.
const VIEW_BYTES: f64 = 220.0;
/// Load figures that an instance may receive, in bytes per second.
const LOAD_BYTES_S: f64 = 6000.0;
/// Longest interval between broadcasts of load figures.
const MAX_BROADCAST_INTERVAL: Duration = Duration::from_secs(2);

impl Control {
    /// Polls the endpoints that rendezvous hashing assigns to this instance.
    pub(super) fn poll_endpoints(&mut self, now: Moment) {
        if !self.timers.poll.try_start(now) {
            return;
        }
        let live = self.members.live(now);
        let own = live.iter().position(|name| *name == self.own);
        let names: Vec<Arc<str>> = self
            .fleet
            .iter()
            .filter(|(name, tracked)| {
                tracked.listed && !tracked.polling && owner(name, &live) == own
            })
            .map(|(name, _)| name.clone())
            .collect();
        for (index, name) in names.into_iter().enumerate() {
            self.poll_endpoint(index, name);
        }
    }

    fn poll_endpoint(&mut self, index: usize, name: Arc<str>) {
        let Some(tracked) = self.fleet.get_mut(&name) else {
            return;
        };
        tracked.polling = true;
        let address = tracked.record.address.clone();
        let after = tracked.cache_after;
        let engine = tracked.view.kind == EndpointKind::Engine;
        let client = self.client.clone();
        let worker = &self.workers.polls[index % self.workers.polls.len()];
        worker.run(move || {
            let load = client.load(&address);
            let cache = (engine && load.is_ok()).then(|| client.cache_events(&address, after).ok());
            Event::Polled(PollResult { endpoint: name, load, cache: cache.flatten() })
        });
    }

    pub(super) fn on_polled(&mut self, now: Moment, polled: PollResult) {
        let PollResult { endpoint, load, cache } = polled;
        let Some(tracked) = self.fleet.get_mut(&endpoint) else {
            return;
        };
        tracked.polling = false;
        match load {
            Ok(report) => {
                if tracked.failures >= SILENT_FAILURES {
                    log_event!(self.log, ENDPOINT_RECOVERED, "endpoint" => &*endpoint);
                }
                self.fleet.note_report(now, &endpoint, report);
                self.to_broadcast.insert(endpoint.clone());
            }
            Err(error) => {
                tracked.failures = tracked.failures.saturating_add(1);
                if tracked.failures == SILENT_FAILURES {
                    let error = error.to_string();
                    log_event!(self.log, ENDPOINT_SILENT, "endpoint" => &*endpoint, "error" => error);
                }
            }
        }
        if let Some(events) = cache {
            self.broadcast_cache(&endpoint, &events);
        }
    }

    /// Broadcasts the load figures collected since the last broadcast to the peers.
    ///
    /// The interval grows with the number of endpoints, so that the load figures that an instance
    /// receives stay within [`LOAD_BYTES_S`].
    pub(super) fn broadcast_loads(&mut self, now: Moment) {
        if !self.timers.broadcast.try_start(now) {
            return;
        }
        let poll = Duration::from_millis(self.settings.poll_ms);
        let bytes = self.fleet.iter().count() as f64 * VIEW_BYTES;
        let paced = Duration::from_secs_f64(bytes / LOAD_BYTES_S);
        self.timers.broadcast.set_interval(paced.clamp(poll, MAX_BROADCAST_INTERVAL.max(poll)));
        let names = std::mem::take(&mut self.to_broadcast);
        let tracked = names.iter().filter_map(|name| self.fleet.get(name));
        let endpoints: Vec<EndpointView> =
            tracked.map(|tracked| self.fleet.view(now, tracked)).collect();
        if endpoints.is_empty() {
            return;
        }
        let batch = LoadBatch { collector: self.own.to_string(), endpoints };
        self.peers.broadcast(&LinkMessage::Load(batch));
    }

    fn broadcast_cache(&mut self, endpoint: &str, events: &CacheEvents) {
        if let Some(tracked) = self.fleet.get_mut(endpoint) {
            tracked.cache_after = events.last;
        }
        if events.events.is_empty() {
            return;
        }
        let blocks = events.events.iter().map(|event| CacheBlock {
            block: event.block,
            endpoint: endpoint.to_owned(),
            stored: event.op == CacheOp::Stored,
        });
        let batch = CacheBatch { blocks: blocks.collect() };
        self.peers.broadcast(&LinkMessage::Cache(batch.clone()));
        self.push_entry(LinkMessage::Cache(batch));
    }
}
