//! Access of callers by API key, and how long the keys are known to be current.

use std::time::Duration;

use agatestair_policy::Moment;

use crate::configuration::Route;
use crate::customers::{Access, Credential};
use crate::node::Node;

/// Divides the bound on withdrawn keys to get the time between two proofs.
const PROOF_DIVISOR: u32 = 5;

/// Divides the bound on withdrawn keys to get the age of a proof from which on an instance that
/// relies on others asks the store itself.
const STALE_DIVISOR: u32 = 2;

/// Share of the bound over which instances spread these calls when the proofs of others end for all
/// of them at once. Larger values leave too little time for a call and its repetition.
const STALE_SPREAD: f64 = 0.25;

/// Largest age of a proof with which an unknown key is denied. With an older one the key may be new,
/// and another instance may know it.
const UNKNOWN_AGE: Duration = Duration::from_secs(2);

/// Calls per second that all instances together make while the proofs of others are missing.
const FALLBACK_RATE: f64 = 20.0;

/// What this instance does to prove that its keys are current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProofPlan {
    /// Nothing, since keys are not checked or no bound is set.
    Off,
    /// It waits for proofs of others or for the next call.
    Wait,
    /// It asks the store whether this version of the configuration's row is the newest; `share` says
    /// whether the proof is sent to the other instances.
    Ask {
        /// The version.
        row: u64,
        /// Whether other instances rely on the proof.
        share: bool,
    },
}

impl Node {
    /// Whether a request with this credential may be sent to endpoints. `boot` is the time of a clock
    /// that also runs while the machine is suspended.
    pub fn access(&self, route: &Route, credential: Credential, boot: Moment) -> Access {
        let customers = self.configuration.as_ref().and_then(|known| known.customers.as_ref());
        let Some(customers) = customers else { return Access::Unchecked };
        let is_proven = self.is_proven(boot);
        let customer = match credential {
            Credential::Key(key) if is_proven => customers.find(&key).cloned(),
            _ => None,
        };
        match (customer, credential) {
            (Some(customer), _) => Access::Granted(customer),
            (None, _) if self.is_public(route) => Access::Anonymous,
            (None, Credential::Missing) => Access::Denied("no API key"),
            (None, Credential::Malformed) => Access::Denied("malformed API key"),
            (None, Credential::Key(_)) => {
                let may_lack = self.revoke.is_some()
                    && self.freshness.age(boot).is_none_or(|age| age > UNKNOWN_AGE);
                if may_lack { Access::Unproven } else { Access::Denied("unknown API key") }
            }
        }
    }

    /// Whether requests of a route need no key by the current configuration, which may be newer than
    /// the route.
    fn is_public(&self, route: &Route) -> bool {
        let mut known = self.configuration.iter().flat_map(|known| known.routes());
        known.find(|known| known.name == route.name).map_or(route.public, |known| known.public)
    }

    /// The bound on the use of withdrawn keys, if keys are checked and there is one.
    fn revocation(&self) -> Option<Duration> {
        let checks = self.configuration.as_ref().is_some_and(|known| known.customers.is_some());
        self.revoke.filter(|_| checks)
    }

    /// Whether this instance certainly knows all keys that were withdrawn before the bound.
    fn is_proven(&self, boot: Moment) -> bool {
        let Some(bound) = self.revocation() else { return true };
        self.freshness.age(boot).is_some_and(|age| age < bound)
    }

    /// Updates whether this instance may serve requests with keys; returns whether that changed.
    pub fn update_lapse(&mut self, boot: Moment) -> bool {
        let lapsed = !self.is_proven(boot);
        std::mem::replace(&mut self.lapsed, lapsed) != lapsed
    }

    /// Whether requests with keys are refused since a withdrawal may be unknown here.
    pub fn has_lapsed(&self) -> bool {
        self.lapsed
    }

    /// Applies a new bound on the use of withdrawn keys.
    pub fn set_revoke(&mut self, revoke: Option<Duration>) {
        self.revoke = revoke;
    }

    /// Records the version of the configuration's row that includes everything that this instance
    /// serves by.
    pub fn note_configuration_row(&mut self, row: u64) {
        let timeline = self.timeline.current();
        self.freshness.note_row(row, timeline);
    }

    /// Decides whether to ask the store for a proof; `asked` is the time since the last call.
    pub fn plan_proof(&self, asked: Duration, now: Moment, boot: Moment) -> ProofPlan {
        let (Some(bound), Some(row)) = (self.revocation(), self.freshness.row()) else {
            return ProofPlan::Off;
        };
        let period = bound / PROOF_DIVISOR;
        let large = self.members.is_large();
        let share = !large || self.watchers.watching();
        let due = if share {
            asked >= period
        } else {
            let members = self.members.count(now) as f64;
            let spread = Duration::from_secs_f64(members / FALLBACK_RATE);
            let stale = bound / STALE_DIVISOR + bound.mul_f64(STALE_SPREAD * self.settings.draw);
            let is_old = self.freshness.age(boot).is_none_or(|age| age >= stale);
            is_old && asked >= period.max(spread)
        };
        if due { ProofPlan::Ask { row, share } } else { ProofPlan::Wait }
    }
}
