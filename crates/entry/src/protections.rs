//! Safety mechanisms that fault-injection tests disable one by one.

use agatestair_schema::settings::EntrySettings;

use crate::core::assembly::PieceChecks;

/// Names accepted in the setting `disabled`, with the guarantee that each one disables.
pub const PROTECTION_NAMES: [(&str, &str); 7] = [
    ("attempt_check", "pieces of other requests and attempts are dropped"),
    ("offset_check", "duplicate and out-of-sequence pieces are dropped"),
    ("end_check", "a response without its end mark is never treated as complete"),
    ("claim", "calls with an Idempotency-Key are claimed before they are dispatched"),
    ("single_dispatch", "a call that may have run is never dispatched again"),
    ("leave_wait", "an entry that shuts down serves until all responses naming it have expired"),
    ("drain", "an entry that shuts down finishes its open requests"),
];

/// Which protections are enabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Checks of response pieces.
    pub pieces: PieceChecks,
    /// Whether keyed calls are claimed before they are dispatched.
    pub claim: bool,
    /// Whether a call that may have run is never dispatched again.
    pub single_dispatch: bool,
    /// Whether an entry that shuts down keeps serving until every `GET /v1/entries` response that
    /// named it has expired.
    pub leave_wait: bool,
    /// Whether an entry that shuts down finishes its open requests.
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

/// Unknown names in the setting `disabled`.
pub fn unknown_names(settings: &EntrySettings) -> Vec<&str> {
    let known = |name: &str| PROTECTION_NAMES.iter().any(|(known, _)| *known == name);
    settings.disabled.iter().map(String::as_str).filter(|name| !known(name)).collect()
}
