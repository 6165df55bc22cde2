//! Blocking calls of the platform, made on lanes.

use agatestair_platform::{Platform, PlatformError, Purpose};
use agatestair_schema::lists::{EndpointWish, Lists};
use agatestair_schema::platform::Row;
use serde::de::DeserializeOwned;

/// Row that holds the two lists.
pub const LISTS_ROW: &str = "lists";
/// Start of the keys of wishes.
pub const WISH_PREFIX: &str = "wish/";

/// Reads row `lists`.
///
/// # Errors
///
/// [`PlatformError`] if it could not be read.
pub fn read_lists(platform: &Platform) -> Result<Option<(Lists, String)>, PlatformError> {
    let row = platform.table().row(Purpose::Lists, LISTS_ROW)?;
    row.map(|row| Ok((parse_row(&row)?, row.value))).transpose()
}

/// Reads all wishes.
///
/// # Errors
///
/// [`PlatformError`] if they could not be read.
pub fn read_wishes(platform: &Platform) -> Result<Vec<EndpointWish>, PlatformError> {
    platform.table().rows(Purpose::Wish, WISH_PREFIX)?.iter().map(parse_row).collect()
}

/// Reads the value of a row.
///
/// # Errors
///
/// [`PlatformError::Malformed`] if it is not of the expected shape.
pub fn parse_row<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_str(&row.value).map_err(|error| PlatformError::Malformed {
        what: format!("row {}", row.key),
        cause: error.to_string(),
    })
}
