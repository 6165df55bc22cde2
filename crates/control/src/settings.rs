//! Checks of the settings that the schema cannot express.

use std::net::SocketAddr;

use agatestair_schema::settings::ControlSettings;
use agatestair_settings::{Document, Fault};

/// Minimum duration of a lease, in milliseconds.
const MIN_LEASE_MS: u64 = 500;

/// Names allowed in the setting `disabled`.
const PROTECTION_NAMES: [&str; 5] =
    ["fencing", "former_holder_ack", "lease_margin", "order_record", "revision_guard"];

/// Protections that a test can disable to show that the checker detects the violations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Orders carry an increasing fencing number (`fencing`).
    pub fencing: bool,
    /// A new holder waits for acknowledgements of former holders (`former_holder_ack`).
    pub former_ack: bool,
    /// A holder stops before its lease expires (`lease_margin`).
    pub lease_margin: bool,
    /// Orders are recorded before they are sent (`order_record`).
    pub order_record: bool,
    /// The revision of the lists never decreases (`revision_guard`).
    pub revision_guard: bool,
}

impl From<&ControlSettings> for Protections {
    fn from(settings: &ControlSettings) -> Self {
        let on = |name: &str| !settings.disabled.iter().any(|disabled| disabled == name);
        Self {
            fencing: on("fencing"),
            former_ack: on("former_holder_ack"),
            lease_margin: on("lease_margin"),
            order_record: on("order_record"),
            revision_guard: on("revision_guard"),
        }
    }
}

/// Returns all errors in the settings that the schema cannot express.
pub fn check_settings(document: &Document<ControlSettings>) -> Vec<Fault> {
    let mut faults = address_faults(document);
    let settings = &document.value;
    if settings.lease_ms < MIN_LEASE_MS {
        faults.push(document.fault(
            "/lease_ms",
            &settings.lease_ms.to_string(),
            "the lease is too short to be renewed in time",
            &format!("give at least {MIN_LEASE_MS}"),
        ));
    }
    if settings.margin_ms * 2 > settings.lease_ms {
        faults.push(document.fault(
            "/margin_ms",
            &settings.margin_ms.to_string(),
            "the margin leaves less than half of the lease",
            "give at most half of `lease_ms`",
        ));
    }
    if settings.shards == 0 {
        faults.push(document.fault("/shards", "0", "no shard", "give at least 1"));
    }
    for (index, name) in settings.disabled.iter().enumerate() {
        if !PROTECTION_NAMES.contains(&name.as_str()) {
            faults.push(document.fault(
                &format!("/disabled/{index}"),
                name,
                "unknown protection",
                &format!("known names: {}", PROTECTION_NAMES.join(", ")),
            ));
        }
    }
    faults
}

fn address_faults(document: &Document<ControlSettings>) -> Vec<Fault> {
    let settings = &document.value;
    let mut addresses = vec![
        ("/listen", &settings.listen),
        ("/entry", &settings.entry),
        ("/platform/address", &settings.platform.address),
    ];
    if !settings.admin.is_empty() {
        addresses.push(("/admin", &settings.admin));
    }
    addresses
        .into_iter()
        .filter(|(_, address)| address.parse::<SocketAddr>().is_err())
        .map(|(path, address)| {
            document.fault(path, address, "not an address", "use the form `IP:port`")
        })
        .collect()
}
