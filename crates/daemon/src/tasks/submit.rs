//! Builds jobs from submissions and the configured objects.

use std::{collections::BTreeMap, sync::Arc};

use auburnsaddle_core::{
    GangMode, JobId, JobSpec, ObjectKind, ObjectSet, PoolId, ShardName, SubmitRequest, TaskId,
    WorkSpec,
};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, Snafu, ensure};

/// Bounds the tasks of one job, so that its record takes less than half of a
/// journal batch.
const JOB_TASK_LIMIT: u64 = 10_000;

/// The error of a submission from which no job can be built.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub(crate) enum SubmitError {
    /// No batch run, gang job or task has this name.
    #[snafu(display("`{object}` is no batch run, gang job or task"))]
    UnknownObject {
        /// The name as submitted, without the kind.
        object: String,
    },
    /// Objects of several kinds have the name.
    #[snafu(display("objects of several kinds are named `{object}`"))]
    AmbiguousObject {
        /// The name as submitted, without the kind.
        object: String,
    },
    /// The number of tasks is out of bounds.
    #[snafu(display("{count} tasks in one job instead of 1 to {JOB_TASK_LIMIT}"))]
    Count {
        /// The number of tasks that would be in the job.
        count: u64,
    },
}

impl SubmitError {
    /// Returns what the caller can do next.
    pub(crate) const fn remedy(&self) -> &'static str {
        match self {
            Self::UnknownObject { .. } => {
                "correct the name, or apply a configuration that defines the object"
            }
            Self::AmbiguousObject { .. } => "write batch/NAME, gang/NAME or task/NAME",
            Self::Count { .. } => "submit several jobs, or correct the count",
        }
    }
}

/// Builds a job and returns it with the shard of its pool. The same key and object
/// always give the same job identifier, so a repeated submission does not run
/// twice.
///
/// # Errors
///
/// Returns an error if the object is unknown or ambiguous, or if the task count is
/// out of bounds.
pub(crate) fn build_job(
    objects: &ObjectSet,
    request: &SubmitRequest,
    key: Option<&str>,
) -> Result<(ShardName, JobSpec), SubmitError> {
    let (kind, work) = find_work(objects, &request.object)?;
    let count = request.count.unwrap_or(work.count);
    ensure!((1..=JOB_TASK_LIMIT).contains(&count), CountSnafu { count });
    let job = key.map_or_else(
        || rand::random::<JobId>().max(1),
        |key| derive_job_id(key, kind, work),
    );
    let indexes = 0..u32::try_from(count).unwrap_or(u32::MAX);
    let spec = JobSpec {
        job,
        tasks: indexes
            .map(|index| compose_task_id(&work.pool, job, index))
            .collect(),
        object: work.name.clone(),
        team: work.team.clone(),
        urgency: work.urgency,
        labels: merge_labels(&work.labels, &request.labels),
        demand: work.request,
        run_time: work.run_time(),
        restart: work.restart,
        gang: if kind == ObjectKind::Gang {
            GangMode::AllOrNothing
        } else {
            GangMode::Independent
        },
        spread: work.spread_over_racks,
        checkpoint: work.checkpoint,
        after: work.after.clone(),
    };
    Ok((ShardName::Pool(work.pool.clone()), spec))
}

/// Returns the pool whose digest is in the upper 32 bits of a task identifier.
pub(crate) fn find_pool(objects: &ObjectSet, task: TaskId) -> Option<PoolId> {
    let digest = u32::try_from(task.as_u128() >> 96).ok()?;
    let mut pools = objects.pools.keys();
    pools
        .find(|pool| compute_pool_digest(pool) == digest)
        .cloned()
}

/// Returns the object with a name, which may be prefixed with its kind and a slash.
fn find_work<'a>(
    objects: &'a ObjectSet,
    name: &str,
) -> Result<(ObjectKind, &'a WorkSpec), SubmitError> {
    let (wanted, name) = match name.split_once('/') {
        Some((kind, name)) => (Some(kind), name),
        None => (None, name),
    };
    let found: Vec<_> = [
        (ObjectKind::Batch, &objects.batches),
        (ObjectKind::Gang, &objects.gangs),
        (ObjectKind::Task, &objects.tasks),
    ]
    .into_iter()
    .filter(|(kind, _)| wanted.is_none_or(|wanted| kind.to_string() == wanted))
    .filter_map(|(kind, works)| Some((kind, works.get(name)?)))
    .collect();
    ensure!(found.len() < 2, AmbiguousObjectSnafu { object: name });
    let first = found.into_iter().next();
    first.context(UnknownObjectSnafu { object: name })
}

/// Merges the labels of the object and of the request; those of the request take
/// precedence.
fn merge_labels(
    object: &BTreeMap<String, String>,
    request: &BTreeMap<String, String>,
) -> Vec<Arc<str>> {
    let mut joined = object.clone();
    joined.extend(request.clone());
    let labels = joined.iter();
    labels
        .map(|(key, value)| format!("{key}={value}").into())
        .collect()
}

/// Derives a job identifier from an idempotency key, the team and the object.
fn derive_job_id(key: &str, kind: ObjectKind, work: &WorkSpec) -> JobId {
    let mut hash = Sha256::new();
    for part in [key, &work.team, &kind.to_string(), &work.name] {
        // Without the lengths, different parts could give the same bytes.
        hash.update(part.len().to_be_bytes());
        hash.update(part);
    }
    let digest: [u8; 32] = hash.finalize().into();
    let (first, _) = digest.split_first_chunk().expect("a digest of 32 bytes");
    JobId::from_be_bytes(*first).max(1)
}

fn compute_pool_digest(pool: &str) -> u32 {
    let digest: [u8; 32] = Sha256::digest(pool).into();
    let (first, _) = digest.split_first_chunk().expect("a digest of 32 bytes");
    u32::from_be_bytes(*first)
}

/// Composes the identifier of a task from the digest of its pool (32 bits), its job
/// (64 bits) and its index (32 bits). The digest lets any daemon find the owner.
fn compose_task_id(pool: &str, job: JobId, index: u32) -> TaskId {
    let digest = u128::from(compute_pool_digest(pool));
    TaskId::from_u128(digest << 96 | u128::from(job) << 32 | u128::from(index))
}
