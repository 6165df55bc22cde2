//! Link to the entry's control process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agatestair_link::LinkEvent;
use agatestair_runtime::log_event;
use agatestair_schema::link::{
    Authority, DemandReport, FleetView, Heartbeat, LinkMessage, ListsAck, ListsPush,
    ObservationBatch, Presence,
};
use agatestair_schema::lists::Lists;
use stakker::{CX, after};

use crate::core::actor::{EntryActor, Phase};
use crate::customers::Customers;
use crate::events::{LISTS_APPLIED, LISTS_MALFORMED, LISTS_STALE, READY};
use crate::view::{FleetIndex, ListsView};

/// Interval of heartbeats, demand reports and observations.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl EntryActor {
    /// Handles an event of the link.
    pub(super) fn link_event(&mut self, now: Instant, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, .. } => {
                self.control.link = Some(link);
                self.control.authority = None;
                self.send_heartbeat();
            }
            LinkEvent::Message { link, message, .. } if self.control.link == Some(link) => {
                self.control_message(now, *message);
            }
            LinkEvent::Message { .. } => {}
            LinkEvent::Down { link, .. } if self.control.link == Some(link) => {
                self.control.link = None;
                self.control.authority = None;
            }
            LinkEvent::Down { .. } => {}
        }
        self.refresh_view(now);
    }

    fn control_message(&mut self, now: Instant, message: LinkMessage) {
        let moment = self.moment(now);
        match message {
            LinkMessage::Fleet(fleet) => self.apply_fleet(now, fleet),
            LinkMessage::Lists(push) => self.apply_lists(&push),
            LinkMessage::Shares(grant) => self.scheduler.set_shares(moment, &grant),
            LinkMessage::Cache(batch) => self.scheduler.apply_cache(&batch),
            LinkMessage::Directory(directory) => {
                self.view.directory = directory.entries.into();
                self.publish();
            }
            LinkMessage::Authority(authority) => self.apply_authority(now, authority),
            _ => {}
        }
    }

    fn apply_fleet(&mut self, now: Instant, fleet: FleetView) {
        self.scheduler.set_fleet(self.moment(now), &fleet);
        let index = FleetIndex::from(&fleet);
        if self.view.fleet.as_deref() != Some(&index) {
            self.view.fleet = Some(Arc::new(index));
            self.publish();
        }
        self.control.fleet = Some(fleet);
    }

    /// Applies lists that are newer than the current ones; others are only acknowledged.
    fn apply_lists(&mut self, push: &ListsPush) {
        let known = self.view.lists.as_ref().map(|view| view.lists.revision);
        if known.is_some_and(|known| push.revision <= known) {
            self.acknowledge();
            return;
        }
        let lists: Lists = match serde_json::from_str(&push.document) {
            Ok(lists) => lists,
            Err(error) => {
                log_event!(self.parts.log, LISTS_MALFORMED, "revision" => push.revision,
                    "line" => error.line());
                return;
            }
        };
        let lists = Arc::new(lists);
        self.scheduler.set_lists(lists.clone());
        let customers = Customers::from(&*lists);
        self.view.lists = Some(Arc::new(ListsView { lists, customers }));
        self.publish();
        log_event!(self.parts.log, LISTS_APPLIED, "revision" => push.revision);
        self.acknowledge();
    }

    fn acknowledge(&self) {
        self.send(LinkMessage::Ack(ListsAck {
            instance: self.parts.settings.instance.name.clone(),
            revision: self.revision(),
        }));
    }

    /// A control process that has just started may not be able to confirm the lists yet, so its
    /// first report does not revoke an earlier confirmation. If it withdraws its own confirmation,
    /// the lists count as stale at once.
    fn apply_authority(&mut self, now: Instant, authority: Authority) {
        let before = self.control.authority.as_ref().is_some_and(|known| known.fresh);
        if authority.fresh {
            self.control.confirmed = Some(now);
        } else if before {
            self.control.confirmed = None;
        }
        self.control.authority = Some(authority);
    }

    /// Updates whether the lists are current and publishes a change.
    pub(super) fn refresh_view(&mut self, now: Instant) {
        let confirms = self.control.authority.as_ref().is_some_and(|known| known.fresh);
        if confirms {
            self.control.confirmed = Some(now);
        }
        let bound = Duration::from_millis(self.parts.settings.stale_ms);
        let fresh = self
            .control
            .confirmed
            .is_some_and(|confirmed| now.saturating_duration_since(confirmed) <= bound);
        let before = self.view.ready();
        if fresh != self.view.fresh {
            self.view.fresh = fresh;
            if !fresh {
                log_event!(self.parts.log, LISTS_STALE);
            }
            self.publish();
        }
        if self.view.ready() && !before {
            log_event!(self.parts.log, READY, "revision" => self.revision());
        }
    }

    /// Sends the periodic reports to the control process.
    pub(super) fn report(&mut self, cx: CX![]) {
        let moment = self.moment(cx.now());
        self.send_heartbeat();
        let instance = self.parts.settings.instance.name.clone();
        let plans = self.scheduler.take_demand(moment);
        if !plans.is_empty() {
            self.send(LinkMessage::Demand(DemandReport { instance: instance.clone(), plans }));
        }
        let observations = self.scheduler.take_observations(moment);
        if !observations.is_empty() {
            self.send(LinkMessage::Observations(ObservationBatch { instance, observations }));
        }
        metrics::gauge!("agatestair_open_requests").set(self.jobs.len() as f64);
        metrics::gauge!("agatestair_lists_revision").set(self.revision() as f64);
        after!(REPORT_INTERVAL, [cx], report());
    }

    /// Sends the entry's state to the control process.
    pub(super) fn send_heartbeat(&self) {
        let settings = &self.parts.settings;
        let presence = match self.phase {
            Phase::Serving => Presence::Live,
            Phase::Leaving | Phase::Closing => Presence::Leaving,
        };
        self.send(LinkMessage::Heartbeat(Heartbeat {
            instance: settings.instance.name.clone(),
            domain: settings.instance.domain.clone(),
            region: settings.instance.region.clone(),
            boot: self.parts.boot.to_string(),
            address: settings.listen.clone(),
            control: settings.control.clone(),
            presence,
            revision: self.revision(),
            open: u32::try_from(self.jobs.len()).unwrap_or(u32::MAX),
        }));
    }

    fn send(&self, message: LinkMessage) {
        if let Some(link) = self.control.link {
            // All messages are sent periodically, so a lost one does no harm.
            self.parts.node.send(link, message);
        }
    }

    fn revision(&self) -> u64 {
        self.view.lists.as_ref().map_or(0, |view| view.lists.revision)
    }
}
