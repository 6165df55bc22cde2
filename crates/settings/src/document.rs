//! Validates a document against a schema and deserializes it.

use std::fs;
use std::path::Path;

use jsonc_parser::ParseOptions;
use jsonschema::ValidationError;
use jsonschema::error::{TypeKind, ValidationErrorKind};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::fault::{Fault, SettingsError};
use crate::location::{line_at, line_of};

/// Jaro-Winkler similarity above which a known property is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// Length in characters to which displayed values are shortened.
const MAX_VALUE_CHARS: usize = 60;

/// One definition in a JSON Schema document.
#[derive(Clone, Copy, Debug)]
pub struct Definition {
    /// Text of the schema document.
    pub schema: &'static str,
    /// Name of the definition under `definitions`.
    pub name: &'static str,
}

/// A valid document with its text, so that later checks can report line numbers.
#[derive(Clone, Debug)]
pub struct Document<T> {
    /// Name of the file.
    pub file: String,
    /// Text of the document.
    pub text: String,
    /// Deserialized value.
    pub value: T,
}

impl<T> Document<T> {
    /// Creates a fault at the JSON pointer `path`, for checks that the schema cannot express.
    pub fn fault(&self, path: &str, value: &str, problem: &str, remedy: &str) -> Fault {
        Fault {
            file: self.file.clone(),
            line: line_of(&self.text, path),
            path: path.to_owned(),
            value: shorten(value),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

/// Reads and validates the file at `path`.
///
/// # Errors
///
/// [`SettingsError::Unreadable`] if the file cannot be read, or [`SettingsError::Invalid`] with
/// every fault in the document.
pub fn read_file<T: DeserializeOwned>(
    path: &Path,
    definition: Definition,
) -> Result<Document<T>, SettingsError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => read_text(&file, &text, definition),
        Err(error) => Err(SettingsError::Unreadable { file, cause: error.to_string() }),
    }
}

/// Validates `text`; faults report `file` as the name of the file.
///
/// # Errors
///
/// [`SettingsError::Invalid`] with every fault in the document.
pub fn read_text<T: DeserializeOwned>(
    file: &str,
    text: &str,
    definition: Definition,
) -> Result<Document<T>, SettingsError> {
    let value = parse(file, text)?;
    let schema = schema_of(definition);
    let validator =
        jsonschema::validator_for(&schema).expect("schemas in the repository are valid");
    let faults: Vec<Fault> = validator
        .iter_errors(&value)
        .flat_map(|error| faults_of(file, text, &schema, &error))
        .collect();
    if !faults.is_empty() {
        return Err(SettingsError::Invalid(faults));
    }
    let value = serde_json::from_value(value).map_err(|error| deserialize_fault(file, &error))?;
    Ok(Document { file: file.to_owned(), text: text.to_owned(), value })
}

fn parse(file: &str, text: &str) -> Result<Value, SettingsError> {
    let options = ParseOptions {
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        ..ParseOptions::default()
    };
    jsonc_parser::parse_to_serde_value::<Value>(text, &options).map_err(|error| {
        SettingsError::Invalid(vec![Fault {
            file: file.to_owned(),
            line: line_at(text, error.range().start),
            path: String::new(),
            value: "invalid JSON with comments".to_owned(),
            problem: error.kind().to_string(),
            remedy: "correct the syntax at this line".to_owned(),
        }])
    })
}

/// The schema document with its root set to the given definition.
fn schema_of(definition: Definition) -> Value {
    let mut schema: Value =
        serde_json::from_str(definition.schema).expect("schemas in the repository are JSON");
    schema["$ref"] = json!(format!("#/definitions/{}", definition.name));
    schema
}

fn faults_of(file: &str, text: &str, schema: &Value, error: &ValidationError<'_>) -> Vec<Fault> {
    let path = error.instance_path().to_string();
    if let ValidationErrorKind::AdditionalProperties { unexpected } = error.kind() {
        let known = known_properties(schema, &error.schema_path().to_string());
        return unexpected
            .iter()
            .map(|name| unknown_fault(file, text, &format!("{path}/{name}"), name, &known))
            .collect();
    }
    vec![Fault {
        file: file.to_owned(),
        line: line_of(text, &path),
        value: shorten(&error.instance().to_string()),
        problem: error.to_string().chars().take(200).collect(),
        remedy: remedy_of(error.kind()),
        path,
    }]
}

fn unknown_fault(file: &str, text: &str, path: &str, name: &str, known: &[String]) -> Fault {
    let nearest = known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity > MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let remedy = match nearest {
        Some((_, candidate)) => format!("did you mean `{candidate}`?"),
        None => format!("known properties: {}", known.join(", ")),
    };
    Fault {
        file: file.to_owned(),
        line: line_of(text, path),
        path: path.to_owned(),
        value: format!("`{name}`"),
        problem: "unknown property".to_owned(),
        remedy,
    }
}

/// Properties defined next to the `additionalProperties` keyword at `path` in the schema.
fn known_properties(schema: &Value, path: &str) -> Vec<String> {
    let parent = path.rsplit_once("/additionalProperties").map_or("", |(parent, _)| parent);
    let names = schema.pointer(parent).and_then(|node| node.get("properties"));
    let names = names.and_then(Value::as_object);
    names.map(|names| names.keys().cloned().collect()).unwrap_or_default()
}

fn remedy_of(kind: &ValidationErrorKind) -> String {
    match kind {
        ValidationErrorKind::Required { property } => format!("add the property {property}"),
        ValidationErrorKind::Type { kind: TypeKind::Single(kind) } => {
            format!("give a value of type {kind}")
        }
        ValidationErrorKind::Minimum { limit } => format!("give at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("give at most {limit}"),
        ValidationErrorKind::Enum { options } => format!("give one of {options}"),
        _ => "give a value that the schema allows".to_owned(),
    }
}

fn deserialize_fault(file: &str, error: &serde_json::Error) -> SettingsError {
    SettingsError::Invalid(vec![Fault {
        file: file.to_owned(),
        line: 1,
        path: String::new(),
        value: "the whole document".to_owned(),
        problem: error.to_string(),
        remedy: "give values within the ranges of their types".to_owned(),
    }])
}

fn shorten(text: &str) -> String {
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}…")
}
