//! What is pushed to the entry and the peers.

use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_runtime::log_event;
use agatestair_schema::link::{
    Authority, Directory, EndpointKind, EndpointState, EntryRecord, FleetView, LinkMessage,
};

use super::Control;
use crate::events::FRESHNESS;

/// Time without confirmation after which the lists no longer count as current.
const FRESH_FOR: Duration = Duration::from_secs(4);
/// Time for which peers are asked, with the store down, before their lists count as the highest.
const LEARN_FROM_PEERS: Duration = Duration::from_secs(2);

impl Control {
    /// Pushes what is due.
    pub(super) fn push_all(&mut self, now: Moment) {
        self.update_freshness(now);
        if self.timers.beat.start(now) {
            self.peers.broadcast(&LinkMessage::Heartbeat(self.own_beat()));
        }
        self.share_views(now);
        if self.timers.push.start(now) {
            self.push_fleet(now);
        }
        if self.timers.refresh.start(now) {
            self.push_directory(now);
            self.push_shares(now);
            self.push_entry(LinkMessage::Authority(Authority { fresh: self.fresh }));
        }
    }

    /// Sends to the entry, if it is linked.
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
        if self.stopping.is_none() && self.entry.is_live() {
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
        let serving = self.fleet.iter().filter(|(_, known)| {
            known.view.kind == EndpointKind::Engine
                && self.fleet.state(now, known) == EndpointState::Serving
        });
        let engines = u32::try_from(serving.count()).unwrap_or(u32::MAX);
        self.shares.set_engines(engines);
        let mut grants = self.shares.allocate(now);
        if let Some(grant) = grants.remove(&self.own) {
            self.push_entry(LinkMessage::Shares(grant));
        }
    }

    /// Decides whether the entry may rely on the lists.
    fn update_freshness(&mut self, now: Moment) {
        let fresh = self.lists.is_fresh(now, FRESH_FOR, LEARN_FROM_PEERS);
        if fresh != self.fresh {
            self.fresh = fresh;
            log_event!(self.log, FRESHNESS, "fresh" => fresh);
            self.push_entry(LinkMessage::Authority(Authority { fresh }));
            self.timers.beat.hasten();
        }
    }
}
