//! Commits the plans and allowances lists to the platform's table, as the operators' command does.

use std::time::{SystemTime, UNIX_EPOCH};

use agatestair_schema::LISTS_SCHEMA;
use agatestair_schema::lists::{AllowancesList, HistoryRow, Lists, PlansList};
use agatestair_schema::platform::{Check, Committed, Rows, Transaction, Write};
use agatestair_settings::{Definition, read_text};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::Client;
use crate::error::TestbedError;

/// Key of the row with the current lists.
const LISTS_KEY: &str = "lists";

/// Parses and validates the plans and allowances lists from their JSONC texts.
///
/// # Errors
///
/// [`TestbedError::Lists`] with every validation error.
pub fn parse_lists(
    plans: &str,
    allowances: &str,
) -> Result<(PlansList, AllowancesList), TestbedError> {
    Ok((parse("plans", plans, "PlansList")?, parse("allowances", allowances, "AllowancesList")?))
}

fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    name: &'static str,
) -> Result<T, TestbedError> {
    let definition = Definition { schema: LISTS_SCHEMA, name };
    let document = read_text(file, text, definition);
    document.map(|document| document.value).map_err(|error| TestbedError::Lists(error.to_string()))
}

/// Replaces the current lists; returns the new revision.
///
/// # Errors
///
/// [`TestbedError::Request`] if the platform cannot be reached, [`TestbedError::Lists`] if another
/// operator committed a revision first.
pub fn write_lists(
    client: &Client,
    platform: &str,
    plans: PlansList,
    allowances: AllowancesList,
) -> Result<u64, TestbedError> {
    let current: Rows = client.get(platform, &format!("/table/rows?prefix={LISTS_KEY}"))?;
    let row = current.rows.iter().find(|row| row.key == LISTS_KEY);
    let previous = row.and_then(|row| serde_json::from_str::<Lists>(&row.value).ok());
    let revision = previous.map_or(0, |lists| lists.revision) + 1;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let lists = Lists {
        revision,
        operator: "testbed".to_owned(),
        applied_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        plans,
        allowances,
    };
    let attempt = format!("testbed-lists-{revision}-{}", lists.applied_ms);
    let history = HistoryRow {
        applied_ms: lists.applied_ms,
        cause: "testbed".to_owned(),
        object: format!("lists/{revision:010}-{attempt}"),
        operator: lists.operator.clone(),
        revision,
    };
    client.put(platform, &format!("/objects/{}", history.object), &lists)?;
    let transaction = Transaction {
        attempt,
        checks: vec![Check {
            key: LISTS_KEY.to_owned(),
            version: row.map_or(0, |row| row.version),
        }],
        writes: vec![
            write_row(LISTS_KEY.to_owned(), &lists),
            write_row(format!("lists-history/{revision:010}"), &history),
        ],
    };
    let response = client.post(platform, "/table/transact", &transaction)?;
    let committed =
        serde_json::from_str::<Committed>(&response).is_ok_and(|response| response.committed);
    if committed {
        Ok(revision)
    } else {
        Err(TestbedError::Lists("another operator committed a revision first".to_owned()))
    }
}

fn write_row<T: Serialize>(key: String, value: &T) -> Write {
    Write { key, value: Some(serde_json::to_string(value).unwrap_or_default()), ttl_ms: None }
}
