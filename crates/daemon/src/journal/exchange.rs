//! Store calls of the journal.

use std::collections::{BTreeMap, BTreeSet};

use auburnsaddle_core::{
    BatchNumber, DaemonId, Epoch, JournalAction, JournalBatch, JournalError, JournalKey,
    OwnerRecord, SegmentPosition, ShardName, replay_journal,
};

use super::{
    codec::{BincodeCodec, parse_store_key, shard_prefix, store_key},
    messages::{JournalEffect, JournalReport, LoadedJournal},
};
use crate::{
    ownership::{decode_owner, owner_condition, owner_key},
    store::{
        CoordinationClient, StoreBackoff, StoreCompare, StoreEntry, StoreError, StorePut,
        StoreRange, StoreTxn, TxnOutcome,
    },
};

/// Maximum number of deletes in one transaction, below the store's limit of 128
/// operations. Superseded keys beyond it remain: replay ignores them, as the
/// manifest covers them, and the first snapshot of the next owner deletes them.
const MAX_DELETES_PER_TRANSACTION: usize = 100;

/// Runs an effect of the journal of `daemon` and returns its report, or `None`
/// for an action that needs no store call.
pub(crate) async fn run_effect<S: CoordinationClient>(
    store: &S,
    daemon: &DaemonId,
    effect: JournalEffect,
) -> Option<JournalReport> {
    match effect {
        JournalEffect::Read(shard, epoch) => {
            let loaded = read_journal(store, &shard).await;
            Some(JournalReport::Loaded(shard, epoch, loaded))
        }
        JournalEffect::Store(JournalAction::Commit(batch)) => {
            Some(commit_batch(store, daemon, batch).await)
        }
        JournalEffect::Store(JournalAction::ReadBack(number, shard, position)) => {
            Some(read_back_segment(store, number, &shard, position).await)
        }
        JournalEffect::Store(JournalAction::WritePart {
            shard,
            epoch,
            key,
            value,
        }) => Some(write_part(store, daemon, shard, epoch, key, value).await),
        JournalEffect::Store(JournalAction::WriteManifest {
            shard,
            epoch,
            expected,
            value,
            deletes,
        }) => {
            let transaction =
                manifest_transaction(daemon, &shard, epoch, expected, &value, deletes);
            Some(write_manifest(store, transaction, daemon, shard, epoch, value).await)
        }
        JournalEffect::Store(_) => None,
    }
}

/// Reads and decodes a journal. A failed read is retried without limit, since
/// the shard cannot be served before its journal is replayed.
async fn read_journal<S: CoordinationClient>(
    store: &S,
    shard: &ShardName,
) -> Result<LoadedJournal, JournalError> {
    let mut backoff = StoreBackoff::default();
    let entries = loop {
        match store.read_prefix(&shard_prefix(shard)).await {
            Ok(entries) => break entries,
            Err(error) => log::warn!("cannot read the journal of shard {shard}: {error}"),
        }
        tokio::time::sleep(backoff.next(rand::random())).await;
    };
    decode_journal(shard, entries)
}

/// Decodes and replays all entries of a journal.
pub(super) fn decode_journal(
    shard: &ShardName,
    entries: Vec<StoreEntry>,
) -> Result<LoadedJournal, JournalError> {
    let mut values = BTreeMap::new();
    for entry in entries {
        let key = parse_store_key(shard, &entry.key).ok_or_else(|| JournalError::Malformed {
            message: format!("{} is no journal key", entry.key),
        })?;
        values.insert(key, entry.value);
    }
    let records = replay_journal(&BincodeCodec, shard, &values)?.records;
    let manifest = values.remove(&JournalKey::Manifest);
    let keys = values
        .into_iter()
        .map(|(key, value)| (key, value.len()))
        .collect();
    Ok(LoadedJournal {
        manifest,
        keys,
        records,
    })
}

