//! Instances of the deployment: the platform's list, which lags, corrected by heartbeats.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::link::{EntryRecord, Heartbeat, Presence};
use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState};

use crate::runs::Runs;

/// Time without a heartbeat after which an instance counts as unreachable.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which an instance listed as live counts as live before its first heartbeat.
const FIRST_HEARTBEAT_GRACE: Duration = Duration::from_secs(3);

/// State of one peer instance.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Record in the platform's list, if listed.
    pub record: Option<InstanceRecord>,
    /// Last heartbeat, if any.
    pub heartbeat: Option<Heartbeat>,
    /// When the last heartbeat arrived; `None` if the link is down.
    pub heartbeat_at: Option<Moment>,
    /// When this instance first learned of the peer.
    pub since: Moment,
}

/// All known entry instances except this one.
#[derive(Default)]
pub struct Members {
    peers: BTreeMap<Arc<str>, PeerState>,
    own: Arc<str>,
    boot: Arc<str>,
    runs: Runs,
}

impl Members {
    /// Creates a membership without peers, for run `boot` of instance `own`.
    pub fn new(own: Arc<str>, boot: Arc<str>) -> Self {
        Self { peers: BTreeMap::new(), own, boot, runs: Runs::default() }
    }

    /// Updates the peers from the platform's list.
    pub fn note_list(&mut self, now: Moment, records: &[InstanceRecord]) {
        for peer in self.peers.values_mut() {
            peer.record = None;
        }
        self.runs.note_list(now, records);
        let own = self.own.clone();
        let entries = records.iter().filter(|record| record.kind == InstanceKind::Entry);
        for record in entries.filter(|record| record.name != *own) {
            self.peer(now, &record.name).record = Some(record.clone());
        }
        self.peers.retain(|_, peer| {
            let heard = peer.heartbeat_at.is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT);
            peer.record.is_some() || heard
        });
    }

    /// Records a heartbeat received at `now`.
    pub fn note_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat) {
        let peer = self.peer(now, &heartbeat.instance);
        peer.heartbeat_at = Some(now);
        peer.heartbeat = Some(heartbeat);
    }

    /// Records that the link to an instance is down.
    pub fn note_down(&mut self, instance: &str) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.heartbeat_at = None;
        }
    }

    fn peer(&mut self, now: Moment, name: &str) -> &mut PeerState {
        self.peers.entry(name.into()).or_insert_with(|| PeerState {
            record: None,
            heartbeat: None,
            heartbeat_at: None,
            since: now,
        })
    }

    /// All known peers, sorted by name.
    pub fn peers(&self) -> impl Iterator<Item = (&Arc<str>, &PeerState)> {
        self.peers.iter()
    }

    /// State of one peer.
    pub fn get(&self, name: &str) -> Option<&PeerState> {
        self.peers.get(name)
    }

    /// Names of the instances that endpoints are spread over, sorted, including this one.
    pub fn live(&self, now: Moment) -> Vec<Arc<str>> {
        let mut live: Vec<Arc<str>> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_live(now))
            .map(|(name, _)| name.clone())
            .collect();
        live.push(self.own.clone());
        live.sort_unstable();
        live
    }

    /// Names of the instances that leases are spread over, sorted.
    ///
    /// These are the live instances that are not leaving, or all live ones if every one is leaving.
    /// `own` is the presence of this instance.
    pub fn lease_candidates(&self, now: Moment, own: Presence) -> Vec<Arc<str>> {
        let stays = |name: &Arc<str>| {
            let peer = self.peers.get(name);
            let heartbeat = peer.and_then(|peer| peer.heartbeat.as_ref());
            let presence = if peer.is_none() {
                Some(own)
            } else {
                heartbeat.map(|heartbeat| heartbeat.presence)
            };
            presence != Some(Presence::Leaving)
        };
        let live = self.live(now);
        let staying: Vec<Arc<str>> = live.iter().filter(|name| stays(name)).cloned().collect();
        if staying.is_empty() { live } else { staying }
    }

    /// Names of the entries listed as live or leaving, sorted, including this one.
    pub fn listed(&self) -> Vec<Arc<str>> {
        let is_listed = |peer: &PeerState| {
            let state = peer.record.as_ref().map(|record| record.state);
            state.is_some_and(|state| state != InstanceState::Gone)
        };
        let mut names: Vec<Arc<str>> =
            self.peers.iter().filter(|(_, s)| is_listed(s)).map(|(n, _)| n.clone()).collect();
        names.push(self.own.clone());
        names.sort_unstable();
        names
    }

    /// Names of the instances to link to, sorted, including this one.
    ///
    /// Includes instances known only by heartbeats, so that links are restored after a rolling
    /// restart of all instances while the platform is down.
    pub fn link_targets(&self) -> Vec<Arc<str>> {
        let mut names = self.listed();
        let by_heartbeat =
            self.peers.iter().filter(|(_, s)| s.record.is_none() && s.heartbeat.is_some());
        names.extend(by_heartbeat.map(|(name, _)| name.clone()));
        names.sort_unstable();
        names
    }

    /// Whether any peer has sent a heartbeat within `HEARTBEAT_TIMEOUT`.
    pub fn has_contact(&self, now: Moment) -> bool {
        self.peers.values().any(|peer| peer.is_reachable(now))
    }

    /// Entries that callers may use, except this one.
    ///
    /// If no peer is reachable, only the platform's list decides.
    pub fn directory(&self, now: Moment) -> Vec<EntryRecord> {
        let contact = self.has_contact(now);
        self.peers.values().filter_map(|peer| peer.entry(now, contact)).collect()
    }

    /// Whether the platform's list shows that a run of an instance is gone.
    pub fn is_gone(&self, now: Moment, name: &str, boot: &str) -> bool {
        self.runs.is_gone(now, name, boot)
    }

    /// Whether the platform lists the current run of this instance.
    pub fn is_own_listed(&self) -> bool {
        self.runs.is_listed(&self.own, &self.boot)
    }
}

