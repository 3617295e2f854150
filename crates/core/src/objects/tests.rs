//! Tests of parsing operators' objects.

use super::{ObjectErrorKind, ObjectSet};

fn pool_text(name: &str) -> String {
    format!("[[pool]]\nname = \"{name}\"\nregion = \"r1\"\nzones = [\"z1\"]\n")
}

/// Guards against a duplicate that silently replaces the first definition.
#[test]
fn duplicate_names_are_rejected() {
    let text = pool_text("sales") + &pool_text("sales");

    let error = ObjectSet::parse("a.toml", &text).unwrap_err();

    assert!(matches!(error.kind, ObjectErrorKind::Duplicate { .. }));
    assert_eq!(
        error.to_string(),
        "a.toml: pool `sales` is defined twice; rename or remove one of the two"
    );
}

/// Guards against a misspelt field that is ignored.
#[test]
fn unknown_fields_are_rejected() {
    let text = pool_text("sales") + "zonse = []\n";

    let error = ObjectSet::parse("a.toml", &text).unwrap_err();

    assert!(matches!(error.kind, ObjectErrorKind::Syntax { .. }));
}
