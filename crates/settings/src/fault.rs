//! Validation errors of a document.

use std::fmt;

/// One validation error with its location and remedy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Name of the file or other source of the text.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// JSON pointer, such as `/log/level`; empty for the whole document.
    pub path: String,
    /// Value found at `path`, shortened.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "/" } else { &self.path };
        write!(
            f,
            "{}:{}: {}: {} (found {}); {}",
            self.file, self.line, path, self.problem, self.value, self.remedy
        )
    }
}

/// Error while reading a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// Name of the file.
        file: String,
        /// The operating system's error.
        cause: String,
    },
    /// The document is invalid.
    Invalid(Vec<Fault>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => {
                write!(f, "{file}: {cause}; check that the file exists and is readable")
            }
            Self::Invalid(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}
