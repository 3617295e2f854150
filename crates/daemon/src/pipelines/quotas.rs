//! Reads and writes of the records of what the services may have running of each team.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{PipelineEvent, QuotaOutcome, QuotaRecord, StoredQuota, TeamId};
use auburnsaddle_platform::{MANIFEST_KEY, StoreItem, StoreTransaction, TransactionOutcome};

use super::{
    records::{CellKey, decode_value, encode_value},
    shard::OwnedShard,
};

/// Decodes records. Those that cannot be decoded are logged and left out.
pub(crate) fn decode_quotas(items: &[StoreItem]) -> BTreeMap<TeamId, StoredQuota> {
    let records = items.iter().filter_map(|item| {
        let Some(CellKey::Quota(team)) = CellKey::parse(&item.key) else {
            return None;
        };
        let record: QuotaRecord = decode_value(&item.key, &item.value)?;
        let revision = item.revision;
        Some((team, StoredQuota { record, revision }))
    });
    records.collect()
}

impl OwnedShard {
    /// Returns the transaction of the next change of allotments, unless one has no outcome yet or
    /// none is due. `manifest_revision` is that of the manifest with the caps in force.
    ///
    /// A transaction of a replaced owner fails, and so does a raise if there is a newer manifest,
    /// which may have lower caps.
    pub(crate) fn next_quota_write(
        &mut self,
        manifest_revision: u64,
        now: Duration,
    ) -> Option<StoreTransaction> {
        let change = self.state.next_quota_change(now)?;
        let owner_key = CellKey::Owner(self.service.clone()).path();
        let mut transaction = StoreTransaction {
            expected: vec![(owner_key, self.owner_revision())],
            ..StoreTransaction::default()
        };
        if change.is_raise {
            let condition = (MANIFEST_KEY.to_owned(), manifest_revision);
            transaction.expected.push(condition);
        }
        for write in change.writes {
            let key = CellKey::Quota(write.team).path();
            transaction
                .expected
                .push((key.clone(), write.expected_revision));
            transaction.puts.push((key, encode_value(&write.record), 0));
        }
        Some(transaction)
    }
}

/// Returns the event of the outcome of a change of allotments.
pub(crate) fn quota_event(outcome: &TransactionOutcome) -> PipelineEvent {
    PipelineEvent::QuotaWritten(match outcome {
        TransactionOutcome::Done(revision) => QuotaOutcome::Written(*revision),
        TransactionOutcome::Conflict(items) => QuotaOutcome::Conflict(decode_quotas(items)),
        TransactionOutcome::NoLease | TransactionOutcome::Refused | TransactionOutcome::Unknown => {
            QuotaOutcome::Unknown
        }
    })
}
