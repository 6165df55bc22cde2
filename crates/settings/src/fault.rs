//! Faults found in a document.

use std::fmt;

/// One fault of a document, with its place and remedy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Name of the file, or another name for the text.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Path in the document, such as `/log/level`; empty for the whole document.
    pub path: String,
    /// Value found there, shortened.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
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

/// Why a document could not be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// Name of the file.
        file: String,
        /// Cause given by the operating system.
        cause: String,
    },
    /// The document has faults.
    Faulty(Vec<Fault>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => {
                write!(f, "{file}: {cause}; check that the file exists and can be read")
            }
            Self::Faulty(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}
