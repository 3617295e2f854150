//! The simulated cell, and the jobs and keyed calls that its callers send.

use std::sync::Arc;

use super::prelude::*;

pub(crate) const DAEMONS: usize = 4;
pub(crate) const POOLS: usize = 2;
pub(crate) const WORKERS: usize = 6;
pub(crate) const JOBS: u64 = 26;
pub(crate) const RUNNERS: usize = 2;
pub(crate) const SLOTS_PER_RUNNER: u32 = 2;
pub(crate) const KEYED_CALLS: u8 = 30;
/// Requests per key: the caller sends each request and repeats it twice.
pub(crate) const COPIES_PER_CALL: u8 = 3;
pub(crate) const WORKER_CAPACITY: ResourceVector = ResourceVector::new(4_000, 4_096, 0);

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

/// Returns the shard of a job; the object of a job names its pool.
pub(crate) fn job_shard(spec: &JobSpec) -> ShardName {
    ShardName::Pool(spec.object.clone())
}

/// Returns one copy of a keyed call. Copies differ only in their request
/// identifier.
pub(crate) fn keyed_call(number: u8, copy: u8) -> KeyRequest {
    let mut key = KeyDigest::default();
    key[1] = number;
    KeyRequest {
        request: 1_000 + 10 * u128::from(number) + u128::from(copy),
        key,
        fingerprint: [number; 16],
        remaining: Duration::from_secs(4),
    }
}

/// Returns the body of a keyed call, which the runner echoes in its response.
pub(crate) fn request_body(request: RequestId) -> Vec<u8> {
    let number = u8::try_from((request - 1_000) / 10).unwrap_or_default();
    vec![number; 16]
}

/// Returns the number at the end of the name of a daemon, worker or runner.
pub(crate) fn name_index(name: &str) -> usize {
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
            capacity: WORKER_CAPACITY,
        })
        .collect()
}

pub(crate) fn team_objects(number: u64) -> ObjectSet {
    let mut loader = ObjectLoader::default();
    let text = format!("[[team]]\nname = 'team-{number}'\nquota = {{ cpu_milli = 1 }}\n");
    loader.add("teams.toml", &text);
    loader.finish().set
}

pub(crate) fn task_job(task: TaskId) -> JobId {
    u64::try_from(task.as_u128() / 10).unwrap_or_default()
}

/// Returns a job of one task, or a gang of two. Its size, run time, restart
/// policy and pool are derived from its number; three consecutive jobs go to
/// the same pool.
pub(crate) fn job_spec(number: JobId) -> JobSpec {
    let restart = match number % 3 {
        0 => RestartPolicy::Never,
        1 => RestartPolicy::WhenStopped,
        _ => RestartPolicy::Anytime,
    };
    let is_gang = number.is_multiple_of(5);
    let first = u128::from(number) * 10;
    let cores = match number % 9 {
        // Exceeds the capacity of every worker.
        8 => 5,
        _ => 1 + (number + 2) % 3,
    };
    // Run times of 14 s exceed the 12 s pause of an owner.
    let run_time = if number % 3 == 1 {
        14_000
    } else {
        1_000 + 700 * (number % 5)
    };
    JobSpec {
        job: number,
        tasks: (first..first + 1 + u128::from(is_gang))
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
        gang: if is_gang {
            GangMode::AllOrNothing
        } else {
            GangMode::Independent
        },
        spread: false,
        checkpoint: number.is_multiple_of(4),
    }
}
