//! Crashes of endpoints and the quarantine of prompt parts, which all instances share.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::assign::name_hash;
use agatestair_policy::{
    CrashReport, Moment, ProcessKey, QuarantineChange, QuarantineCheck, ServicePart, Survival,
    Verdict,
};

use crate::node::Node;
use crate::pulse_crashes::{PulseCrash, PulseCrashes, PulseSurvival, PulseVerdict};

/// Time for which datagrams repeat reports: three rounds, since some datagrams may be lost.
const REPEAT: Duration = Duration::from_millis(120);

/// Largest number of suspects in a datagram.
const MAX_SUSPECTS: usize = 128;

/// Largest number of verdicts in a datagram: all that an instance keeps.
const MAX_VERDICTS: usize = 256;

/// Largest number of survivals in a datagram.
const MAX_SURVIVALS: usize = 32;

impl Node {
    /// Records a crash that this instance or another one observed `age` ago, with what this instance
    /// knows of its suspects.
    pub fn note_crash(
        &mut self,
        process: ProcessKey,
        service: &str,
        suspects: Vec<u64>,
        age: Duration,
        now: Moment,
    ) -> Vec<QuarantineChange> {
        let service = name_hash(service);
        let report = CrashReport { process, service, age, suspects };
        self.quarantine.note_crash(&report, now)
    }

    /// Records that a run with these parts in its prompt survived.
    pub fn note_survived(
        &mut self,
        service: &str,
        parts: &[u64],
        now: Moment,
    ) -> Vec<QuarantineChange> {
        self.quarantine.note_survived(name_hash(service), parts.iter().copied(), now)
    }

    /// Whether a request with these parts in its prompt may be sent.
    pub fn check_quarantine(
        &mut self,
        service: &str,
        parts: &[u64],
        now: Moment,
    ) -> QuarantineCheck {
        let (own, members, board) = (&self.settings.own.name, &self.members, &self.board);
        let is_served = board.members(service).iter().any(|key| {
            board.is_open(*key) && !board.is_unreachable(*key) && !board.is_paused(*key, now)
        });
        let elected = |part| is_served && members.is_first(own, part, now);
        self.quarantine.check(name_hash(service), parts.iter().copied(), elected, now)
    }

    /// Whether a quarantined request may only have stood beside one that crashes endpoints.
    pub fn is_doubtful(&self, service: &str, part: u64) -> bool {
        self.quarantine.is_doubtful(ServicePart { service: name_hash(service), part })
    }

    /// Whether requests to a service may have crashed endpoints.
    pub fn suspects_requests(&self, service: &str) -> bool {
        self.quarantine.suspects_requests(name_hash(service))
    }

    /// Whether one of these parts is quarantined.
    pub fn is_quarantined(&self, service: &str, parts: &[u64]) -> bool {
        self.quarantine.contains(name_hash(service), parts.iter().copied())
    }

    /// Name of the service with this hash, if it is configured.
    pub fn service_name(&self, hash: u64) -> Option<Arc<str>> {
        let services = self.configuration.iter().flat_map(|known| known.services.keys());
        services.into_iter().find(|name| name_hash(name) == hash).cloned()
    }

    /// Name of a process's endpoint, if it is listed.
    pub fn endpoint_name(&self, process: ProcessKey) -> Option<Arc<str>> {
        self.board.find_hash(process.endpoint).and_then(|key| self.board.name(key))
    }

    /// Whether the platform lists a later process of an endpoint than this one.
    pub fn is_replaced(&self, process: ProcessKey) -> bool {
        let key = self.board.find_hash(process.endpoint);
        // Without its start time, a process cannot be told from the one before.
        process.born != 0
            && key.is_some_and(|key| self.board.endpoints[key].facts.born > process.born)
    }

    /// Withdraws the crashes of processes that are still listed although an entry lasts no longer
    /// than `lifetime` without its process.
    pub fn withdraw_crashes(&mut self, lifetime: Duration, now: Moment) -> Vec<QuarantineChange> {
        let Self { quarantine, board, endpoint_list, .. } = self;
        let outlived = |process: ProcessKey, crashed| {
            let Some(key) = board.find_hash(process.endpoint) else { return false };
            let facts = &board.endpoints[key].facts;
            facts.born != 0
                && facts.born == process.born
                && endpoint_list.shows_lapses(&facts.name, crashed, lifetime)
        };
        quarantine.withdraw_crashes(outlived, now)
    }

    /// What to report about crashes to other instances.
    pub(super) fn pulse_crashes(&self, now: Moment) -> Option<PulseCrashes> {
        let quarantine = &self.quarantine;
        let mut room = MAX_SUSPECTS;
        let crashes = quarantine.crash_reports(REPEAT, now).into_iter().filter(|report| {
            let fits = report.suspects.len() <= room;
            room -= if fits { report.suspects.len() } else { 0 };
            fits
        });
        let crashes = crashes.map(PulseCrash::from).collect();
        let mut verdicts = quarantine.recent_verdicts(REPEAT, now);
        if self.is_standing(REPEAT, now) {
            let own = &self.settings.own.name;
            let all = quarantine.all_verdicts(now).into_iter();
            let reported =
                all.filter(|verdict| self.members.should_query(own, verdict.part.part, now));
            verdicts.extend(reported);
        }
        let verdicts = verdicts.into_iter().take(MAX_VERDICTS).map(PulseVerdict::from).collect();
        let survivals = quarantine.survivals(REPEAT, now).into_iter();
        let survivals = survivals.take(MAX_SURVIVALS).map(PulseSurvival::from).collect();
        let news = PulseCrashes { crashes, verdicts, survivals };
        Some(news).filter(|news| !news.is_empty())
    }

    /// Records what another instance reports about crashes.
    pub(super) fn note_peer_crashes(
        &mut self,
        news: &PulseCrashes,
        now: Moment,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for survival in &news.survivals {
            changes.extend(self.quarantine.note_peer_survival(Survival::from(*survival), now));
        }
        for verdict in &news.verdicts {
            changes.extend(self.quarantine.note_peer_verdict(Verdict::from(*verdict), now));
        }
        for crash in &news.crashes {
            let report = CrashReport::from(crash.clone());
            let (own, members) = (&self.settings.own.name, &self.members);
            let elected = |part| members.should_query(own, part, now);
            // The sender would not have sent the request if it knew of the verdict.
            self.quarantine.report_again(report.service, &report.suspects, elected, now);
            changes.extend(self.quarantine.note_peer_crash(&report, now));
        }
        changes
    }
}
