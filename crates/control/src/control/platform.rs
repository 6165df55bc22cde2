//! Reads the instance list, the two lists and the wishes, and registers this instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_runtime::{log_event, unix_ms};
use agatestair_schema::link::{LinkMessage, Presence};
use agatestair_schema::lists::{EndpointWish, Lists};
use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState};
use agatestair_store::PlatformError;

use super::{Control, INSTANCES_INTERVAL};
use crate::event::Event;
use crate::events::{LISTS_APPLIED, PLATFORM_FAILED, PLATFORM_RECOVERED};
use crate::lists::OfferResult;
use crate::peers::dial_targets;
use crate::store::{read_lists, read_newer_lists, read_wishes};

/// Size of one record of the instance list in bytes.
const INSTANCE_RECORD_BYTES: f64 = 180.0;
/// Rate at which a process may read the instance list, in bytes per second.
const INSTANCES_BYTES_S: f64 = 4000.0;
/// Longest interval between reads of the instance list.
const MAX_INSTANCES_INTERVAL: Duration = Duration::from_secs(60);
/// Time after its last registration at which an unlisted instance registers again.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Control {
    /// Starts the reads that are due.
    pub(super) fn read_platform(&mut self, now: Moment) {
        if self.timers.instances.try_start_exclusive(now) {
            let directory = self.platform.instances();
            self.workers.instances.run(move || Event::Instances(directory.list()));
        }
        if self.reads_lists(now) && self.timers.lists.try_start_exclusive(now) {
            let platform = self.platform.clone();
            let known = self.lists.revision();
            let read_all =
                known == 0 || !self.lists.has_read() || self.timers.full_lists.try_start(now);
            self.workers.lists.run(move || {
                let read = if read_all {
                    read_lists(&platform)
                } else {
                    read_newer_lists(&platform, known)
                };
                Event::Lists(read)
            });
        }
        if self.timers.wishes.try_start_exclusive(now) {
            let platform = self.platform.clone();
            self.workers.wishes.run(move || Event::Wishes(read_wishes(&platform)));
        }
        let changed = self.registered != Some(self.presence());
        if changed && self.timers.register.try_start_exclusive(now) {
            self.register();
        }
    }

    /// Whether this instance reads the lists in the current interval.
    ///
    /// Two instances read in each interval, in rotation, and forward newer lists to the others, so
    /// that the number of reads does not grow with the number of instances.
    fn reads_lists(&self, now: Moment) -> bool {
        if !self.lists.has_read() || !self.members.has_contact(now) {
            return true;
        }
        let live = self.members.live(now);
        let rank = live.iter().position(|name| *name == self.own).unwrap_or(0);
        let slot = usize::try_from(unix_ms() / self.settings.lists_ms.max(1)).unwrap_or(0);
        let (first, second) = (slot % live.len(), (slot + live.len() / 2) % live.len());
        rank == first || rank == second
    }

    /// Registers the state of this instance with the platform.
    fn register(&mut self) {
        let record = self.own_record();
        let directory = self.platform.instances();
        self.workers.instances.run(move || Event::Registered(directory.register(&record)));
        self.registered = Some(self.presence());
        self.registered_at = Some(self.clock.now());
    }

    /// Requests a new registration if the platform does not list the current run of this instance.
    fn register_again(&mut self, now: Moment) {
        let waited = self.registered_at.is_some_and(|at| now.since(at) >= REGISTER_RETRY_DELAY);
        if waited && !self.members.is_own_listed() {
            self.registered = None;
        }
    }

    fn own_record(&self) -> InstanceRecord {
        let state = match self.presence() {
            Presence::Live => InstanceState::Live,
            Presence::Leaving => InstanceState::Leaving,
        };
        InstanceRecord {
            address: self.settings.entry.clone(),
            boot: self.boot.to_string(),
            control: Some(self.settings.listen.clone()),
            domain: self.settings.instance.domain.clone(),
            kind: InstanceKind::Entry,
            name: self.own.to_string(),
            region: self.settings.instance.region.clone(),
            service: String::new(),
            state,
        }
    }

    pub(super) fn on_registered(&mut self, now: Moment, result: &Result<(), PlatformError>) {
        self.timers.register.finish();
        if let Err(error) = result {
            self.registered = None;
            self.note_failure("register", error);
        } else {
            self.note_response(now);
        }
    }

    pub(super) fn on_instances(
        &mut self,
        now: Moment,
        result: Result<Vec<InstanceRecord>, PlatformError>,
    ) {
        self.timers.instances.finish();
        match result {
            Ok(records) => {
                self.note_response(now);
                self.members.note_list(now, &records);
                self.register_again(now);
                let bytes = records.len() as f64 * INSTANCE_RECORD_BYTES;
                let paced = Duration::from_secs_f64(bytes / INSTANCES_BYTES_S);
                let interval = paced.clamp(INSTANCES_INTERVAL, MAX_INSTANCES_INTERVAL);
                self.timers.instances.set_interval(interval);
                self.fleet.note_list(now, &records);
                self.shares.set_entries(&self.members.listed());
                self.dial_peers();
            }
            Err(error) => self.note_failure("instances", &error),
        }
    }

    pub(super) fn dial_peers(&mut self) {
        let names = self.members.link_targets();
        let mut wanted: BTreeMap<Arc<str>, SocketAddr> = BTreeMap::new();
        for name in dial_targets(&self.own, &names) {
            let control = self.members.get(&name).and_then(|seen| seen.control());
            if let Some(address) = control.and_then(|control| control.parse().ok()) {
                wanted.insert(name, address);
            }
        }
        self.peers.set_dialled(wanted);
    }

    pub(super) fn on_lists(
        &mut self,
        now: Moment,
        result: Result<Option<(Lists, String)>, PlatformError>,
    ) {
        self.timers.lists.finish();
        match result {
            Ok(read) => {
                self.note_response(now);
                self.lists.note_store(now);
                match read {
                    Some((lists, text)) => self.offer_lists(now, lists, &text, "store"),
                    None => self.lists.confirm(now),
                }
            }
            Err(error) => self.note_failure("lists", &error),
        }
    }

    /// Applies lists from the store or a peer if they are newer, and forwards them.
    pub(super) fn offer_lists(&mut self, now: Moment, lists: Lists, text: &str, source: &str) {
        let revision = lists.revision;
        match self.lists.offer(lists, text) {
            OfferResult::Accepted => {
                log_event!(self.log, LISTS_APPLIED, "revision" => revision, "source" => source);
                metrics::gauge!("agatestair_lists_revision").set(revision as f64);
                self.lists.confirm(now);
                if let Some(push) = self.lists.push() {
                    self.peers.broadcast(&LinkMessage::Lists(push));
                }
                self.push_lists();
                self.timers.heartbeat.make_due();
            }
            OfferResult::Same => self.lists.confirm(now),
            OfferResult::Older => {}
        }
    }

    pub(super) fn on_wishes(
        &mut self,
        now: Moment,
        result: Result<Vec<EndpointWish>, PlatformError>,
    ) {
        self.timers.wishes.finish();
        match result {
            Ok(wishes) => {
                self.note_response(now);
                self.fleet.note_wishes(now, &wishes);
            }
            Err(error) => self.note_failure("wishes", &error),
        }
    }

    /// Records a successful call to the platform.
    pub(super) fn note_response(&mut self, now: Moment) {
        self.platform_responded = Some(now);
        if self.platform_down {
            self.platform_down = false;
            log_event!(self.log, PLATFORM_RECOVERED);
        }
    }

    /// Records a failed call to the platform; only the first of consecutive failures is logged.
    pub(super) fn note_failure(&mut self, call: &'static str, error: &PlatformError) {
        if !self.platform_down {
            self.platform_down = true;
            log_event!(self.log, PLATFORM_FAILED, "call" => call, "error" => error.to_string());
        }
    }
}
