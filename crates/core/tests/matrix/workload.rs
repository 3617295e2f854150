//! The cell of the matrix, and what its callers ask of it.

use std::sync::Arc;

use super::prelude::*;

pub(crate) const DAEMONS: usize = 4;
pub(crate) const POOLS: usize = 2;
pub(crate) const WORKERS: usize = 6;
pub(crate) const JOBS: u64 = 26;
pub(crate) const RUNNERS: usize = 2;
pub(crate) const SLOTS: u32 = 2;
pub(crate) const CALLS: u8 = 30;
/// Requests with the same key: the caller repeats each one twice.
pub(crate) const COPIES: u8 = 3;
pub(crate) const CAPACITY: ResourceVector = ResourceVector::new(4_000, 4_096, 0);

pub(crate) fn shards() -> BTreeSet<ShardName> {
    let pools = (0..POOLS).map(pool_shard);
    pools.chain([key_shard(), call_shard()]).collect()
}

pub(crate) fn key_shard() -> ShardName {
    ShardName::Key("r1".into(), 0)
}

pub(crate) fn call_shard() -> ShardName {
    ShardName::Call("sales".into(), "z1".into())
}

pub(crate) fn pool_shard(pool: usize) -> ShardName {
    ShardName::Pool(format!("p{pool}").into())
}

/// The pool of a job is the object that it belongs to.
pub(crate) fn shard_of(spec: &JobSpec) -> ShardName {
    ShardName::Pool(spec.object.clone())
}

/// Returns a copy of a keyed call; all copies have the same content.
pub(crate) fn call(number: u8, copy: u8) -> KeyRequest {
    let mut key = KeyDigest::default();
    key[1] = number;
    KeyRequest {
        request: 1_000 + 10 * u128::from(number) + u128::from(copy),
        key,
        fingerprint: [number; 16],
        remaining: Duration::from_secs(4),
    }
}

/// Returns the body of a keyed call, which its response repeats.
pub(crate) fn body_of(request: RequestId) -> Vec<u8> {
    let number = u8::try_from((request - 1_000) / 10).unwrap_or_default();
    vec![number; 16]
}

/// Returns the number at the end of the name of a daemon, worker or runner.
pub(crate) fn index_of(name: &str) -> usize {
    let number = name.trim_start_matches(|letter: char| !letter.is_ascii_digit());
    number.parse().expect("the name ends with its number")
}

pub(crate) fn worker_name(index: usize) -> WorkerId {
    format!("w{index}").into()
}

pub(crate) fn worker_shard(index: usize) -> ShardName {
    pool_shard(index % POOLS)
}

pub(crate) fn worker_entries(shard: &ShardName) -> Vec<WorkerEntry> {
    let indexes = (0..WORKERS).filter(|index| worker_shard(*index) == *shard);
    indexes
        .map(|index| WorkerEntry {
            worker: worker_name(index),
            zone: "z1".into(),
            rack: format!("r{index}").into(),
            capacity: CAPACITY,
        })
        .collect()
}

pub(crate) fn teams_with(number: u64) -> ObjectSet {
    let mut loader = ObjectLoader::default();
    let text = format!("[[team]]\nname = 'team-{number}'\nquota = {{ cpu_milli = 1 }}\n");
    loader.add("teams.toml", &text);
    loader.finish().set
}

pub(crate) fn job_of(task: TaskId) -> JobId {
    u64::try_from(task.as_u128() / 10).unwrap_or_default()
}

/// Returns a job of one task, or a gang of two, whose size and restart policy
/// follow from its number. Three consecutive jobs go to the same pool.
pub(crate) fn job(number: JobId) -> JobSpec {
    let restart = match number % 3 {
        0 => RestartPolicy::Never,
        1 => RestartPolicy::WhenStopped,
        _ => RestartPolicy::Anytime,
    };
    let gang = number.is_multiple_of(5);
    let first = u128::from(number) * 10;
    let cores = match number % 9 {
        // Larger than any worker.
        8 => 5,
        _ => 1 + (number + 2) % 3,
    };
    // Some tasks outlast a pause of their owner.
    let run_time = if number % 3 == 1 {
        14_000
    } else {
        1_000 + 700 * (number % 5)
    };
    JobSpec {
        job: number,
        tasks: (first..first + 1 + u128::from(gang))
            .map(TaskId::from_u128)
            .collect(),
        object: format!("p{}", number / 3 % 2).into(),
        team: "orders".into(),
        urgency: UrgencyClass::Normal,
        after: Vec::new(),
        labels: vec![Arc::from("run=night")],
        demand: ResourceVector::new(cores * 1_000, cores * 1_024, 0),
        run_time: Some(Duration::from_millis(run_time)),
        restart,
        gang: if gang {
            GangMode::AllOrNothing
        } else {
            GangMode::Independent
        },
        spread: false,
        checkpoint: number.is_multiple_of(4),
    }
}
