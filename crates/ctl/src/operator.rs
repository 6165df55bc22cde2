//! Reads and changes the lists and wishes in the table service.

use std::time::{SystemTime, UNIX_EPOCH};

use agatestair_schema::lists::{
    AllowancesList, EndpointWish, HistoryRow, Lists, PlansList, WishState,
};
use agatestair_schema::platform::{InstanceKind, Row};
use agatestair_schema::settings::CtlSettings;
use agatestair_store::{Outcome, PlatformClient, Purpose, put_row, require};
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

use crate::error::CtlError;

/// Key of the row that holds the two lists.
const LISTS_KEY: &str = "lists";
/// Key prefix of the history rows.
const HISTORY_PREFIX: &str = "lists-history/";

/// Client for the lists and wishes in the table service, on behalf of one operator.
pub struct OperatorClient {
    platform: PlatformClient,
    name: String,
}

impl OperatorClient {
    /// Creates the client without connecting.
    pub fn new(settings: &CtlSettings) -> Self {
        Self { platform: PlatformClient::new(&settings.platform), name: settings.operator.clone() }
    }

    /// Reads the current lists and the version of their row; `None` before the first revision.
    ///
    /// # Errors
    ///
    /// [`CtlError::Platform`] if the row cannot be read.
    pub fn current_lists(&self) -> Result<Option<(Lists, u64)>, CtlError> {
        let row = self.platform.table().row(Purpose::Lists, LISTS_KEY)?;
        row.map(|row| Ok((parse_row(&row)?, row.version))).transpose()
    }

    /// Applies lists as a new revision, by compare-and-set on the version of their row.
    ///
    /// `base` is the revision that the change is based on; `None` accepts any current revision.
    ///
    /// # Errors
    ///
    /// [`CtlError::Conflict`] if the lists were changed meanwhile, [`CtlError::Unknown`] if the
    /// platform did not respond, or [`CtlError::Platform`].
    pub fn apply(
        &self,
        plans: PlansList,
        allowances: AllowancesList,
        base: Option<u64>,
        cause: &str,
    ) -> Result<Lists, CtlError> {
        let current = self.current_lists()?;
        let revision = current.as_ref().map_or(0, |(lists, _)| lists.revision);
        let version = current.as_ref().map_or(0, |(_, version)| *version);
        if let Some(base) = base.filter(|base| *base != revision) {
            return Err(conflict_error(base, current.as_ref().map(|(lists, _)| lists)));
        }
        let lists = Lists {
            allowances,
            applied_ms: unix_ms(),
            operator: self.name.clone(),
            plans,
            revision: revision + 1,
        };
        let object = format!("lists/{:010}-{}", lists.revision, self.platform.attempt_id());
        let body = serde_json::to_vec(&lists).expect("wire types have string keys");
        self.platform.objects().put(Purpose::Lists, &object, &body)?;
        self.commit(revision, version, lists, object, cause)
    }

    fn commit(
        &self,
        base: u64,
        version: u64,
        lists: Lists,
        object: String,
        cause: &str,
    ) -> Result<Lists, CtlError> {
        let history = HistoryRow {
            applied_ms: lists.applied_ms,
            cause: cause.to_owned(),
            object,
            operator: lists.operator.clone(),
            revision: lists.revision,
        };
        let history_key = history_key(lists.revision);
        let outcome = self.platform.table().transact(
            Purpose::Lists,
            vec![require(LISTS_KEY, version)],
            vec![put_row(LISTS_KEY, &lists), put_row(&history_key, &history)],
        )?;
        match outcome {
            Outcome::Committed(_) => Ok(lists),
            Outcome::Unknown(_) => {
                Err(CtlError::Unknown { what: format!("revision {}", lists.revision) })
            }
            Outcome::Conflict(rows) => {
                let row = rows.iter().find(|row| row.key == LISTS_KEY);
                let newer = row.and_then(|row| parse_row::<Lists>(row).ok());
                Err(conflict_error(base, newer.as_ref()))
            }
        }
    }

    /// Reads the accepted changes, oldest first.
    ///
    /// # Errors
    ///
    /// [`CtlError::Platform`] if the rows cannot be read.
    pub fn history(&self) -> Result<Vec<HistoryRow>, CtlError> {
        let rows = self.platform.table().rows(Purpose::Lists, HISTORY_PREFIX)?;
        rows.iter().map(parse_row).collect()
    }

