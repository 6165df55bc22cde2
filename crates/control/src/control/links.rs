//! Messages of peers and of the entry.

use std::sync::Arc;

use agatestair_link::{LinkEvent, LinkKey, Peer, PeerRole};
use agatestair_policy::Moment;
use agatestair_runtime::log_event;
use agatestair_schema::link::{DemandReport, Heartbeat, LinkMessage, ListsPush};
use agatestair_schema::lists::Lists;

use super::Control;
use crate::events::ENTRY_LINK;

impl Control {
    pub(super) fn on_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, peer } => self.on_up(now, link, peer),
            LinkEvent::Down { link, peer, .. } => self.on_down(now, link, &peer),
            LinkEvent::Message { link, peer, message } => {
                self.on_message(now, link, &peer, *message);
            }
        }
    }

    fn on_up(&mut self, now: Moment, link: LinkKey, peer: Arc<Peer>) {
        if peer.role == PeerRole::Control {
            self.peers.note_up(link, peer);
            self.peers.send(link, LinkMessage::Heartbeat(self.own_beat()));
            return;
        }
        if peer.instance != self.own {
            return;
        }
        log_event!(self.log, ENTRY_LINK, "linked" => true);
        self.entry.link = Some(link);
        self.entry.beat = None;
        self.entry.changed = now;
        self.push_lists();
        self.timers.push.hasten();
        self.timers.refresh.hasten();
        self.timers.beat.hasten();
    }

    fn on_down(&mut self, now: Moment, link: LinkKey, peer: &Peer) {
        if peer.role == PeerRole::Control {
            if self.peers.note_down(link, &peer.instance) {
                self.members.note_down(&peer.instance);
            }
        } else if self.entry.link == Some(link) {
            log_event!(self.log, ENTRY_LINK, "linked" => false);
            self.entry.link = None;
            self.entry.changed = now;
            self.timers.beat.hasten();
        }
    }

    fn on_message(&mut self, now: Moment, link: LinkKey, peer: &Peer, message: LinkMessage) {
        if peer.role == PeerRole::Entry {
            if self.entry.link == Some(link) {
                self.on_entry(now, message);
            }
            return;
        }
        match message {
            LinkMessage::Heartbeat(beat) if *beat.instance == *peer.instance => {
                self.on_beat(now, link, beat);
            }
            LinkMessage::Lists(push) => self.on_push(now, &push),
            LinkMessage::Load(batch) => {
                for view in batch.endpoints {
                    self.fleet.note_view(now, view);
                }
            }
            LinkMessage::Cache(batch) => self.push_entry(LinkMessage::Cache(batch)),
            LinkMessage::Demand(demand) => self.shares.note_demand(now, &demand),
            LinkMessage::Loss(loss) if *loss.holder == *peer.instance => {
                self.leases.note_acknowledged(loss.shard, &loss.holder, loss.epoch);
            }
            _ => {}
        }
    }

    fn on_entry(&mut self, now: Moment, message: LinkMessage) {
        match message {
            LinkMessage::Heartbeat(beat) => {
                let before = self.entry.is_live();
                self.entry.beat = Some(beat);
                if before != self.entry.is_live() {
                    self.timers.beat.hasten();
                }
            }
            LinkMessage::Demand(demand) => self.on_demand(now, demand),
            _ => {}
        }
    }

    fn on_demand(&mut self, now: Moment, demand: DemandReport) {
        self.shares.note_demand(now, &demand);
        self.peers.broadcast(&LinkMessage::Demand(demand.clone()));
        self.demand = Some(demand);
    }

    /// Takes over a peer's heartbeat and hands it the lists if its own are older.
    fn on_beat(&mut self, now: Moment, link: LinkKey, beat: Heartbeat) {
        let revision = beat.revision;
        let before = self.members.get(&beat.instance).and_then(|seen| seen.beat.as_ref());
        let unknown = before.is_none();
        let changed = before.map(|before| before.presence) != Some(beat.presence);
        self.members.note_beat(now, beat);
        if unknown {
            self.dial_peers();
        }
        if changed {
            self.timers.refresh.hasten();
        }
        self.lists.note_peer(now);
        let own = self.lists.revision();
        if revision == own && own > 0 {
            self.lists.confirm(now);
        } else if revision < own
            && let Some(push) = self.lists.push()
        {
            self.peers.send(link, LinkMessage::Lists(push));
        }
    }

    fn on_push(&mut self, now: Moment, push: &ListsPush) {
        if let Ok(lists) = serde_json::from_str::<Lists>(&push.document) {
            self.offer_lists(now, lists, &push.document, "peer");
        }
    }

    /// What this instance says of itself.
    pub(super) fn own_beat(&self) -> Heartbeat {
        Heartbeat {
            address: self.settings.entry.clone(),
            boot: self.boot.to_string(),
            control: self.settings.listen.clone(),
            domain: self.settings.instance.domain.clone(),
            instance: self.own.to_string(),
            open: self.entry.open(),
            presence: self.presence(),
            region: self.settings.instance.region.clone(),
            revision: self.lists.revision(),
        }
    }
}
