//! Instances of the deployment: the platform's lagging list corrected by heartbeats.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_schema::link::{EntryRecord, Heartbeat, Presence};
use agatestair_schema::platform::{InstanceKind, InstanceRecord, InstanceState};

use crate::runs::Runs;

/// Time without a heartbeat after which an instance counts as away.
const SILENT_AFTER: Duration = Duration::from_millis(2500);
/// Time that an instance listed as live, but never heard of, counts as live.
const GRACE: Duration = Duration::from_secs(3);

/// What is known of one instance.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Record in the platform's list, if listed.
    pub record: Option<InstanceRecord>,
    /// Last heartbeat.
    pub beat: Option<Heartbeat>,
    /// When the last heartbeat came.
    pub heard: Option<Moment>,
    /// When it was first known.
    pub since: Moment,
}

/// All known entry instances but this one.
#[derive(Default)]
pub struct Members {
    peers: BTreeMap<Arc<str>, Seen>,
    own: Arc<str>,
    boot: Arc<str>,
    runs: Runs,
}

impl Members {
    /// Knows nobody but `own`, in its run `boot`.
    pub fn new(own: Arc<str>, boot: Arc<str>) -> Self {
        Self { peers: BTreeMap::new(), own, boot, runs: Runs::default() }
    }

    /// Takes over the platform's list.
    pub fn note_list(&mut self, now: Moment, records: &[InstanceRecord]) {
        for seen in self.peers.values_mut() {
            seen.record = None;
        }
        self.runs.note_list(now, records);
        let own = self.own.clone();
        let entries = records.iter().filter(|record| record.kind == InstanceKind::Entry);
        for record in entries.filter(|record| record.name != *own) {
            self.peer(now, &record.name).record = Some(record.clone());
        }
        self.peers.retain(|_, seen| {
            let heard = seen.heard.is_some_and(|heard| now.since(heard) < SILENT_AFTER);
            seen.record.is_some() || heard
        });
    }

    /// Takes over a heartbeat.
    pub fn note_beat(&mut self, now: Moment, beat: Heartbeat) {
        let peer = self.peer(now, &beat.instance);
        peer.heard = Some(now);
        peer.beat = Some(beat);
    }

    /// Notes that the link to an instance ended.
    pub fn note_down(&mut self, instance: &str) {
        if let Some(seen) = self.peers.get_mut(instance) {
            seen.heard = None;
        }
    }

    fn peer(&mut self, now: Moment, name: &str) -> &mut Seen {
        self.peers.entry(name.into()).or_insert_with(|| Seen {
            record: None,
            beat: None,
            heard: None,
            since: now,
        })
    }

    /// All known peers by name.
    pub fn peers(&self) -> impl Iterator<Item = (&Arc<str>, &Seen)> {
        self.peers.iter()
    }

    /// What is known of one peer.
    pub fn get(&self, name: &str) -> Option<&Seen> {
        self.peers.get(name)
    }

    /// Names of the instances that work is spread over, in order, this one included.
    pub fn live(&self, now: Moment) -> Vec<Arc<str>> {
        let mut live: Vec<Arc<str>> = self
            .peers
            .iter()
            .filter(|(_, seen)| seen.is_live(now))
            .map(|(name, _)| name.clone())
            .collect();
        live.push(self.own.clone());
        live.sort_unstable();
        live
    }

    /// Names of the instances that leases are spread over, in order.
    ///
    /// These are the live ones that say that they stay, or all live ones if none does.
    pub fn staying(&self, now: Moment, own: Presence) -> Vec<Arc<str>> {
        let stays = |name: &Arc<str>| {
            let seen = self.peers.get(name);
            let beat = seen.and_then(|seen| seen.beat.as_ref());
            let presence = if seen.is_none() { Some(own) } else { beat.map(|beat| beat.presence) };
            presence != Some(Presence::Leaving)
        };
        let live = self.live(now);
        let staying: Vec<Arc<str>> = live.iter().filter(|name| stays(name)).cloned().collect();
        if staying.is_empty() { live } else { staying }
    }

    /// Names of the entries listed as live or leaving, in order, this one included.
    pub fn listed(&self) -> Vec<Arc<str>> {
        let is_listed = |seen: &Seen| {
            let state = seen.record.as_ref().map(|record| record.state);
            state.is_some_and(|state| state != InstanceState::Gone)
        };
        let mut names: Vec<Arc<str>> =
            self.peers.iter().filter(|(_, s)| is_listed(s)).map(|(n, _)| n.clone()).collect();
        names.push(self.own.clone());
        names.sort_unstable();
        names
    }

    /// Names of the instances to be linked to, in order, this one included.
    ///
    /// Besides the listed ones these are those known by heartbeats alone, so that links come back
    /// after a restart of every instance in turn while the platform is down.
    pub fn linked(&self) -> Vec<Arc<str>> {
        let mut names = self.listed();
        let by_beat = self.peers.iter().filter(|(_, s)| s.record.is_none() && s.beat.is_some());
        names.extend(by_beat.map(|(name, _)| name.clone()));
        names.sort_unstable();
        names
    }

    /// Whether any peer was heard of lately.
    pub fn has_contact(&self, now: Moment) -> bool {
        self.peers.values().any(|seen| seen.is_heard(now))
    }

    /// Entries that callers may be told of, this one left out.
    ///
    /// Without contact to any peer the platform's list decides alone.
    pub fn directory(&self, now: Moment) -> Vec<EntryRecord> {
        let contact = self.has_contact(now);
        self.peers.values().filter_map(|seen| seen.entry(now, contact)).collect()
    }

    /// Whether the platform shows that a run of an instance is gone.
    pub fn is_gone(&self, now: Moment, name: &str, boot: &str) -> bool {
        self.runs.is_gone(now, name, boot)
    }

    /// Whether the platform lists the present run of this instance.
    pub fn is_own_listed(&self) -> bool {
        self.runs.is_listed(&self.own, &self.boot)
    }
}

impl Seen {
    /// Whether a heartbeat came lately.
    pub fn is_heard(&self, now: Moment) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < SILENT_AFTER)
    }

    /// Whether its control process is up.
    pub fn is_live(&self, now: Moment) -> bool {
        if self.is_heard(now) {
            return true;
        }
        let listed = self.record.as_ref().is_some_and(|r| r.state == InstanceState::Live);
        listed && self.beat.is_none() && now.since(self.since) < GRACE
    }

    /// Address of its control process.
    pub fn control(&self) -> Option<&str> {
        let listed = self.record.as_ref().and_then(|record| record.control.as_deref());
        listed.or(self.beat.as_ref().map(|beat| beat.control.as_str()))
    }

    fn entry(&self, now: Moment, contact: bool) -> Option<EntryRecord> {
        if self.is_heard(now) {
            let beat = self.beat.as_ref()?;
            return (beat.presence == Presence::Live).then(|| EntryRecord {
                address: beat.address.clone(),
                domain: beat.domain.clone(),
                name: beat.instance.clone(),
                region: beat.region.clone(),
            });
        }
        let record = self.record.as_ref()?;
        let usable = record.state == InstanceState::Live
            && (!contact || (self.beat.is_none() && now.since(self.since) < GRACE));
        usable.then(|| EntryRecord {
            address: record.address.clone(),
            domain: record.domain.clone(),
            name: record.name.clone(),
            region: record.region.clone(),
        })
    }
}