impl PeerState {
    /// Whether a heartbeat arrived within `HEARTBEAT_TIMEOUT`.
    pub fn is_reachable(&self, now: Moment) -> bool {
        self.heartbeat_at.is_some_and(|heartbeat_at| now.since(heartbeat_at) < HEARTBEAT_TIMEOUT)
    }

    /// Whether its control process counts as running.
    pub fn is_live(&self, now: Moment) -> bool {
        if self.is_reachable(now) {
            return true;
        }
        let listed = self.record.as_ref().is_some_and(|r| r.state == InstanceState::Live);
        listed && self.heartbeat.is_none() && now.since(self.since) < FIRST_HEARTBEAT_GRACE
    }

    /// Address of its control process.
    pub fn control(&self) -> Option<&str> {
        let listed = self.record.as_ref().and_then(|record| record.control.as_deref());
        listed.or(self.heartbeat.as_ref().map(|heartbeat| heartbeat.control.as_str()))
    }

    fn entry(&self, now: Moment, contact: bool) -> Option<EntryRecord> {
        if self.is_reachable(now) {
            let heartbeat = self.heartbeat.as_ref()?;
            return (heartbeat.presence == Presence::Live).then(|| EntryRecord {
                address: heartbeat.address.clone(),
                domain: heartbeat.domain.clone(),
                name: heartbeat.instance.clone(),
                region: heartbeat.region.clone(),
            });
        }
        let record = self.record.as_ref()?;
        let usable = record.state == InstanceState::Live
            && (!contact
                || (self.heartbeat.is_none() && now.since(self.since) < FIRST_HEARTBEAT_GRACE));
        usable.then(|| EntryRecord {
            address: record.address.clone(),
            domain: record.domain.clone(),
            name: record.name.clone(),
            region: record.region.clone(),
        })
    }
}
