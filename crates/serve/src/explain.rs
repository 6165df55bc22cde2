//! Prints the log records of one request in readable form.

use std::io::{self, BufRead, Write};

use serde_json::{Map, Value};

/// Keys that are not printed as fields: common to all records, or printed in the prefix.
const COMMON_KEYS: [&str; 7] = ["msg", "level", "ts", "instance", "process", "event", "request"];

/// Writes the log records of a request in log order; returns how many there are.
///
/// # Errors
///
/// Returns an error if reading or writing fails.
pub fn explain(log: impl BufRead, request: &str, out: &mut impl Write) -> io::Result<usize> {
    let mut found = 0;
    for line in log.lines() {
        let line = line?;
        // The log may contain lines of other programs.
        let Ok(Value::Object(record)) = serde_json::from_str(&line) else { continue };
        if record.get("request").and_then(Value::as_str) == Some(request) {
            found += 1;
            writeln!(out, "{}", describe(&record))?;
        }
    }
    Ok(found)
}

fn describe(record: &Map<String, Value>) -> String {
    let text = |name: &str| record.get(name).and_then(Value::as_str).unwrap_or("?");
    let number = record.get("event").and_then(Value::as_u64).unwrap_or(0);
    let mut line = format!("{} {} {number} {}", text("ts"), text("instance"), text("msg"));
    for (name, value) in record {
        if COMMON_KEYS.contains(&name.as_str()) || value.is_null() {
            continue;
        }
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        line.push_str(&format!(" {name}={value}"));
    }
    line
}
