//! Reads settings and lists in JSON with comments and reports all errors with line and remedy.
//!
//! [`read_file`] and [`read_text`] validate a document against one definition of a schema before
//! they deserialize it. All errors are reported together, each as a [`Fault`].

mod document;
mod fault;
mod location;

pub use document::{Definition, Document, read_file, read_text};
pub use fault::{Fault, SettingsError};
