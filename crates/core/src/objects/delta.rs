//! Deltas between two sets of objects.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{
    messages::ObjectRef,
    state::{ObjectSet, ObjectSpec},
};

/// How an object differs between two sets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// The object is only in the newer set.
    Added,
    /// The object is in both sets, with different fields.
    Changed,
    /// The object is only in the older set.
    Removed,
}

/// An object that differs between two sets.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ObjectChange {
    /// The object.
    pub object: ObjectRef,
    /// How the object differs.
    pub change: ChangeKind,
}

impl fmt::Display for ObjectChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = match self.change {
            ChangeKind::Added => "added",
            ChangeKind::Changed => "changed",
            ChangeKind::Removed => "removed",
        };
        write!(formatter, "{change} {}", self.object)
    }
}

/// The difference between two sets of objects: applied to the older, it gives the
/// newer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectDelta {
    /// Added objects, and changed objects with their new fields.
    pub puts: Vec<ObjectSpec>,
    /// Removed objects.
    pub removals: Vec<ObjectRef>,
}

impl ObjectDelta {
    /// Returns the delta from `older` to `newer`.
    #[must_use]
    pub fn between(older: &ObjectSet, newer: &ObjectSet) -> Self {
        let before = older.objects();
        let after = newer.objects();
        let removals = before.keys().filter(|object| !after.contains_key(object));
        Self {
            removals: removals.cloned().collect(),
            puts: after
                .into_iter()
                .filter(|(object, spec)| before.get(object) != Some(spec))
                .map(|(_, spec)| spec)
                .collect(),
        }
    }

    /// Applies the delta to `older` and returns the resulting set.
    #[must_use]
    pub fn apply(&self, older: &ObjectSet) -> ObjectSet {
        let mut set = older.clone();
        for object in &self.removals {
            set.remove(object);
        }
        for object in &self.puts {
            set.insert(object.clone());
        }
        set
    }

    /// Returns the changes relative to `older`, sorted by kind and name.
    #[must_use]
    pub fn changes(&self, older: &ObjectSet) -> Vec<ObjectChange> {
        let removed = self.removals.iter().cloned().map(|object| ObjectChange {
            object,
            change: ChangeKind::Removed,
        });
        let put = self.puts.iter().map(ObjectSpec::reference);
        let put = put.map(|object| ObjectChange {
            change: if older.contains(&object) {
                ChangeKind::Changed
            } else {
                ChangeKind::Added
            },
            object,
        });
        let mut changes: Vec<_> = removed.chain(put).collect();
        changes.sort();
        changes
    }

    /// Returns the number of objects that differ.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.puts.len() + self.removals.len()
    }

    /// Returns whether the two sets are equal.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.removals.is_empty()
    }
}
