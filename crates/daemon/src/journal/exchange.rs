//! The journal's calls to the store.

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

/// Deletes of one transaction; stores of this interface take 128 operations.
/// Keys beyond the limit are covered by the manifest, so replay ignores them,
/// and the next owner's first snapshot deletes them.
const DELETE_LIMIT: usize = 100;

/// Carries out an effect of the journal of `daemon`. An effect that the log
/// handles itself has no report.
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
        JournalEffect::Store(JournalAction::ReadBack(number, shard, at)) => {
            Some(read_back(store, number, &shard, at).await)
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

/// Reads a journal, again and again while the store is away: the shard cannot
/// be served before.
async fn read_journal<S: CoordinationClient>(
    store: &S,
    shard: &ShardName,
) -> Result<LoadedJournal, JournalError> {
    let mut backoff = StoreBackoff::default();
    let entries = loop {
        match store.read_prefix(&shard_prefix(shard)).await {
            Ok(entries) => break entries,
            Err(error) => log::warn!("reading the journal of shard {shard}: {error}"),
        }
        tokio::time::sleep(backoff.next(rand::random())).await;
    };
    load_entries(shard, entries)
}

/// Decodes all entries of a journal.
pub(super) fn load_entries(
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
        Ok(TxnOutcome::Conflict(_)) => find_fenced(store, daemon, number, &guards).await,
        Err(error) => {
            log::warn!("committing records: {error}");
            JournalReport::ResponseLost(number)
        }
    }
}

/// Reads which guards of a batch failed. Conflicts are rare, so the batch does
/// not carry this reading; it would be a fifth of a small request.
async fn find_fenced<S: CoordinationClient>(
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
            log::warn!("reading the owners after a conflict: {error}");
            JournalReport::ResponseLost(number)
        }
    }
}

fn batch_transaction(daemon: &DaemonId, batch: JournalBatch) -> StoreTxn {
    let mut transaction = StoreTxn::default();
    for segment in batch.segments {
        let (shard, at) = (segment.shard, segment.position);
        let guard = owner_condition(&shard, &owner(daemon, at.epoch));
        transaction.compares.push(guard);
        transaction.puts.push(StorePut {
            key: store_key(&shard, JournalKey::Segment(at)),
            value: segment.value,
        });
    }
    transaction
}

async fn read_back<S: CoordinationClient>(
    store: &S,
    number: BatchNumber,
    shard: &ShardName,
    at: SegmentPosition,
) -> JournalReport {
    let range = StoreRange::Key(store_key(shard, JournalKey::Segment(at)));
    match store.read_ranges(&[range]).await {
        Ok(reading) => {
            let value = reading.entries.into_iter().next().map(|entry| entry.value);
            JournalReport::ReadBack(number, value)
        }
        Err(error) => {
            log::warn!("reading back records: {error}");
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
        compares: vec![owner_condition(&shard, &owner(daemon, epoch))],
        puts: vec![StorePut {
            key: store_key(&shard, key),
            value,
        }],
        ..StoreTxn::default()
    };
    match store.commit(transaction).await {
        Ok(TxnOutcome::Committed) => JournalReport::PartWritten(shard, key),
        Ok(TxnOutcome::Conflict(_)) => JournalReport::Fenced(shard, epoch),
        Err(error) => lost_write(shard, &error),
    }
}

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
        compares: vec![owner_condition(shard, &owner(daemon, epoch)), compare],
        puts: vec![StorePut {
            key: key.clone(),
            value: value.to_vec(),
        }],
        deletes: delete_ranges(shard, deletes),
        reads_on_conflict: vec![key, owner_key(shard)],
        lease: None,
    }
}

/// Returns the ranges of superseded keys, which are in order: the segments of
/// each epoch are one range, as a manifest covers all up to one of them.
fn delete_ranges(shard: &ShardName, deletes: Vec<JournalKey>) -> Vec<StoreRange> {
    let mut epochs: BTreeMap<Epoch, (u64, u64)> = BTreeMap::new();
    let mut ranges = Vec::new();
    for key in deletes {
        match key {
            JournalKey::Segment(at) => {
                let span = epochs.entry(at.epoch).or_insert((at.sequence, at.sequence));
                span.1 = at.sequence;
            }
            key => ranges.push(StoreRange::Key(store_key(shard, key))),
        }
    }
    let segment = |epoch, sequence| {
        let at = SegmentPosition { epoch, sequence };
        store_key(shard, JournalKey::Segment(at))
    };
    let spans = epochs.into_iter();
    let spans = spans.map(|(epoch, (first, last))| {
        StoreRange::Span(segment(epoch, first), segment(epoch, last + 1))
    });
    spans.chain(ranges).take(DELETE_LIMIT).collect()
}

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
        Err(error) => lost_write(shard, &error),
    }
}

fn lost_write(shard: ShardName, error: &StoreError) -> JournalReport {
    log::warn!("writing a snapshot of shard {shard}: {error}");
    JournalReport::SnapshotWriteLost(shard)
}

fn owner(daemon: &DaemonId, epoch: Epoch) -> OwnerRecord {
    OwnerRecord {
        daemon: daemon.clone(),
        epoch,
    }
}

/// Tells whether the entries read after a conflict still name this owner.
fn is_owner(entries: &[StoreEntry], daemon: &DaemonId, shard: &ShardName, epoch: Epoch) -> bool {
    let expected = (shard.clone(), owner(daemon, epoch));
    entries
        .iter()
        .filter_map(decode_owner)
        .any(|found| found == expected)
}
