//! Fixtures of the placement benches.

#[allow(dead_code, reason = "each bench uses a part of the shared table")]
#[path = "../support/table.rs"]
mod table;

use std::{collections::BTreeSet, time::Duration};

use auburnsaddle_core::{
    GangMode, JobSpec, PlacementPolicy, RecordId, ResourceVector, RestartPolicy, TaskAction,
    TaskConfig, TaskEvent, TaskId, TaskQueue, TeamQuota, UrgencyClass, WorkerEntry,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use table::BoundTable;

/// Creates a random generator whose sequence depends on the seed only.
pub fn create_generator(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Samples a Pareto distribution bounded by `low` and `high`; a smaller `shape`
/// gives a heavier tail.
pub fn sample_pareto(generator: &mut ChaCha8Rng, shape: f64, low: f64, high: f64) -> f64 {
    let uniform: f64 = generator.random();
    let tail = 1.0 - uniform * (1.0 - (low / high).powf(shape));
    low / tail.powf(1.0 / shape)
}

/// One row of a result table.
pub struct ResultRow {
    /// Description of the value, printed in the first column.
    pub name: String,
    /// Result of the run, in the unit that `name` states.
    pub value: f64,
    /// Upper bound of the value; `None` prints the row for information only.
    pub bound: Option<f64>,
    /// Seed with which the run can be repeated.
    pub seed: u64,
}

impl ResultRow {
    /// Creates a row.
    pub fn new(name: impl Into<String>, value: f64, bound: Option<f64>, seed: u64) -> Self {
        Self {
            name: name.into(),
            value,
            bound,
            seed,
        }
    }
}

/// Prints the rows and exits with status 1 if a value exceeds its bound.
pub fn print_table(rows: &[ResultRow]) {
    let mut table = BoundTable::start(&[]);
    for row in rows {
        match row.bound {
            Some(bound) => table.at_most(&row.name, row.value, bound, row.seed),
            None => table.note(&row.name, &format!("{:.3}", row.value), row.seed),
        }
    }
    table.finish();
}

/// Creates workers named `prefix-00000` and up, `rack_size` of them in each rack.
pub fn create_workers(
    prefix: &str,
    count: usize,
    rack_size: usize,
    capacity: ResourceVector,
) -> Vec<WorkerEntry> {
    (0..count)
        .map(|number| WorkerEntry {
            worker: format!("{prefix}-{number:05}").into(),
            zone: format!("zone-{}", number / rack_size % 3).into(),
            rack: format!("{prefix}-rack-{:05}", number / rack_size).into(),
            capacity,
        })
        .collect()
}

/// Creates a job of `count` equal tasks; more than one form a gang. The task ids
/// derive from the number of the job.
pub fn create_job(number: u64, count: usize, team: usize, demand: ResourceVector) -> JobSpec {
    let first = u128::from(number) << 32;
    JobSpec {
        job: number,
        tasks: (0..count as u128)
            .map(|index| TaskId::from_u128(first + index))
            .collect(),
        object: "work".into(),
        team: format!("team-{team:03}").into(),
        urgency: UrgencyClass::Normal,
        labels: vec![format!("job={number}").into()],
        demand,
        run_time: Some(Duration::from_mins(10)),
        restart: RestartPolicy::WhenStopped,
        gang: if count > 1 {
            GangMode::AllOrNothing
        } else {
            GangMode::Independent
        },
        spread: false,
        checkpoint: false,
        after: Vec::new(),
    }
}

/// Creates a queue with `teams` teams whose quotas never limit them.
pub fn create_queue<P: PlacementPolicy>(policy: P, teams: usize) -> TaskQueue<P> {
    let mut queue = TaskQueue::new(TaskConfig::default(), policy);
    let teams = (0..teams)
        .map(|team| TeamQuota {
            team: format!("team-{team:03}").into(),
            weight: 1,
            quota: ResourceVector::new(u64::MAX, u64::MAX, u64::MAX),
        })
        .collect();
    queue.handle(TaskEvent::TeamsChanged(teams), Duration::ZERO);
    queue
}

/// Handles an event and confirms every record that results as durable, until no
/// record is left. Returns all actions.
pub fn handle_and_persist<P: PlacementPolicy>(
    queue: &mut TaskQueue<P>,
    event: TaskEvent,
    now: Duration,
) -> Vec<TaskAction> {
    let mut actions = queue.handle(event, now);
    let mut ids = record_ids(&actions);
    while !ids.is_empty() {
        let next_actions = queue.handle(TaskEvent::Recorded(ids), now);
        ids = record_ids(&next_actions);
        actions.extend(next_actions);
    }
    actions
}

/// Returns the ids of the records in `actions`.
pub fn record_ids(actions: &[TaskAction]) -> BTreeSet<RecordId> {
    let record = |action: &TaskAction| match action {
        TaskAction::Record(id, _) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(record).collect()
}
