//! Reads settings and lists in JSON with comments and reports every fault with its place and remedy.
//!
//! [`read_file`] and [`read_text`] check a whole document against one definition of a schema before
//! anything is built from it. All faults are reported at once, each as a [`Fault`].

mod document;
mod fault;
mod place;

pub use document::{Definition, Document, read_file, read_text};
pub use fault::{Fault, SettingsError};
