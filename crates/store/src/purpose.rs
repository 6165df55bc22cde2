//! Purposes of platform calls.

/// Purpose of a platform call, a label of the metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Idempotency records.
    Claim,
    /// Instance list and registration.
    Instances,
    /// Leases.
    Lease,
    /// The two lists and their history.
    Lists,
    /// Orders to engines.
    Order,
    /// Service-level counters.
    Report,
    /// Model weights.
    Weights,
    /// Operators' wishes about endpoints.
    Wish,
}

impl Purpose {
    /// Value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Claim => "claim",
            Self::Instances => "instances",
            Self::Lease => "lease",
            Self::Lists => "lists",
            Self::Order => "order",
            Self::Report => "report",
            Self::Weights => "weights",
            Self::Wish => "wish",
        }
    }
}
