//! Reads the counters and the lists from the platform.

use std::fmt;

use agatestair_schema::lists::Lists;
use agatestair_schema::slo::{SloIndex, SloSnapshot};
use agatestair_store::{PlatformClient, PlatformError, Purpose};

/// Key prefix of the rows and objects with counters.
const SLO_PREFIX: &str = "slo/";
/// Key of the table row that holds the lists of plans and allowances.
const LISTS_KEY: &str = "lists";

/// Error while collecting the counters.
#[derive(Debug)]
pub enum CollectError {
    /// The platform could not be read.
    Platform(PlatformError),
    /// The table has no lists.
    NoLists,
    /// A row has invalid content.
    Malformed {
        /// Key of the row.
        key: String,
        /// Parse error.
        cause: String,
    },
}

impl fmt::Display for CollectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => write!(f, "{error}; try again when the store is available"),
            Self::NoLists => {
                write!(f, "the table has no lists; apply them with `agatestairctl apply`")
            }
            Self::Malformed { key, cause } => {
                write!(
                    f,
                    "row `{key}`: {cause}; use the same version of agatestair-report as the entries"
                )
            }
        }
    }
}

impl std::error::Error for CollectError {}

impl From<PlatformError> for CollectError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Input of a report.
#[derive(Clone, Debug)]
pub struct Collected {
    /// Current lists of plans and allowances.
    pub lists: Lists,
    /// Counters of all runs of all entries.
    pub snapshots: Vec<SloSnapshot>,
    /// Runs whose counters could not be read, and why.
    pub gaps: Vec<String>,
}

/// Reads the lists, and the counters of every run listed in the table.
///
/// # Errors
///
/// Returns a [`CollectError`] if the lists or the list of runs cannot be read.
pub fn collect(platform: &PlatformClient) -> Result<Collected, CollectError> {
    let table = platform.table();
    let row = table.row(Purpose::Lists, LISTS_KEY)?.ok_or(CollectError::NoLists)?;
    let lists = serde_json::from_str(&row.value).map_err(|error| malformed(&row.key, &error))?;
    let mut collected = Collected { lists, snapshots: Vec::new(), gaps: Vec::new() };
    for row in table.rows(Purpose::Report, SLO_PREFIX)? {
        let index: SloIndex =
            serde_json::from_str(&row.value).map_err(|error| malformed(&row.key, &error))?;
        match read_snapshot(platform, &index) {
            Ok(snapshot) => collected.snapshots.push(snapshot),
            Err(cause) => collected.gaps.push(format!("{}: {cause}", row.key)),
        }
    }
    Ok(collected)
}

fn malformed(key: &str, error: &serde_json::Error) -> CollectError {
    CollectError::Malformed { key: key.to_owned(), cause: error.to_string() }
}

fn read_snapshot(platform: &PlatformClient, index: &SloIndex) -> Result<SloSnapshot, String> {
    let key = format!("{SLO_PREFIX}{}/{}", index.instance, index.boot);
    let body = platform.objects().get(Purpose::Report, &key).map_err(|error| error.to_string())?;
    let body = body.ok_or("no counters have been written yet")?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
