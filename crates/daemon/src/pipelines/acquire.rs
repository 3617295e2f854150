//! Takeover of a service that has no owner.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use auburnsaddle_core::{Epoch, PipelineId, PipelineProgress, ServiceId, WorkerListing};
use auburnsaddle_platform::{
    KeyLease, StoreItem, StoreTransaction, TransactionOutcome, WORKER_PREFIX, decode_registration,
    parse_worker_key,
};

use super::{
    log::{ProgressLog, ProgressRecord, RecordNumber},
    records::{
        CellKey, OwnerEntry, SequenceEntry, StoredJob, decode_team_value, decode_value,
        encode_value,
    },
    sessions::{OwnerSession, PredecessorList, decode_witnesses},
};
use crate::{
    session::CellStore,
    witness::{WitnessEntry, WitnessList},
};

/// Attempts to send the takeover transaction while its outcome is unknown.
const TRANSACTION_ATTEMPTS: u32 = 3;

/// Attempts to read the state of a service after its takeover.
const LOAD_ATTEMPTS: u32 = 5;

/// A job of an acquired service, as read from the store.
#[derive(Clone, Debug)]
pub(crate) struct LoadedJob {
    pub(crate) id: PipelineId,
    /// Revision at which its key was created.
    pub(crate) revision: u64,
    pub(crate) spec: Arc<StoredJob>,
    pub(crate) progress: Option<PipelineProgress>,
    pub(crate) is_cancelled: bool,
}

/// The state of an acquired service, as read from the store.
#[derive(Clone, Debug)]
pub(crate) struct LoadedShard {
    pub(crate) service: ServiceId,
    pub(crate) epoch: Epoch,
    /// Number of the previous owner's last commit.
    pub(crate) last_commit: RecordNumber,
    /// Revision of the takeover, which wrote the keys of the owner and of the sequence.
    pub(crate) revision: u64,
    pub(crate) log: ProgressLog,
    pub(crate) jobs: Vec<LoadedJob>,
    pub(crate) workers: Vec<WorkerListing>,
    /// Revision after which changes of jobs are watched.
    pub(crate) jobs_revision: u64,
    /// Revision after which changes of workers are watched.
    pub(crate) workers_revision: u64,
    /// The ownership that the takeover began.
    pub(crate) session: OwnerSession,
    pub(crate) predecessors: PredecessorList,
    /// The witnesses of this ownership, as the takeover has recorded them.
    pub(crate) witnesses: WitnessList,
}

/// The outcome of a takeover.
#[derive(Clone, Debug)]
pub(crate) enum AcquireOutcome {
    /// This daemon owns the service.
    Acquired(Box<LoadedShard>),
    /// The takeover was not committed: another daemon was first, the lease has expired,
    /// or the store did not answer.
    Taken,
    /// The store did not answer a read.
    Failed,
}

/// Makes this daemon the owner of a service and reads the state of the service.
///
/// `owner_revision` is the expected revision of the owner's key: 0 if the key does
/// not exist, or the revision that an earlier process of this daemon wrote. `witnesses` are
/// those of the new ownership.
pub(crate) async fn acquire_shard(
    store: &CellStore,
    service: ServiceId,
    daemon: &str,
    lease: KeyLease,
    owner_revision: u64,
    witnesses: Vec<WitnessEntry>,
) -> AcquireOutcome {
    let sequence_key = CellKey::Sequence(service.clone()).path();
    let sessions_key = CellKey::Sessions(service.clone()).path();
    let witnesses_key = CellKey::Witnesses(service.clone()).path();
    // The other keys are written only together with the sequence, which is read first, so the
    // condition on its revision shows that they have not changed since they were read.
    let (Ok(item), Ok(sessions), Ok(recorded)) = (
        store.read(&sequence_key).await,
        store.read(&sessions_key).await,
        store.read(&witnesses_key).await,
    ) else {
        return AcquireOutcome::Failed;
    };
    let (revision, sequence) = match &item {
        Some(item) => (
            item.revision,
            decode_value::<SequenceEntry>(&item.key, &item.value).unwrap_or_default(),
        ),
        None => (0, SequenceEntry::default()),
    };
    let epoch = sequence.epoch + 1;
    let predecessors =
        PredecessorList::read(sessions.as_ref(), recorded.as_ref(), sequence.epoch, daemon);
    let witnesses = WitnessList {
        epoch,
        entries: witnesses,
        is_alone: false,
    };
    let session = OwnerSession {
        daemon: daemon.to_owned(),
        epoch,
        revision: 0,
    };
    let owner_key = CellKey::Owner(service.clone()).path();
    let owner = OwnerEntry {
        daemon: daemon.to_owned(),
    };
    let next = SequenceEntry {
        epoch,
        commit: sequence.commit,
    };
    let transaction = StoreTransaction {
        expected: vec![
            (owner_key.clone(), owner_revision),
            (sequence_key.clone(), revision),
        ],
        puts: vec![
            (owner_key, encode_value(&owner), lease.id),
            (sequence_key.clone(), encode_value(&next), 0),
            (
                sessions_key,
                encode_value(&predecessors.followed_by(&session)),
                0,
            ),
            (
                witnesses_key,
                encode_value(&predecessors.witnesses_followed_by(&witnesses)),
                0,
            ),
        ],
        removals: Vec::new(),
    };
    let Some(revision) = commit_takeover(store, &transaction, &sequence_key, next, &owner).await
    else {
        return AcquireOutcome::Taken;
    };
    // An earlier takeover by this daemon, carried out late, may have recorded other witnesses.
    let witnesses_key = CellKey::Witnesses(service.clone()).path();
    let Ok(recorded) = store.read(&witnesses_key).await else {
        return AcquireOutcome::Failed;
    };
    let recorded = recorded.and_then(|item| decode_witnesses(&item));
    let lists = recorded.unwrap_or_default().lists;
    let witnesses = lists.into_iter().find(|list| list.epoch == epoch);
    for _ in 0..LOAD_ATTEMPTS {
        if let Some(mut loaded) = load_shard(store, &service).await {
            loaded.epoch = epoch;
            loaded.last_commit = next.commit;
            loaded.revision = revision;
            loaded.session = session;
            loaded.predecessors = predecessors;
            loaded.witnesses = witnesses.unwrap_or(WitnessList {
                epoch,
                ..WitnessList::default()
            });
            return AcquireOutcome::Acquired(Box::new(loaded));
        }
    }
    AcquireOutcome::Failed
}