    /// Reads the lists of an earlier revision.
    ///
    /// # Errors
    ///
    /// [`CtlError::Missing`] if there is no such revision, or [`CtlError::Platform`].
    pub fn revision(&self, revision: u64) -> Result<Lists, CtlError> {
        let missing = || CtlError::Missing {
            what: format!("revision {revision}"),
            remedy: "list the available ones with `agatestairctl history`".to_owned(),
        };
        let key = history_key(revision);
        let row = self.platform.table().row(Purpose::Lists, &key)?.ok_or_else(missing)?;
        let history: HistoryRow = parse_row(&row)?;
        let body = self.platform.objects().get(Purpose::Lists, &history.object)?;
        let body = body.ok_or_else(missing)?;
        serde_json::from_slice(&body).map_err(|error| malformed_error(&history.object, &error))
    }

    /// Records the state that the operator wants an endpoint to have.
    ///
    /// # Errors
    ///
    /// [`CtlError::Missing`] if the platform lists no such endpoint, [`CtlError::WishConflict`] if
    /// another operator changed the wish meanwhile, [`CtlError::Unknown`], or
    /// [`CtlError::Platform`].
    pub fn set_wish(
        &self,
        endpoint: &str,
        state: WishState,
        successor: Option<String>,
    ) -> Result<EndpointWish, CtlError> {
        self.check_endpoint(endpoint, successor.as_deref())?;
        let key = format!("wish/{endpoint}");
        let version = self.platform.table().row(Purpose::Wish, &key)?.map_or(0, |row| row.version);
        let wish = EndpointWish {
            asked_ms: unix_ms(),
            endpoint: endpoint.to_owned(),
            operator: self.name.clone(),
            state,
            successor,
        };
        let outcome = self.platform.table().transact(
            Purpose::Wish,
            vec![require(&key, version)],
            vec![put_row(&key, &wish)],
        )?;
        match outcome {
            Outcome::Committed(_) => Ok(wish),
            Outcome::Unknown(_) => Err(CtlError::Unknown { what: format!("{state} {endpoint}") }),
            Outcome::Conflict(rows) => Err(CtlError::WishConflict {
                endpoint: endpoint.to_owned(),
                current: rows.first().map(describe_wish).unwrap_or_default(),
            }),
        }
    }

    fn check_endpoint(&self, endpoint: &str, successor: Option<&str>) -> Result<(), CtlError> {
        let listed = self.platform.instances().list()?;
        let endpoints: Vec<_> =
            listed.iter().filter(|record| record.kind != InstanceKind::Entry).collect();
        for name in [Some(endpoint), successor].into_iter().flatten() {
            if !endpoints.iter().any(|record| record.name == name) {
                return Err(CtlError::Missing {
                    what: format!("endpoint {name}"),
                    remedy: "list the endpoints with `agatestairctl status`".to_owned(),
                });
            }
        }
        if successor == Some(endpoint) {
            return Err(CtlError::Missing {
                what: format!("a successor of {endpoint} other than itself"),
                remedy: "pass another endpoint with `--by`".to_owned(),
            });
        }
        Ok(())
    }
}

/// SHA-256 hash of an API key in lower-case hexadecimal, as stored in the list of plans.
pub fn hash_key(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn history_key(revision: u64) -> String {
    format!("{HISTORY_PREFIX}{revision:010}")
}

fn describe_wish(row: &Row) -> String {
    parse_row::<EndpointWish>(row).map_or_else(
        |_| "no longer recorded".to_owned(),
        |wish| format!("{} by {}", wish.state, wish.operator),
    )
}

fn conflict_error(base: u64, newer: Option<&Lists>) -> CtlError {
    CtlError::Conflict {
        base,
        newer: newer.map_or(0, |lists| lists.revision),
        operator: newer.map_or_else(|| "nobody".to_owned(), |lists| lists.operator.clone()),
    }
}

fn parse_row<T: DeserializeOwned>(row: &Row) -> Result<T, CtlError> {
    serde_json::from_str(&row.value).map_err(|error| malformed_error(&row.key, &error))
}

fn malformed_error(what: &str, error: &serde_json::Error) -> CtlError {
    CtlError::Platform(agatestair_store::PlatformError::Malformed {
        what: what.to_owned(),
        cause: error.to_string(),
    })
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
