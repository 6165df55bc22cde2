//! Reads counters and lists from the platform.

use std::fmt;

use agatestair_schema::lists::Lists;
use agatestair_schema::slo::{SloIndex, SloSnapshot};
use agatestair_store::{Platform, PlatformError, Purpose};

/// Key prefix of the rows and objects with counters.
const SLO_PREFIX: &str = "slo/";
/// Key of the row that holds both lists.
const LISTS_KEY: &str = "lists";

/// Why the counters could not be collected.
#[derive(Debug)]
pub enum CollectError {
    /// The platform could not be read.
    Platform(PlatformError),
    /// The table holds no lists.
    NoLists,
    /// A row cannot be parsed.
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
            Self::Platform(error) => write!(f, "{error}; retry when the store is available"),
            Self::NoLists => {
                write!(f, "the table holds no lists; apply them with `agatestairctl apply`")
            }
            Self::Malformed { key, cause } => {
                write!(
                    f,
                    "row `{key}`: {cause}; use the `agatestair-report` of the entries' version"
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
    /// Current lists.
    pub lists: Lists,
    /// Counters, one snapshot per run of an entry.
    pub snapshots: Vec<SloSnapshot>,
    /// Runs whose counters could not be read, with the error.
    pub gaps: Vec<String>,
}

/// Reads the lists and the counters of every run in the table.
///
/// # Errors
///
/// [`CollectError`] if the lists or the rows of the runs cannot be read.
pub fn collect(platform: &Platform) -> Result<Collected, CollectError> {
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

fn read_snapshot(platform: &Platform, index: &SloIndex) -> Result<SloSnapshot, String> {
    let key = format!("{SLO_PREFIX}{}/{}", index.instance, index.boot);
    let body = platform.objects().get(Purpose::Report, &key).map_err(|error| error.to_string())?;
    let body = body.ok_or("no counters written yet")?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
