//! The history of changes that watches read.

use base64::{Engine, prelude::BASE64_STANDARD};

use super::{
    messages::{KeyValue, RangeRequest},
    state::decode,
    watch_messages::ChangeItem,
};

/// One change of a key.
#[derive(Clone, Debug)]
struct LoggedChange {
    revision: u64,
    key: Vec<u8>,
    value: Option<Vec<u8>>,
}

/// All changes since the last compaction, in order.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: Vec<LoggedChange>,
    compacted: u64,
}

impl ChangeLog {
    /// Adds a change; no value stands for a deletion.
    pub fn note(&mut self, revision: u64, key: &[u8], value: Option<&Vec<u8>>) {
        self.changes.push(LoggedChange {
            revision,
            key: key.to_vec(),
            value: value.cloned(),
        });
    }

    /// Forgets all changes up to a revision.
    pub fn compact(&mut self, revision: u64) {
        self.changes.retain(|change| change.revision > revision);
        self.compacted = revision;
    }

    /// Returns the revision up to which changes were forgotten.
    #[must_use]
    pub const fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Returns the changes of some ranges from a revision on.
    #[must_use]
    pub fn since(&self, revision: u64, ranges: &[RangeRequest]) -> Vec<ChangeItem> {
        self.changes
            .iter()
            .filter(|change| change.revision >= revision)
            .filter(|change| ranges.iter().any(|range| contains(range, &change.key)))
            .map(LoggedChange::to_item)
            .collect()
    }
}

impl LoggedChange {
    fn to_item(&self) -> ChangeItem {
        let kind = match self.value {
            Some(_) => "PUT",
            None => "DELETE",
        };
        let value = self.value.as_deref().unwrap_or_default();
        ChangeItem {
            r#type: kind.to_owned(),
            kv: KeyValue {
                key: BASE64_STANDARD.encode(&self.key),
                value: BASE64_STANDARD.encode(value),
                mod_revision: self.revision.to_string(),
                lease: "0".to_owned(),
            },
        }
    }
}

fn contains(range: &RangeRequest, key: &[u8]) -> bool {
    let start = decode(&range.key);
    let end = decode(&range.range_end);
    if end.is_empty() {
        key == start
    } else {
        key >= start.as_slice() && key < end.as_slice()
    }
}
