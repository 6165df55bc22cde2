//! Finds line numbers in the text of a document.

use jsonc_parser::ast::{ObjectPropName, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Line, counted from 1, of the value at the JSON pointer `path`; the nearest parent's if absent.
pub fn line_of(text: &str, path: &str) -> usize {
    let Ok(result) = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
    else {
        return 1;
    };
    let Some(root) = result.value else {
        return 1;
    };
    line_at(text, offset_of(&root, path))
}

/// Line, counted from 1, of the byte at `offset`.
pub fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

fn offset_of(root: &Value<'_>, path: &str) -> usize {
    let mut value = root;
    let mut offset = root.start();
    for step in path.split('/').skip(1) {
        let name = step.replace("~1", "/").replace("~0", "~");
        let Some((start, child)) = child_of(value, &name) else {
            return offset;
        };
        offset = start;
        value = child;
    }
    offset
}

/// The property or array element `name` of `value`, and its byte offset.
fn child_of<'a, 'b>(value: &'b Value<'a>, name: &str) -> Option<(usize, &'b Value<'a>)> {
    match value {
        Value::Object(object) => {
            let property = object.properties.iter().find(|p| name_of(&p.name) == name)?;
            Some((property.start(), &property.value))
        }
        Value::Array(array) => {
            let child = array.elements.get(name.parse::<usize>().ok()?)?;
            Some((child.start(), child))
        }
        _ => None,
    }
}

fn name_of<'a>(name: &'a ObjectPropName<'a>) -> &'a str {
    name.as_str()
}
