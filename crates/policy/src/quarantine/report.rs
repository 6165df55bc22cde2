//! Reports about crashes of endpoints and quarantined prompt parts.

use std::time::Duration;

use sha2::{Digest, Sha256};

/// Bits that tell fingerprints of requests from identifiers of prompt parts. A part that has them all
/// is only ranked like a fingerprint.
const FINGERPRINT: u64 = 0xffff << 48;

/// Fingerprint of a request as a whole, which is suspected like a part of its prompt; the result is
/// the same in every process and build. `fields` are what makes the request another one.
pub fn fingerprint(fields: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.finalize()[..8]);
    u64::from_le_bytes(bytes) | FINGERPRINT
}

/// Whether an identifier is the fingerprint of a request.
pub(super) fn is_fingerprint(part: u64) -> bool {
    part & FINGERPRINT == FINGERPRINT
}

/// A prompt part at a service, both as hashes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServicePart {
    /// Hash of the service's name.
    pub service: u64,
    /// Identifier of the part.
    pub part: u64,
}

/// One process of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProcessKey {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Start time in Unix milliseconds.
    pub born: u64,
}

/// A crash of an endpoint, as one instance observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashReport {
    /// The process that crashed.
    pub process: ProcessKey,
    /// Hash of the name of its service.
    pub service: u64,
    /// Time since the crash.
    pub age: Duration,
    /// Fingerprints of the requests whose answers were beginning, and the parts of their prompts
    /// without the last one of each prompt.
    pub suspects: Vec<u64>,
}

/// A quarantined part, as reported to other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// The part.
    pub part: ServicePart,
    /// Time since it was quarantined.
    pub age: Duration,
    /// Time since the last request with it.
    pub seen: Duration,
    /// Crashes that it explains.
    pub crashes: u32,
}

/// A run with a suspected part that survived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Survival {
    /// The part.
    pub part: ServicePart,
    /// Time since then.
    pub age: Duration,
}

/// A change of the set of quarantined parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuarantineChange {
    /// Another instance reports the crash of a process, this long ago.
    Reported(ProcessKey, Duration),
    /// A process proved to be alive after its crash was last observed, this long ago.
    Withdrawn(ProcessKey, Duration),
    /// A part is quarantined.
    Added(Verdict),
    /// A part is quarantined no longer, since a run with it survived.
    Released(ServicePart),
    /// A part is quarantined no longer, since crashes that it explained were withdrawn.
    Unfounded(ServicePart),
    /// A part is quarantined no longer, since no requests with it came.
    Forgotten(ServicePart),
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineCheck {
    /// No part is quarantined.
    Clear,
    /// The request is the trial of a quarantined part.
    Trial(u64),
    /// The request holds this quarantined part and must not be sent.
    Denied(u64),
}
