//! Parsing of objects from TOML texts.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use super::{
    check::check_set,
    messages::{ObjectKind, ObjectProblem, ObjectProblemKind, ObjectRef},
    state::{ObjectSet, ObjectSpec},
};

/// Parses TOML texts into one set and collects all problems.
#[derive(Debug, Default)]
pub struct ObjectLoader {
    set: ObjectSet,
    /// The file in which each object is defined.
    files: BTreeMap<ObjectRef, String>,
    /// Objects that could not be parsed.
    malformed: BTreeSet<ObjectRef>,
    problems: Vec<ObjectProblem>,
}

/// The result of loading: the parsed set and its problems.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectReport {
    /// The objects that could be parsed.
    pub set: ObjectSet,
    /// All problems; a valid set has none or only warnings.
    pub problems: Vec<ObjectProblem>,
}

impl ObjectReport {
    /// Returns whether the set can be published.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.problems
            .iter()
            .all(|problem| problem.kind.is_warning())
    }
}

impl ObjectLoader {
    /// Parses the text of one file and adds its objects.
    pub fn add(&mut self, file: &str, text: &str) {
        match text.parse::<Table>() {
            Ok(tables) => {
                for (name, value) in tables {
                    self.add_table(file, &name, value);
                }
            }
            Err(error) => self.report_syntax(file, None, error.to_string().trim_end()),
        }
    }

    /// Validates all parsed objects as one set.
    #[must_use]
    pub fn finish(mut self) -> ObjectReport {
        for mut problem in check_set(&self.set, &self.malformed) {
            let object = problem.object.as_ref();
            let file = object.and_then(|object| self.files.get(object));
            problem.file = file.cloned().unwrap_or_default();
            self.problems.push(problem);
        }
        ObjectReport {
            set: self.set,
            problems: self.problems,
        }
    }

    fn add_table(&mut self, file: &str, table: &str, value: Value) {
        let Some(kind) = table_kind(table) else {
            let message = format!("`{table}` is no kind of object");
            return self.report_syntax(file, None, &message);
        };
        let Value::Array(entries) = value else {
            let message = format!("`{table}` is not written as [[{table}]]");
            return self.report_syntax(file, None, &message);
        };
        for entry in entries {
            self.add_object(file, kind, entry);
        }
    }

    fn add_object(&mut self, file: &str, kind: ObjectKind, entry: Value) {
        let name = entry.get("name").and_then(Value::as_str);
        let object = ObjectRef::new(kind, name.unwrap_or_default());
        match read_object(kind, entry) {
            Ok(spec) => self.insert(file, object, spec),
            Err(error) => {
                let message = error.to_string().trim_end().replace('\n', " ");
                self.report_syntax(file, Some(object.clone()), &message);
                self.malformed.insert(object);
            }
        }
    }

    fn insert(&mut self, file: &str, object: ObjectRef, spec: ObjectSpec) {
        match self.files.get(&object).cloned() {
            None => {
                self.files.insert(object, file.to_owned());
                self.set.insert(spec);
            }
            Some(first) => self.problems.push(ObjectProblem {
                file: file.to_owned(),
                object: Some(object),
                kind: ObjectProblemKind::Duplicate { first },
            }),
        }
    }

    fn report_syntax(&mut self, file: &str, object: Option<ObjectRef>, message: &str) {
        self.problems.push(ObjectProblem {
            file: file.to_owned(),
            object,
            kind: ObjectProblemKind::Syntax {
                message: message.to_owned(),
            },
        });
    }
}

fn table_kind(table: &str) -> Option<ObjectKind> {
    match table {
        "batch" => Some(ObjectKind::Batch),
        "gang" => Some(ObjectKind::Gang),
        "market" => Some(ObjectKind::Market),
        "pool" => Some(ObjectKind::Pool),
        "service" => Some(ObjectKind::Service),
        "task" => Some(ObjectKind::Task),
        "team" => Some(ObjectKind::Team),
        _ => None,
    }
}

fn read_object(kind: ObjectKind, entry: Value) -> Result<ObjectSpec, toml::de::Error> {
    fn read<T: DeserializeOwned>(entry: Value) -> Result<T, toml::de::Error> {
        entry.try_into()
    }
    match kind {
        ObjectKind::Batch => read(entry).map(ObjectSpec::Batch),
        ObjectKind::Gang => read(entry).map(ObjectSpec::Gang),
        ObjectKind::Market => read(entry).map(ObjectSpec::Market),
        ObjectKind::Pool => read(entry).map(ObjectSpec::Pool),
        ObjectKind::Service => read(entry).map(ObjectSpec::Service),
        ObjectKind::Task => read(entry).map(ObjectSpec::Task),
        ObjectKind::Team => read(entry).map(ObjectSpec::Team),
    }
}
