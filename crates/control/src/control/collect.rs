//! Polling of the endpoints that this instance collects.

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
use crate::event::{Event, Probed};
use crate::events::{ENDPOINT_BACK, ENDPOINT_SILENT};

/// Failed polls in a row after which an endpoint is logged as silent.
const SILENT_FAILURES: u32 = 3;
/// Size of the figures of one endpoint on a link, in bytes.
const VIEW_BYTES: f64 = 220.0;
/// Load figures that an instance may receive a second, in bytes.
const SHARE_BYTES_S: f64 = 6000.0;
/// Longest time that figures wait to be passed on.
const MAX_SHARE_INTERVAL: Duration = Duration::from_secs(2);

impl Control {
    /// Polls the endpoints that this instance owns by rendezvous hashing.
    pub(super) fn poll_endpoints(&mut self, now: Moment) {
        if !self.timers.poll.start(now) {
            return;
        }
        let live = self.members.live(now);
        let own = live.iter().position(|name| *name == self.own);
        let names: Vec<Arc<str>> = self
            .fleet
            .iter()
            .filter(|(name, known)| known.listed && !known.probing && owner(name, &live) == own)
            .map(|(name, _)| name.clone())
            .collect();
        for (index, name) in names.into_iter().enumerate() {
            self.poll_endpoint(index, name);
        }
    }

    fn poll_endpoint(&mut self, index: usize, name: Arc<str>) {
        let Some(known) = self.fleet.get_mut(&name) else {
            return;
        };
        known.probing = true;
        let address = known.record.address.clone();
        let after = known.cache_after;
        let engine = known.view.kind == EndpointKind::Engine;
        let probe = self.probe.clone();
        let lane = &self.lanes.probes[index % self.lanes.probes.len()];
        lane.run(move || {
            let load = probe.load(&address);
            let cache = (engine && load.is_ok()).then(|| probe.cache_events(&address, after).ok());
            Event::Probed(Probed { endpoint: name, load, cache: cache.flatten() })
        });
    }

    pub(super) fn on_probed(&mut self, now: Moment, probed: Probed) {
        let Probed { endpoint, load, cache } = probed;
        let Some(known) = self.fleet.get_mut(&endpoint) else {
            return;
        };
        known.probing = false;
        match load {
            Ok(report) => {
                if known.failures >= SILENT_FAILURES {
                    log_event!(self.log, ENDPOINT_BACK, "endpoint" => &*endpoint);
                }
                self.fleet.note_report(now, &endpoint, report);
                self.to_share.insert(endpoint.clone());
            }
            Err(error) => {
                known.failures = known.failures.saturating_add(1);
                if known.failures == SILENT_FAILURES {
                    let error = error.to_string();
                    log_event!(self.log, ENDPOINT_SILENT, "endpoint" => &*endpoint, "error" => error);
                }
            }
        }
        if let Some(events) = cache {
            self.share_cache(&endpoint, &events);
        }
    }

    /// Passes the figures collected since the last time on to the peers.
    ///
    /// The interval grows with the number of endpoints, so that what an instance receives stays
    /// within its part of the budget of bytes.
    pub(super) fn share_views(&mut self, now: Moment) {
        if !self.timers.share.start(now) {
            return;
        }
        let poll = Duration::from_millis(self.settings.poll_ms);
        let bytes = self.fleet.iter().count() as f64 * VIEW_BYTES;
        let paced = Duration::from_secs_f64(bytes / SHARE_BYTES_S);
        self.timers.share.set_interval(paced.clamp(poll, MAX_SHARE_INTERVAL.max(poll)));
        let names = std::mem::take(&mut self.to_share);
        let known = names.iter().filter_map(|name| self.fleet.get(name));
        let endpoints: Vec<EndpointView> = known.map(|known| self.fleet.view(now, known)).collect();
        if endpoints.is_empty() {
            return;
        }
        let batch = LoadBatch { collector: self.own.to_string(), endpoints };
        self.peers.broadcast(&LinkMessage::Load(batch));
    }

    fn share_cache(&mut self, endpoint: &str, events: &CacheEvents) {
        if let Some(known) = self.fleet.get_mut(endpoint) {
            known.cache_after = events.last;
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
