//! Local cache of key ranges, updated by snapshots and watch events.

use std::collections::BTreeMap;

use super::messages::{StoreChange, StoreEntry, StoreRevision, StoreSnapshot};

/// The last known entries of a set of key ranges.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreView {
    revision: StoreRevision,
    entries: BTreeMap<String, Vec<u8>>,
}

impl StoreView {
    /// Returns the revision up to which all changes are applied; 0 before the
    /// first snapshot.
    pub(crate) const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Replaces all entries by a snapshot. A snapshot older than the view is
    /// ignored unless `force` is set, which is for a store that has lost its
    /// history.
    pub(crate) fn replace(&mut self, snapshot: StoreSnapshot, force: bool) {
        if snapshot.revision < self.revision && !force {
            return;
        }
        self.revision = snapshot.revision;
        let entries = snapshot.entries.into_iter();
        self.entries = entries.map(|entry| (entry.key, entry.value)).collect();
    }

    /// Applies watch events. Returns `true` if any was newer than the view.
    pub(crate) fn apply(&mut self, changes: Vec<StoreChange>) -> bool {
        let previous_revision = self.revision;
        let mut has_new = false;
        for change in changes {
            // A snapshot may already contain events that the watch delivers
            // later.
            if change.revision <= previous_revision {
                continue;
            }
            has_new = true;
            self.revision = change.revision;
            match change.value {
                Some(value) => self.entries.insert(change.key, value),
                None => self.entries.remove(&change.key),
            };
        }
        has_new
    }

    /// Returns copies of all entries in key order.
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
