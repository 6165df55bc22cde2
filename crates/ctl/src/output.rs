//! Output as text or JSON.

use serde::Serialize;
use serde_json::json;

use crate::error::CtlError;

/// Prints results.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// Whether results are printed as JSON, one object a line.
    pub json: bool,
}

impl Output {
    /// Prints a result: `value` as JSON or `text`.
    pub fn print<T: Serialize>(self, value: &T, text: &str) {
        if self.json {
            println!("{}", serde_json::to_string(value).expect("wire types have text keys"));
        } else {
            println!("{text}");
        }
    }

    /// Prints progress; as JSON it goes to the standard error stream, so that results stand alone.
    pub fn progress(self, text: &str) {
        eprintln!("{text}");
    }

    /// Prints a failure.
    pub fn fail(self, error: &CtlError) {
        if self.json {
            let body = json!({"error": {"code": error.code(), "message": error.to_string()}});
            println!("{body}");
        } else {
            eprintln!("{error}");
        }
    }
}
