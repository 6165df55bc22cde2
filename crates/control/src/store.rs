//! Blocking reads of the platform's table, for the worker threads.

use agatestair_schema::lists::{EndpointWish, LeaseRow, Lists, OrderRow};
use agatestair_schema::platform::Row;
use agatestair_store::{PlatformClient, PlatformError, Purpose};
use serde::de::DeserializeOwned;

/// Key of the row that holds the two lists.
pub const LISTS_KEY: &str = "lists";
/// Key prefix of the history of the lists.
const HISTORY_PREFIX: &str = "lists-history/";
/// Key prefix of lease rows.
const LEASE_PREFIX: &str = "lease/";
/// Key prefix of order rows.
const ORDER_PREFIX: &str = "order/";
/// Key prefix of wish rows.
pub const WISH_PREFIX: &str = "wish/";

/// Reads row `lists`.
///
/// # Errors
///
/// [`PlatformError`] if it could not be read.
pub fn read_lists(platform: &PlatformClient) -> Result<Option<(Lists, String)>, PlatformError> {
    let row = platform.table().row(Purpose::Lists, LISTS_KEY)?;
    row.map(|row| Ok((parse_row(&row)?, row.value))).transpose()
}

/// Reads row `lists` only if the history has a revision after `known`.
///
/// Each accepted change writes its history row in the same transaction, and revisions are
/// consecutive.
///
/// # Errors
///
/// [`PlatformError`] if the table could not be read.
pub fn read_newer_lists(
    platform: &PlatformClient,
    known: u64,
) -> Result<Option<(Lists, String)>, PlatformError> {
    let next = format!("{HISTORY_PREFIX}{:010}", known + 1);
    match platform.table().row(Purpose::Lists, &next)? {
        Some(_) => read_lists(platform),
        None => Ok(None),
    }
}

/// Reads all wishes.
///
/// # Errors
///
/// [`PlatformError`] if they could not be read.
pub fn read_wishes(platform: &PlatformClient) -> Result<Vec<EndpointWish>, PlatformError> {
    platform.table().rows(Purpose::Wish, WISH_PREFIX)?.iter().map(parse_row).collect()
}

/// Reads all lease rows with their versions.
///
/// # Errors
///
/// [`PlatformError`] if they could not be read.
pub fn read_leases(platform: &PlatformClient) -> Result<Vec<(LeaseRow, u64)>, PlatformError> {
    read_versions(platform, Purpose::Lease, LEASE_PREFIX)
}

/// Reads all order rows with their versions.
///
/// # Errors
///
/// [`PlatformError`] if they could not be read.
pub fn read_orders(platform: &PlatformClient) -> Result<Vec<(OrderRow, u64)>, PlatformError> {
    read_versions(platform, Purpose::Order, ORDER_PREFIX)
}

fn read_versions<T: DeserializeOwned>(
    platform: &PlatformClient,
    purpose: Purpose,
    prefix: &str,
) -> Result<Vec<(T, u64)>, PlatformError> {
    let rows = platform.table().rows(purpose, prefix)?;
    rows.iter().map(|row| Ok((parse_row(row)?, row.version))).collect()
}

/// Key of the lease row of a shard.
pub fn lease_key(shard: u32) -> String {
    format!("{LEASE_PREFIX}{shard}")
}

/// Key of the order row of an endpoint.
pub fn order_key(endpoint: &str) -> String {
    format!("{ORDER_PREFIX}{endpoint}")
}

/// Parses the JSON value of a row.
///
/// # Errors
///
/// [`PlatformError::Malformed`] if it does not parse as `T`.
pub fn parse_row<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_str(&row.value).map_err(|error| PlatformError::Malformed {
        what: format!("row {}", row.key),
        cause: error.to_string(),
    })
}