/// Commits a batch; on a conflict, reads which of its shards have other owners.
async fn commit_batch<S: CoordinationClient>(
    store: &S,
    daemon: &DaemonId,
    batch: JournalBatch,
) -> JournalReport {
    let number = batch.number;
    let guards: Vec<_> = batch
        .segments
        .iter()
        .map(|segment| (segment.shard.clone(), segment.position.epoch))
        .collect();
    match store.commit(batch_transaction(daemon, batch)).await {
        Ok(TxnOutcome::Committed) => JournalReport::Committed(number),
        Ok(TxnOutcome::Conflict(_)) => find_fenced_shards(store, daemon, number, &guards).await,
        Err(error) => {
            log::warn!("cannot confirm the commit of records: {error}");
            JournalReport::ResponseLost(number)
        }
    }
}

/// Reads the owner records of a batch's shards and reports which guards failed.
/// Conflicts are rare, so the batch itself does not request this read: it would
/// make up a fifth of a small request.
async fn find_fenced_shards<S: CoordinationClient>(
    store: &S,
    daemon: &DaemonId,
    number: BatchNumber,
    guards: &[(ShardName, Epoch)],
) -> JournalReport {
    let owners: Vec<_> = guards
        .iter()
        .map(|(shard, _)| StoreRange::Key(owner_key(shard)))
        .collect();
    match store.read_ranges(&owners).await {
        Ok(reading) => {
            let lost = guards.iter().filter(|(shard, epoch)| {
                let entries = &reading.entries;
                !is_owner(entries, daemon, shard, *epoch)
            });
            let fenced: BTreeSet<_> = lost.map(|(shard, _)| shard.clone()).collect();
            JournalReport::GuardFailed(number, fenced)
        }
        Err(error) => {
            log::warn!("cannot read the owners after a conflict: {error}");
            JournalReport::ResponseLost(number)
        }
    }
}

/// Returns the transaction that writes the segments of a batch, guarded by the owner
/// records of their shards.
fn batch_transaction(daemon: &DaemonId, batch: JournalBatch) -> StoreTxn {
    let mut transaction = StoreTxn::default();
    for segment in batch.segments {
        let (shard, position) = (segment.shard, segment.position);
        let guard = owner_condition(&shard, &owner_record(daemon, position.epoch));
        transaction.compares.push(guard);
        transaction.puts.push(StorePut {
            key: store_key(&shard, JournalKey::Segment(position)),
            value: segment.value,
        });
    }
    transaction
}

async fn read_back_segment<S: CoordinationClient>(
    store: &S,
    number: BatchNumber,
    shard: &ShardName,
    position: SegmentPosition,
) -> JournalReport {
    let range = StoreRange::Key(store_key(shard, JournalKey::Segment(position)));
    match store.read_ranges(&[range]).await {
        Ok(reading) => {
            let value = reading.entries.into_iter().next().map(|entry| entry.value);
            JournalReport::ReadBack(number, value)
        }
        Err(error) => {
            log::warn!("cannot read back a segment: {error}");
            JournalReport::ResponseLost(number)
        }
    }
}

async fn write_part<S: CoordinationClient>(
    store: &S,
    daemon: &DaemonId,
    shard: ShardName,
    epoch: Epoch,
    key: JournalKey,
    value: Vec<u8>,
) -> JournalReport {
    let transaction = StoreTxn {
        compares: vec![owner_condition(&shard, &owner_record(daemon, epoch))],
        puts: vec![StorePut {
            key: store_key(&shard, key),
            value,
        }],
        ..StoreTxn::default()
    };
    match store.commit(transaction).await {
        Ok(TxnOutcome::Committed) => JournalReport::PartWritten(shard, key),
        Ok(TxnOutcome::Conflict(_)) => JournalReport::Fenced(shard, epoch),
        Err(error) => report_lost_write(shard, &error),
    }
}

