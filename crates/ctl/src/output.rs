//! Output of the commands as text or JSON.

use serde::Serialize;
use serde_json::json;

use crate::error::CtlError;

/// Prints results and errors in the format that `--json` selects.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// Whether results are printed as JSON, one object per line.
    pub json: bool,
}

impl Output {
    /// Prints a result to standard output: `value` as JSON, or `text`.
    pub fn print<T: Serialize>(self, value: &T, text: &str) {
        if self.json {
            println!("{}", serde_json::to_string(value).expect("wire types have string keys"));
        } else {
            println!("{text}");
        }
    }

    /// Prints progress to standard error, so that standard output holds only results.
    pub fn progress(self, text: &str) {
        eprintln!("{text}");
    }

    /// Prints an error: as JSON to standard output, as text to standard error.
    pub fn fail(self, error: &CtlError) {
        if self.json {
            let body = json!({"error": {"code": error.code(), "message": error.to_string()}});
            println!("{body}");
        } else {
            eprintln!("{error}");
        }
    }
}
