//! The takeover of a service that has no owner.

use std::{collections::BTreeMap, sync::Arc};

use auburnsaddle_core::{Epoch, PipelineId, PipelineProgress, ServiceId, WorkerListing};
use auburnsaddle_platform::{
    KeyLease, StoreTransaction, TransactionOutcome, WORKER_PREFIX, decode_registration,
    parse_worker_key,
};

use super::{
    log::{ProgressLog, ProgressRecord, RecordNumber},
    records::{CellKey, OwnerEntry, SequenceEntry, StoredJob, decode_record, encode_record},
};
use crate::session::CellStore;

/// Tries of a transaction whose outcome is not known.
const TRANSACTION_TRIES: u32 = 3;

/// Tries to read the state of an acquired service.
const LOAD_TRIES: u32 = 5;

/// A job of a loaded service.
#[derive(Clone, Debug)]
pub(crate) struct LoadedJob {
    pub(crate) id: PipelineId,
    pub(crate) spec: Arc<StoredJob>,
    pub(crate) progress: Option<PipelineProgress>,
    pub(crate) is_cancelled: bool,
}

/// All that the store holds for a service.
#[derive(Clone, Debug)]
pub(crate) struct LoadedShard {
    pub(crate) service: ServiceId,
    pub(crate) epoch: Epoch,
    /// Number of the former owner's last commit.
    pub(crate) commit: RecordNumber,
    /// Revision of the sequence.
    pub(crate) revision: u64,
    pub(crate) log: ProgressLog,
    pub(crate) jobs: Vec<LoadedJob>,
    pub(crate) workers: Vec<WorkerListing>,
    /// Revisions from which changes of jobs and workers are watched.
    pub(crate) jobs_revision: u64,
    pub(crate) workers_revision: u64,
}

/// The outcome of a takeover.
#[derive(Clone, Debug)]
pub(crate) enum AcquireOutcome {
    /// This daemon owns the service.
    Acquired(Box<LoadedShard>),
    /// Another daemon was first.
    Taken,
    /// The store did not answer, or the lease has ended.
    Failed,
}

/// Becomes the owner of a service and reads its state.
///
/// `owner_revision` is the revision of the owner's key: 0 if there is none, or
/// that of an entry which an earlier life of this daemon left behind.
pub(crate) async fn acquire_shard(
    store: &CellStore,
    service: ServiceId,
    daemon: &str,
    lease: KeyLease,
    owner_revision: u64,
) -> AcquireOutcome {
    let sequence_key = CellKey::Sequence(service.clone()).path();
    let Ok(item) = store.read(&sequence_key).await else {
        return AcquireOutcome::Failed;
    };
    let (revision, entry) = match &item {
        Some(item) => (
            item.revision,
            decode_record::<SequenceEntry>(&item.key, &item.value).unwrap_or_default(),
        ),
        None => (0, SequenceEntry::default()),
    };
    let epoch = entry.epoch + 1;
    let owner_key = CellKey::Owner(service.clone()).path();
    let owner = OwnerEntry {
        daemon: daemon.to_owned(),
    };
    let next = SequenceEntry {
        epoch,
        commit: entry.commit,
    };
    let transaction = StoreTransaction {
        expected: vec![
            (owner_key.clone(), owner_revision),
            (sequence_key.clone(), revision),
        ],
        puts: vec![
            (owner_key, encode_record(&owner), lease.id),
            (sequence_key.clone(), encode_record(&next), 0),
        ],
        removals: Vec::new(),
    };
    let Some(revision) = commit_takeover(store, &transaction, &sequence_key, next, &owner).await
    else {
        return AcquireOutcome::Taken;
    };
    for _ in 0..LOAD_TRIES {
        if let Some(mut loaded) = load_shard(store, &service).await {
            loaded.epoch = epoch;
            loaded.commit = next.commit;
            loaded.revision = revision;
            return AcquireOutcome::Acquired(Box::new(loaded));
        }
    }
    AcquireOutcome::Failed
}

/// Returns the revision of the takeover, or nothing if it did not happen.
async fn commit_takeover(
    store: &CellStore,
    transaction: &StoreTransaction,
    sequence_key: &str,
    next: SequenceEntry,
    owner: &OwnerEntry,
) -> Option<u64> {
    for _ in 0..TRANSACTION_TRIES {
        match store.commit(transaction).await {
            TransactionOutcome::Done(revision) => return Some(revision),
            // An earlier try may have succeeded: then the keys hold its values.
            TransactionOutcome::Conflict(items) => {
                let sequence = items.iter().find(|item| item.key == sequence_key)?;
                let stored: SequenceEntry = decode_record(sequence_key, &sequence.value)?;
                let holder = items.iter().find(|item| item.key != sequence_key)?;
                let holder: OwnerEntry = decode_record(&holder.key, &holder.value)?;
                let is_ours = stored == next && holder == *owner;
                return is_ours.then_some(sequence.revision);
            }
            TransactionOutcome::Unknown => {}
            TransactionOutcome::Refused | TransactionOutcome::NoLease => return None,
        }
    }
    None
}

async fn load_shard(store: &CellStore, service: &ServiceId) -> Option<LoadedShard> {
    let jobs_prefix = CellKey::job_prefix(service);
    let record_prefix = CellKey::record_prefix(service);
    let (jobs, records, workers) = tokio::join!(
        store.read_range(&jobs_prefix),
        store.read_range(&record_prefix),
        store.read_range(WORKER_PREFIX),
    );
    let ((jobs, jobs_revision), (records, _), (workers, workers_revision)) =
        (jobs.ok()?, records.ok()?, workers.ok()?);
    let mut loaded: BTreeMap<PipelineId, LoadedJob> = BTreeMap::new();
    let mut cancelled = Vec::new();
    for item in &jobs {
        match CellKey::parse(&item.key) {
            Some(CellKey::Job(_, id)) => {
                if let Some(spec) = decode_record::<StoredJob>(&item.key, &item.value) {
                    let job = LoadedJob {
                        id,
                        spec: Arc::new(spec),
                        progress: None,
                        is_cancelled: false,
                    };
                    loaded.insert(id, job);
                }
            }
            Some(CellKey::Cancellation(_, id)) => cancelled.push(id),
            _ => log::warn!(key = item.key.as_str(); "ignored an unknown key"),
        }
    }
    for id in cancelled {
        if let Some(job) = loaded.get_mut(&id) {
            job.is_cancelled = true;
        }
    }
    let records = records.iter().filter_map(|item| {
        let Some(CellKey::Record(_, number)) = CellKey::parse(&item.key) else {
            return None;
        };
        let record: ProgressRecord = decode_record(&item.key, &item.value)?;
        Some((number, record))
    });
    let (log, mut progress) = ProgressLog::replay(records);
    for (id, job) in &mut loaded {
        job.progress = progress.remove(id);
    }
    let workers = workers.iter().filter_map(|item| {
        let worker = parse_worker_key(&item.key)?;
        // Entries of other writers are ordinary; the watch counts them.
        let entry = decode_registration(worker, &item.value).ok()?;
        (entry.service == *service).then_some(entry.listing)
    });
    Some(LoadedShard {
        service: service.clone(),
        epoch: 0,
        commit: 0,
        revision: 0,
        log,
        workers: workers.collect(),
        jobs: loaded.into_values().collect(),
        jobs_revision,
        workers_revision,
    })
}
