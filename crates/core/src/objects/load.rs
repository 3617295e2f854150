//! Reading objects from TOML texts.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;
use toml::{Table, Value};

use super::{
    check::check_except,
    messages::{ObjectKind, ObjectProblem, ObjectProblemKind, ObjectRef},
    state::{ObjectSet, ObjectSpec},
};

/// Reads texts into one set and collects all problems.
#[derive(Debug, Default)]
pub struct ObjectLoader {
    set: ObjectSet,
    files: BTreeMap<ObjectRef, String>,
    malformed: BTreeSet<ObjectRef>,
    problems: Vec<ObjectProblem>,
}

/// A checked set, or why there is none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectReport {
    /// The objects that could be read.
    pub set: ObjectSet,
    /// Everything that is wrong; empty or only warnings for a valid set.
    pub problems: Vec<ObjectProblem>,
}

impl ObjectReport {
    /// Tells whether the set can be published.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.problems
            .iter()
            .all(|problem| problem.kind.is_warning())
    }
}

impl ObjectLoader {
    /// Reads the text of one file.
    pub fn add(&mut self, file: &str, text: &str) {
        match text.parse::<Table>() {
            Ok(tables) => {
                for (name, value) in tables {
                    self.add_table(file, &name, value);
                }
            }
            Err(error) => self.note_syntax(file, None, error.to_string().trim_end()),
        }
    }

    /// Checks everything that was read as one set.
    #[must_use]
    pub fn finish(mut self) -> ObjectReport {
        for mut problem in check_except(&self.set, &self.malformed) {
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
            return self.note_syntax(file, None, &message);
        };
        let Value::Array(entries) = value else {
            let message = format!("`{table}` is not written as [[{table}]]");
            return self.note_syntax(file, None, &message);
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
                self.note_syntax(file, Some(object.clone()), &message);
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

    fn note_syntax(&mut self, file: &str, object: Option<ObjectRef>, message: &str) {
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
