//! Handles links and messages of peers and the entry.

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
            LinkEvent::Up { link, peer } => self.on_link_up(now, link, peer),
            LinkEvent::Down { link, peer, .. } => self.on_link_down(now, link, &peer),
            LinkEvent::Message { link, peer, message } => {
                self.on_message(now, link, &peer, *message);
            }
        }
    }

    fn on_link_up(&mut self, now: Moment, link: LinkKey, peer: Arc<Peer>) {
        if peer.role == PeerRole::Control {
            self.peers.note_up(link, peer);
            self.peers.send(link, LinkMessage::Heartbeat(self.own_heartbeat()));
            return;
        }
        if peer.instance != self.own {
            return;
        }
        log_event!(self.log, ENTRY_LINK, "linked" => true);
        self.entry.link = Some(link);
        self.entry.heartbeat = None;
        self.entry.changed = now;
        self.push_lists();
        self.timers.push.make_due();
        self.timers.refresh.make_due();
        self.timers.heartbeat.make_due();
    }

    fn on_link_down(&mut self, now: Moment, link: LinkKey, peer: &Peer) {
        if peer.role == PeerRole::Control {
            if self.peers.note_down(link, &peer.instance) {
                self.members.note_down(&peer.instance);
            }
        } else if self.entry.link == Some(link) {
            log_event!(self.log, ENTRY_LINK, "linked" => false);
            self.entry.link = None;
            self.entry.changed = now;
            self.timers.heartbeat.make_due();
        }
    }

    fn on_message(&mut self, now: Moment, link: LinkKey, peer: &Peer, message: LinkMessage) {
        if peer.role == PeerRole::Entry {
            if self.entry.link == Some(link) {
                self.on_entry_message(now, message);
            }
            return;
        }
        match message {
            LinkMessage::Heartbeat(heartbeat) if *heartbeat.instance == *peer.instance => {
                self.on_heartbeat(now, link, heartbeat);
            }
            LinkMessage::Lists(push) => self.on_lists_push(now, &push),
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

    fn on_entry_message(&mut self, now: Moment, message: LinkMessage) {
        match message {
            LinkMessage::Heartbeat(heartbeat) => {
                let before = self.entry.is_live();
                self.entry.heartbeat = Some(heartbeat);
                if before != self.entry.is_live() {
                    self.timers.heartbeat.make_due();
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

    /// Records a peer's heartbeat, and sends the lists to the peer if its revision is older.
    fn on_heartbeat(&mut self, now: Moment, link: LinkKey, heartbeat: Heartbeat) {
        let revision = heartbeat.revision;
        let before = self.members.get(&heartbeat.instance).and_then(|peer| peer.heartbeat.as_ref());
        let unknown = before.is_none();
        let changed = before.map(|before| before.presence) != Some(heartbeat.presence);
        self.members.note_heartbeat(now, heartbeat);
        if unknown {
            self.dial_peers();
        }
        if changed {
            self.timers.refresh.make_due();
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

    fn on_lists_push(&mut self, now: Moment, push: &ListsPush) {
        if let Ok(lists) = serde_json::from_str::<Lists>(&push.document) {
            self.offer_lists(now, lists, &push.document, "peer");
        }
    }

    /// Heartbeat of this instance.
    pub(super) fn own_heartbeat(&self) -> Heartbeat {
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
