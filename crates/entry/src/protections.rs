//! Protections that the checker's tests switch off one by one.

use agatestair_schema::settings::EntrySettings;

use crate::core::assembly::PieceChecks;

/// Names that the setting `disabled` knows, with what is switched off.
pub const NAMES: [(&str, &str); 7] = [
    ("attempt_check", "pieces of other requests and attempts are dropped"),
    ("offset_check", "pieces that are doubled or out of place are dropped"),
    ("end_check", "an answer without its end mark is never passed as whole"),
    ("claim", "calls with an Idempotency-Key are claimed before they are dispatched"),
    ("single_dispatch", "a call that may have run is never dispatched again"),
    ("leave_wait", "a leaving entry serves until every answer that named it has expired"),
    ("drain", "a leaving entry finishes its requests"),
];

/// Which protections are in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Checks of the pieces of answers.
    pub pieces: PieceChecks,
    /// Whether keyed calls are claimed before they are dispatched.
    pub claim: bool,
    /// Whether a call that may have run is never dispatched again.
    pub single_dispatch: bool,
    /// Whether a leaving entry serves until every answer that named it has expired.
    pub leave_wait: bool,
    /// Whether a leaving entry finishes its requests.
    pub drain: bool,
}

impl From<&EntrySettings> for Protections {
    fn from(settings: &EntrySettings) -> Self {
        let on = |name: &str| !settings.disabled.iter().any(|disabled| disabled == name);
        Self {
            pieces: PieceChecks {
                attempt: on("attempt_check"),
                offset: on("offset_check"),
                end: on("end_check"),
            },
            claim: on("claim"),
            single_dispatch: on("single_dispatch"),
            leave_wait: on("leave_wait"),
            drain: on("drain"),
        }
    }
}

/// Names in the setting `disabled` that are not known.
pub fn unknown_names(settings: &EntrySettings) -> Vec<&str> {
    let known = |name: &str| NAMES.iter().any(|(known, _)| *known == name);
    settings.disabled.iter().map(String::as_str).filter(|name| !known(name)).collect()
}