/// Returns the transaction that replaces the manifest and deletes superseded keys. It
/// requires the expected manifest; `None` requires that there is none.
fn manifest_transaction(
    daemon: &DaemonId,
    shard: &ShardName,
    epoch: Epoch,
    expected: Option<Vec<u8>>,
    value: &[u8],
    deletes: Vec<JournalKey>,
) -> StoreTxn {
    let key = store_key(shard, JournalKey::Manifest);
    let compare = match expected {
        None => StoreCompare::Absent(key.clone()),
        Some(expected) => StoreCompare::ValueEquals(key.clone(), expected),
    };
    StoreTxn {
        compares: vec![
            owner_condition(shard, &owner_record(daemon, epoch)),
            compare,
        ],
        puts: vec![StorePut {
            key: key.clone(),
            value: value.to_vec(),
        }],
        deletes: superseded_ranges(shard, deletes),
        reads_on_conflict: vec![key, owner_key(shard)],
        lease: None,
    }
}

/// Returns the ranges to delete for superseded keys, which must be in order. The
/// segments of each epoch form one range, as a manifest covers all segments up
/// to a position. Ranges beyond [`MAX_DELETES_PER_TRANSACTION`] are left out.
fn superseded_ranges(shard: &ShardName, deletes: Vec<JournalKey>) -> Vec<StoreRange> {
    let mut epochs: BTreeMap<Epoch, (u64, u64)> = BTreeMap::new();
    let mut ranges = Vec::new();
    for key in deletes {
        match key {
            JournalKey::Segment(position) => {
                let span = epochs
                    .entry(position.epoch)
                    .or_insert((position.sequence, position.sequence));
                span.1 = position.sequence;
            }
            key => ranges.push(StoreRange::Key(store_key(shard, key))),
        }
    }
    let segment_key = |epoch, sequence| {
        let position = SegmentPosition { epoch, sequence };
        store_key(shard, JournalKey::Segment(position))
    };
    let spans = epochs.into_iter();
    let spans = spans.map(|(epoch, (first, last))| {
        StoreRange::Span(segment_key(epoch, first), segment_key(epoch, last + 1))
    });
    spans
        .chain(ranges)
        .take(MAX_DELETES_PER_TRANSACTION)
        .collect()
}

/// Runs a manifest transaction. A conflict whose entries still contain this owner
/// reports the manifest that is in the store.
async fn write_manifest<S: CoordinationClient>(
    store: &S,
    transaction: StoreTxn,
    daemon: &DaemonId,
    shard: ShardName,
    epoch: Epoch,
    value: Vec<u8>,
) -> JournalReport {
    match store.commit(transaction).await {
        Ok(TxnOutcome::Committed) => JournalReport::ManifestAnswered(shard, epoch, Some(value)),
        Ok(TxnOutcome::Conflict(entries)) if !is_owner(&entries, daemon, &shard, epoch) => {
            JournalReport::Fenced(shard, epoch)
        }
        Ok(TxnOutcome::Conflict(entries)) => {
            let key = store_key(&shard, JournalKey::Manifest);
            let current = entries.into_iter().find(|entry| entry.key == key);
            JournalReport::ManifestAnswered(shard, epoch, current.map(|entry| entry.value))
        }
        Err(error) => report_lost_write(shard, &error),
    }
}

/// Logs the failed write and returns the report that its outcome is unknown.
fn report_lost_write(shard: ShardName, error: &StoreError) -> JournalReport {
    log::warn!("cannot confirm the write of a snapshot of shard {shard}: {error}");
    JournalReport::SnapshotWriteLost(shard)
}

fn owner_record(daemon: &DaemonId, epoch: Epoch) -> OwnerRecord {
    OwnerRecord {
        daemon: daemon.clone(),
        epoch,
    }
}

/// Returns whether entries read after a conflict contain the owner record of
/// `daemon` and `epoch`.
fn is_owner(entries: &[StoreEntry], daemon: &DaemonId, shard: &ShardName, epoch: Epoch) -> bool {
    let expected = (shard.clone(), owner_record(daemon, epoch));
    entries
        .iter()
        .filter_map(decode_owner)
        .any(|found| found == expected)
}
