//! Writes the two lists into the table, as an operator's command would.

use std::time::{SystemTime, UNIX_EPOCH};

use agatestair_schema::LISTS_SCHEMA;
use agatestair_schema::lists::{AllowancesList, HistoryRow, Lists, PlansList};
use agatestair_schema::platform::{Check, Committed, Rows, Transaction, Write};
use agatestair_settings::{Definition, read_text};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::Client;
use crate::error::TestbedError;

/// Key of the lists' row.
const LISTS_KEY: &str = "lists";

/// Reads the two lists from their texts.
///
/// # Errors
///
/// [`TestbedError::Lists`] with every fault.
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

/// Writes the lists over the present ones; returns the new revision.
///
/// # Errors
///
/// [`TestbedError::Request`] without an answer, [`TestbedError::Lists`] if another operator was
/// first.
pub fn write_lists(
    client: &Client,
    platform: &str,
    plans: PlansList,
    allowances: AllowancesList,
) -> Result<u64, TestbedError> {
    let present: Rows = client.get(platform, &format!("/table/rows?prefix={LISTS_KEY}"))?;
    let row = present.rows.iter().find(|row| row.key == LISTS_KEY);
    let last = row.and_then(|row| serde_json::from_str::<Lists>(&row.value).ok());
    let revision = last.map_or(0, |lists| lists.revision) + 1;
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let lists = Lists {
        revision,
        operator: "testbed".to_owned(),
        applied_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
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
            write(LISTS_KEY.to_owned(), &lists),
            write(format!("lists-history/{revision:010}"), &history),
        ],
    };
    let answer = client.post(platform, "/table/transact", &transaction)?;
    let committed = serde_json::from_str::<Committed>(&answer).is_ok_and(|answer| answer.committed);
    if committed {
        Ok(revision)
    } else {
        Err(TestbedError::Lists("another operator was first".to_owned()))
    }
}

fn write<T: Serialize>(key: String, value: &T) -> Write {
    Write { key, value: Some(serde_json::to_string(value).unwrap_or_default()), ttl_ms: None }
}
