//! A view of some keys that is kept current by readings and changes.

use std::collections::BTreeMap;

use super::messages::{StoreChange, StoreEntry, StoreReading, StoreRevision};

/// The entries of some ranges as last known.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreView {
    revision: StoreRevision,
    entries: BTreeMap<String, Vec<u8>>,
}

impl StoreView {
    /// Returns the revision up to which the view is current.
    pub(crate) const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Takes over a whole reading; one that is older than the view is ignored,
    /// unless the store itself has lost its history and `forced` is set.
    pub(crate) fn replace(&mut self, reading: StoreReading, forced: bool) {
        if reading.revision < self.revision && !forced {
            return;
        }
        self.revision = reading.revision;
        let entries = reading.entries.into_iter();
        self.entries = entries.map(|entry| (entry.key, entry.value)).collect();
    }

    /// Applies changes and tells whether any of them was new.
    pub(crate) fn apply(&mut self, changes: Vec<StoreChange>) -> bool {
        let before = self.revision;
        let mut any_new = false;
        for change in changes {
            // A whole reading may have overtaken the watch.
            if change.revision <= before {
                continue;
            }
            any_new = true;
            self.revision = change.revision;
            match change.value {
                Some(value) => self.entries.insert(change.key, value),
                None => self.entries.remove(&change.key),
            };
        }
        any_new
    }

    /// Returns all entries in key order.
    pub(crate) fn entries(&self) -> Vec<StoreEntry> {
        self.entries
            .iter()
            .map(|(key, value)| StoreEntry {
                key: key.clone(),
                value: value.clone(),
            })
            .collect()
    }
}