/// Commits the takeover. Returns its revision, or `None` if it failed or its outcome
/// stayed unknown.
async fn commit_takeover(
    store: &CellStore,
    transaction: &StoreTransaction,
    sequence_key: &str,
    next: SequenceEntry,
    owner: &OwnerEntry,
) -> Option<u64> {
    for _ in 0..TRANSACTION_ATTEMPTS {
        match store.commit(transaction).await {
            TransactionOutcome::Done(revision) => return Some(revision),
            // If an earlier attempt succeeded, the keys hold the values of this transaction.
            TransactionOutcome::Conflict(items) => {
                let sequence_item = items.iter().find(|item| item.key == sequence_key)?;
                let stored_sequence: SequenceEntry =
                    decode_value(sequence_key, &sequence_item.value)?;
                let owner_item = items.iter().find(|item| item.key != sequence_key)?;
                let stored_owner: OwnerEntry = decode_value(&owner_item.key, &owner_item.value)?;
                let is_committed = stored_sequence == next && stored_owner == *owner;
                return is_committed.then_some(sequence_item.revision);
            }
            TransactionOutcome::Unknown => {}
            TransactionOutcome::Refused | TransactionOutcome::NoLease => return None,
        }
    }
    None
}

/// Reads the jobs, progress and workers of a service. Returns `None` if a read fails.
async fn load_shard(store: &CellStore, service: &ServiceId) -> Option<LoadedShard> {
    let jobs_prefix = CellKey::job_prefix(service);
    let record_prefix = CellKey::record_prefix(service);
    let started_at = Instant::now();
    let (jobs, records, workers) = tokio::join!(
        store.read_range(&jobs_prefix),
        store.read_range(&record_prefix),
        store.read_range(WORKER_PREFIX),
    );
    let ((jobs, jobs_revision), (records, _), (workers, workers_revision)) =
        (jobs.ok()?, records.ok()?, workers.ok()?);
    log::info!(
        service = service.as_ref(), elapsed_ms = started_at.elapsed().as_millis(),
        jobs = jobs.len(), job_bytes = count_bytes(&jobs),
        records = records.len(), record_bytes = count_bytes(&records),
        worker_bytes = count_bytes(&workers);
        "read the state of a service"
    );
    let mut loaded: BTreeMap<PipelineId, LoadedJob> = BTreeMap::new();
    let mut cancelled = Vec::new();
    for item in &jobs {
        match CellKey::parse(&item.key) {
            Some(CellKey::Job(_, id)) => {
                if let Some(spec) = decode_team_value::<StoredJob>(&item.key, &item.value) {
                    let job = LoadedJob {
                        id,
                        revision: item.revision,
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
        Some((number, ProgressRecord::decode(&item.key, &item.value)?))
    });
    let (mut log, mut progress) = ProgressLog::replay(records);
    log.retain_jobs(|id| loaded.contains_key(&id));
    for (id, job) in &mut loaded {
        job.progress = progress.remove(id);
    }
    let workers = workers.iter().filter_map(|item| {
        let worker = parse_worker_key(&item.key)?;
        // The prefix may also have entries of other writers. They are skipped here, and
        // the watch of the workers logs them.
        let entry = decode_registration(worker, &item.value).ok()?;
        (entry.service == *service).then_some(entry.listing)
    });
    Some(LoadedShard {
        service: service.clone(),
        epoch: 0,
        last_commit: 0,
        revision: 0,
        log,
        workers: workers.collect(),
        jobs: loaded.into_values().collect(),
        jobs_revision,
        workers_revision,
        session: OwnerSession {
            daemon: String::new(),
            epoch: 0,
            revision: 0,
        },
        predecessors: PredecessorList::default(),
        witnesses: WitnessList::default(),
    })
}

/// Returns the size of the values of items.
fn count_bytes(items: &[StoreItem]) -> usize {
    items.iter().map(|item| item.value.len()).sum()
}
