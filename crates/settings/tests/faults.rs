//! All errors in a document are reported, each with line and remedy.

use agatestair_schema::SETTINGS_SCHEMA;
use agatestair_schema::settings::CtlSettings;
use agatestair_settings::{Definition, SettingsError, read_text};
use googletest::prelude::*;

const CTL: Definition = Definition { schema: SETTINGS_SCHEMA, name: "CtlSettings" };

struct Case {
    name: &'static str,
    text: &'static str,
    expected: &'static [&'static str],
}

const CASES: [Case; 4] = [
    Case {
        name: "unknown property",
        text: "{\n  // comment\n  \"platform\": { \"address\": \"127.0.0.1:1\" },\n  \"operater\": \"a\",\n  \"operator\": \"b\"\n}",
        expected: &["t.jsonc:4: /operater: unknown property", "did you mean `operator`?"],
    },
    Case {
        name: "two errors in one document",
        text: "{\n  \"platform\": { \"address\": 7, \"timeout_ms\": 1 },\n  \"operator\": \"b\"\n}",
        expected: &[
            "/platform/address",
            "give a value of type string",
            "/platform/timeout_ms",
            "give at least 10",
        ],
    },
    Case {
        name: "missing property",
        text: "{ \"operator\": \"b\" }",
        expected: &["add the property \"platform\""],
    },
    Case { name: "syntax error", text: "{\n\n  \"operator\" \"b\" }", expected: &["t.jsonc:3:"] },
];

#[gtest]
fn all_errors_are_reported() {
    for case in &CASES {
        let result = read_text::<CtlSettings>("t.jsonc", case.text, CTL);
        let Err(SettingsError::Invalid(_)) = &result else {
            panic!("{}: the document was accepted", case.name);
        };
        let shown = result.map(|_| ()).unwrap_err().to_string();
        for expected in case.expected {
            expect_that!(shown, contains_substring(*expected), "{}", case.name);
        }
    }
}

#[gtest]
fn missing_properties_get_defaults() -> Result<()> {
    let text = "{ \"platform\": { \"address\": \"127.0.0.1:1\" }, \"operator\": \"b\" } // end";
    let document = read_text::<CtlSettings>("t.jsonc", text, CTL).or_fail()?;
    expect_that!(document.value.platform.timeout_ms, eq(1000));
    Ok(())
}

proptest::proptest! {
    #[test]
    fn arbitrary_text_does_not_panic(text in "[\\[\\]{}:,\"/a-z0-9 \\n*]{0,80}") {
        let _ = read_text::<CtlSettings>("t.jsonc", &text, CTL);
    }
}
