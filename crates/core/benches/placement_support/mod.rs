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

/// Generator with a fixed seed.
pub fn generator(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Draws from a bounded Pareto distribution; small `shape` means a heavy tail.
pub fn pareto(generator: &mut ChaCha8Rng, shape: f64, low: f64, high: f64) -> f64 {
    let uniform: f64 = generator.random();
    let tail = 1.0 - uniform * (1.0 - (low / high).powf(shape));
    low / tail.powf(1.0 / shape)
}

/// One row of a result table.
pub struct ResultRow {
    /// What was measured.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// The most it may be; none for information.
    pub bound: Option<f64>,
    /// Seed of the run.
    pub seed: u64,
}

impl ResultRow {
    /// Returns a row.
    pub fn new(name: impl Into<String>, value: f64, bound: Option<f64>, seed: u64) -> Self {
        Self {
            name: name.into(),
            value,
            bound,
            seed,
        }
    }
}

/// Prints the rows and ends the process with a failure if a bound was broken.
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

/// Returns workers `prefix-0` and so on, `rack` of them in a rack.
pub fn workers(
    prefix: &str,
    count: usize,
    rack: usize,
    capacity: ResourceVector,
) -> Vec<WorkerEntry> {
    (0..count)
        .map(|number| WorkerEntry {
            worker: format!("{prefix}-{number:05}").into(),
            zone: format!("zone-{}", number / rack % 3).into(),
            rack: format!("{prefix}-rack-{:05}", number / rack).into(),
            capacity,
        })
        .collect()
}

/// Returns a job of `count` equal tasks whose ids follow from its number.
pub fn job(number: u64, count: usize, team: usize, demand: ResourceVector) -> JobSpec {
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

/// Returns a queue that knows `teams` teams without effective quotas.
pub fn queue<P: PlacementPolicy>(policy: P, teams: usize) -> TaskQueue<P> {
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

/// Handles an event and makes all records that follow durable.
pub fn run<P: PlacementPolicy>(
    queue: &mut TaskQueue<P>,
    event: TaskEvent,
    now: Duration,
) -> Vec<TaskAction> {
    let mut actions = queue.handle(event, now);
    let mut ids = record_ids(&actions);
    while !ids.is_empty() {
        let more = queue.handle(TaskEvent::Recorded(ids), now);
        ids = record_ids(&more);
        actions.extend(more);
    }
    actions
}

/// Returns the numbers of the records in `actions`.
pub fn record_ids(actions: &[TaskAction]) -> BTreeSet<RecordId> {
    let record = |action: &TaskAction| match action {
        TaskAction::Record(id, _) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(record).collect()
}
