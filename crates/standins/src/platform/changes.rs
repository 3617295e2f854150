//! The log of key changes from which watches are served.

use base64::{Engine, prelude::BASE64_STANDARD};

use super::{
    messages::{KeyValue, RangeRequest},
    state::decode_base64,
    watch_messages::ChangeItem,
};

/// One change of a key.
#[derive(Clone, Debug)]
struct LoggedChange {
    revision: u64,
    key: Vec<u8>,
    value: Option<Vec<u8>>,
}

/// All changes since the last compaction, in revision order.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: Vec<LoggedChange>,
    compacted_revision: u64,
}

impl ChangeLog {
    /// Appends a change; `None` as the value records a deletion.
    pub fn append(&mut self, revision: u64, key: &[u8], value: Option<&Vec<u8>>) {
        self.changes.push(LoggedChange {
            revision,
            key: key.to_vec(),
            value: value.cloned(),
        });
    }

    /// Discards all changes up to and including a revision.
    pub fn compact(&mut self, revision: u64) {
        self.changes.retain(|change| change.revision > revision);
        self.compacted_revision = revision;
    }

    /// Returns the highest discarded revision, or 0 before the first compaction.
    #[must_use]
    pub const fn compacted_revision(&self) -> u64 {
        self.compacted_revision
    }

    /// Returns the changes within the given ranges, starting with a revision.
    #[must_use]
    pub fn events_since(&self, revision: u64, ranges: &[RangeRequest]) -> Vec<ChangeItem> {
        self.changes
            .iter()
            .filter(|change| change.revision >= revision)
            .filter(|change| {
                ranges
                    .iter()
                    .any(|range| range_contains(range, &change.key))
            })
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

fn range_contains(range: &RangeRequest, key: &[u8]) -> bool {
    let start = decode_base64(&range.key);
    let end = decode_base64(&range.range_end);
    if end.is_empty() {
        key == start
    } else {
        key >= start.as_slice() && key < end.as_slice()
    }
}
