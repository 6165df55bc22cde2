//! Pushes state to the entry and the peers.

use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_runtime::log_event;
use agatestair_schema::link::{
    Authority, Directory, EndpointKind, EndpointState, EntryRecord, FleetView, LinkMessage,
};

use super::Control;
use crate::events::FRESHNESS;

/// Time without contact to the store or a peer after which the lists no longer count as fresh.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// Time after the first heartbeat for which a process that has not read the store waits for newer
/// lists from its peers.
const PEER_SYNC_TIME: Duration = Duration::from_secs(2);

impl Control {
    /// Performs the pushes that are due.
    pub(super) fn push_all(&mut self, now: Moment) {
        self.update_freshness(now);
        if self.timers.heartbeat.try_start(now) {
            self.peers.broadcast(&LinkMessage::Heartbeat(self.own_heartbeat()));
        }
        self.broadcast_loads(now);
        if self.timers.push.try_start(now) {
            self.push_fleet(now);
        }
        if self.timers.refresh.try_start(now) {
            self.push_directory(now);
            self.push_shares(now);
            self.push_entry(LinkMessage::Authority(Authority { fresh: self.fresh }));
        }
    }

    /// Sends a message to the entry, if it is linked.
    pub(super) fn push_entry(&self, message: LinkMessage) {
        if let Some(link) = self.entry.link {
            self.peers.send(link, message);
        }
    }

    pub(super) fn push_lists(&self) {
        if let Some(push) = self.lists.push() {
            self.push_entry(LinkMessage::Lists(push));
        }
    }

    fn push_fleet(&mut self, now: Moment) {
        if self.entry.link.is_none() {
            return;
        }
        self.entry.version += 1;
        let endpoints = self.fleet.views(now);
        let view = FleetView { endpoints, version: self.entry.version };
        self.push_entry(LinkMessage::Fleet(view));
        self.push_shares(now);
    }

    fn push_directory(&self, now: Moment) {
        let mut entries = self.members.directory(now);
        if self.shutdown_started.is_none() && self.entry.is_live() {
            entries.push(EntryRecord {
                address: self.settings.entry.clone(),
                domain: self.settings.instance.domain.clone(),
                name: self.own.to_string(),
                region: self.settings.instance.region.clone(),
            });
        }
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        self.push_entry(LinkMessage::Directory(Directory { entries }));
    }

    fn push_shares(&mut self, now: Moment) {
        let serving = self.fleet.iter().filter(|(_, tracked)| {
            tracked.view.kind == EndpointKind::Engine
                && self.fleet.state(now, tracked) == EndpointState::Serving
        });
        let engines = u32::try_from(serving.count()).unwrap_or(u32::MAX);
        self.shares.set_engines(engines);
        let mut grants = self.shares.allocate(now);
        if let Some(grant) = grants.remove(&self.own) {
            self.push_entry(LinkMessage::Shares(grant));
        }
    }

    /// Recomputes whether the lists are fresh, and tells the entry of a change.
    fn update_freshness(&mut self, now: Moment) {
        let fresh = self.lists.is_fresh(now, MAX_SILENCE, PEER_SYNC_TIME);
        if fresh != self.fresh {
            self.fresh = fresh;
            log_event!(self.log, FRESHNESS, "fresh" => fresh);
            self.push_entry(LinkMessage::Authority(Authority { fresh }));
            self.timers.heartbeat.make_due();
        }
    }
}
