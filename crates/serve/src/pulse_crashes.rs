//! Wire format of reports about crashes of endpoints and quarantined prompt parts.

use std::time::Duration;

use agatestair_policy::{CrashReport, ProcessKey, ServicePart, Survival, Verdict};
use bincode::{Decode, Encode};

use crate::datagram::millis;

/// What a pulse reports about crashes of endpoints and the prompt parts that cause them.
#[derive(Clone, Debug, Decode, Default, Encode, PartialEq)]
pub struct PulseCrashes {
    /// Crashes that the sender observed.
    pub crashes: Vec<PulseCrash>,
    /// Quarantined parts.
    pub verdicts: Vec<PulseVerdict>,
    /// Runs with suspected parts that survived.
    pub survivals: Vec<PulseSurvival>,
}

impl PulseCrashes {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.verdicts.is_empty() && self.survivals.is_empty()
    }
}

/// A crash of an endpoint, see [`CrashReport`].
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct PulseCrash {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Start time of the endpoint's process in Unix milliseconds.
    pub born: u64,
    /// Hash of the name of its service.
    pub service: u64,
    /// Time since the crash in milliseconds.
    pub age_ms: u32,
    /// Parts of the prompts whose answers were beginning.
    pub suspects: Vec<u64>,
}

impl From<CrashReport> for PulseCrash {
    fn from(report: CrashReport) -> Self {
        Self {
            endpoint: report.process.endpoint,
            born: report.process.born,
            service: report.service,
            age_ms: millis(report.age),
            suspects: report.suspects,
        }
    }
}

impl From<PulseCrash> for CrashReport {
    fn from(crash: PulseCrash) -> Self {
        Self {
            process: ProcessKey { endpoint: crash.endpoint, born: crash.born },
            service: crash.service,
            age: Duration::from_millis(crash.age_ms.into()),
            suspects: crash.suspects,
        }
    }
}

/// A quarantined prompt part, see [`Verdict`].
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq)]
pub struct PulseVerdict {
    /// Hash of the service's name.
    pub service: u64,
    /// Identifier of the part.
    pub part: u64,
    /// Time since it was quarantined, in milliseconds.
    pub age_ms: u32,
    /// Time since the last request with it, in milliseconds.
    pub seen_ms: u32,
    /// Crashes that it explains.
    pub crashes: u32,
}

impl From<Verdict> for PulseVerdict {
    fn from(verdict: Verdict) -> Self {
        Self {
            service: verdict.part.service,
            part: verdict.part.part,
            age_ms: millis(verdict.age),
            seen_ms: millis(verdict.seen),
            crashes: verdict.crashes,
        }
    }
}

impl From<PulseVerdict> for Verdict {
    fn from(verdict: PulseVerdict) -> Self {
        Self {
            part: ServicePart { service: verdict.service, part: verdict.part },
            age: Duration::from_millis(verdict.age_ms.into()),
            seen: Duration::from_millis(verdict.seen_ms.into()),
            crashes: verdict.crashes,
        }
    }
}

/// A run with a suspected prompt part that survived, see [`Survival`].
#[derive(Clone, Copy, Debug, Decode, Encode, PartialEq)]
pub struct PulseSurvival {
    /// Hash of the service's name.
    pub service: u64,
    /// Identifier of the part.
    pub part: u64,
    /// Time since then in milliseconds.
    pub age_ms: u32,
}

impl From<Survival> for PulseSurvival {
    fn from(survival: Survival) -> Self {
        Self {
            service: survival.part.service,
            part: survival.part.part,
            age_ms: millis(survival.age),
        }
    }
}

impl From<PulseSurvival> for Survival {
    fn from(survival: PulseSurvival) -> Self {
        Self {
            part: ServicePart { service: survival.service, part: survival.part },
            age: Duration::from_millis(survival.age_ms.into()),
        }
    }
}
