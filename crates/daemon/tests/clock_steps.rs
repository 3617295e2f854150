//! Tests of tasks whose worker is restarted on a host with a wrong time of day and then cut off from
//! the daemons, just before their owner is killed.

#[path = "support/cell.rs"]
mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use auburnsaddle_platform_standin::{HostClock, LASTING_COMMAND, WorkerSetup};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::timeout};

use support::{
    CellFixture, RESTORE_BOUND,
    restarts::{EARLIER_CLOCK, FORMER_CLOCK, RestartTime, print_records},
    start_cell_with_setup,
};

/// Longest lease of the workers, as on the deployment ntra-sched-grown. It is far longer than the
/// 5.4 s for which an owner waits after its own orders.
const MAX_LEASE: Duration = Duration::from_secs(10);

/// Run time of the tasks that end. It is longer than [`MAX_LEASE`], so that none of them ends as done
/// while its worker is cut off: such a task may run again.
const RUN_TIME: Duration = Duration::from_secs(12);

/// Time from the first start on a restarted worker to its cut, in which more of them start.
const CUT_DELAY: Duration = Duration::from_millis(100);

/// Duration of a cut: a takeover (2.5 s), orders in transit (3 s), [`MAX_LEASE`] on a clock that is 2 %
/// slow, the allowance for timers (0.3 s), and the time of an owner to start tasks elsewhere.
const CUT_TIME: Duration = Duration::from_secs(18);

/// Time by which the clock of a host is wrong. It is longer than a lease with all orders in transit.
const CLOCK_ERROR: Duration = Duration::from_secs(30);

/// Age of the workers by their first start times, which tell nothing of later instances.
const FORMER_AGE: Duration = Duration::from_hours(1);

const WORKER_COUNT: usize = 8;

/// Number of workers that are restarted. The others have room for the tasks of all.
const RESTART_COUNT: usize = 3;

/// Largest number of submissions until all restarted workers have started a task.
const MAX_SUBMISSIONS: usize = 10;

/// Pause between two submissions while restarted workers wait for an order.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(200);

/// Pause between two checks of the runs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tasks of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TaskKind {
    /// At work until they are stopped.
    Lasting,
    /// At work for [`RUN_TIME`].
    Finite,
}

/// Whether a restarted worker has written its entry before it is cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EntryState {
    Written,
    Missing,
}

/// Returns a job with a task that lasts for each worker.
fn lasting_job() -> Value {
    json!({
        "command": LASTING_COMMAND,
        "pipeline": [{
            "count": WORKER_COUNT, "cpu": 100, "mem-mb": 50, "long-running": true,
            "anti-affinity": 2,
        }],
    })
}

/// Returns a job with a task of [`RUN_TIME`] for each worker.
fn finite_job() -> Value {
    json!({
        "command": "sell",
        "pipeline": [{
            "count": WORKER_COUNT, "cpu": 100, "mem-mb": 50,
            "est-runtime-ms": u64::try_from(RUN_TIME.as_millis()).unwrap(), "anti-affinity": 2,
        }],
    })
}

/// Jobs that the daemons have accepted, by their identifiers.
#[derive(Debug, Default)]
struct AcceptedJobs {
    lasting: Vec<u64>,
    finite: Vec<u64>,
}

impl AcceptedJobs {
    /// Submits the next job to a daemon.
    async fn submit_next(&mut self, cell: &CellFixture, daemon: usize, kind: TaskKind) {
        let id = u64::try_from(self.lasting.len() + self.finite.len() + 1).unwrap();
        let (job, ids) = match kind {
            TaskKind::Lasting => (lasting_job(), &mut self.lasting),
            TaskKind::Finite => (finite_job(), &mut self.finite),
        };
        let accepted = cell.submit(daemon, id, &job).await;
        assert_eq!(accepted, Some(StatusCode::OK));
        ids.push(id);
    }

    const fn lasting_tasks(&self) -> usize {
        self.lasting.len() * WORKER_COUNT
    }
}

/// Starts a cell with a task that lasts on each worker.
async fn start_busy_cell() -> (CellFixture, AcceptedJobs) {
    let setup = WorkerSetup {
        run_time: RUN_TIME,
        initial_clock: FORMER_CLOCK,
        max_lease: MAX_LEASE,
        host_clock: Some(HostClock::Behind(FORMER_AGE)),
    };
    let cell = start_cell_with_setup(3, WORKER_COUNT, setup).await;
    let mut jobs = AcceptedJobs::default();
    jobs.submit_next(&cell, 0, TaskKind::Lasting).await;
    cell.wait_for("the first tasks to be at work", || async {
        running_lasting_tasks(&cell).len() == WORKER_COUNT
    })
    .await;
    // The workers have a full lease and the owner's state is committed.
    tokio::time::sleep(Duration::from_secs(2)).await;
    (cell, jobs)
}

fn running_lasting_tasks(cell: &CellFixture) -> BTreeSet<String> {
    let starts = cell.task_starts().into_iter();
    let running = starts.filter(|start| start.is_lasting && start.ended.is_none());
    running.map(|start| start.task).collect()
}

/// Restarts the first workers on hosts with this clock.
fn restart_workers(cell: &CellFixture, host_clock: HostClock) {
    for worker in &cell.workers[..RESTART_COUNT] {
        worker.set_host_clock(host_clock);
        worker.restart_with_clock(EARLIER_CLOCK);
    }
}

/// Submits jobs of this kind to the owner until all restarted workers have started a task, and cuts
/// each off [`CUT_DELAY`] later. They write their entries just before, so that the owner does not
/// learn of the restart from them.
async fn cut_off_after_first_start(
    cell: &CellFixture,
    owner: usize,
    kind: TaskKind,
    entry: EntryState,
    jobs: &mut AcceptedJobs,
) {
    let mut cuts = JoinSet::new();
    for worker in &cell.workers[..RESTART_COUNT] {
        let (store, worker) = (cell.store.clone(), worker.clone());
        cuts.spawn(async move {
            worker.wait_for_start().await;
            tokio::time::sleep(CUT_DELAY).await;
            if entry == EntryState::Written {
                let (key, value) = worker.registration("sales");
                store.write(&key, &value);
            }
            worker.cut_off();
        });
    }
    for _ in 0..MAX_SUBMISSIONS {
        jobs.submit_next(cell, owner, kind).await;
        let all_cuts = async {
            while let Some(cut) = cuts.join_next().await {
                cut.unwrap();
            }
        };
        if timeout(SUBMIT_INTERVAL, all_cuts).await.is_ok() {
            return;
        }
    }
    panic!("a restarted worker has started no task");
}

/// Waits until all lasting tasks are at work. Returns the time until then; `None` if one is still
/// away after [`RESTORE_BOUND`].
async fn watch_until_restored(cell: &CellFixture, task_count: usize) -> Option<Duration> {
    let last_event = Instant::now();
    while last_event.elapsed() < RESTORE_BOUND {
        if running_lasting_tasks(cell).len() == task_count {
            return Some(last_event.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Restarts workers on hosts with this clock, cuts them off when they have started tasks by orders
/// for their former instances, and kills the owner. Asserts that no task runs twice, that lasting
/// tasks are back in time and that the others are done.
async fn assert_no_second_run(kind: TaskKind, host_clock: HostClock, entry: EntryState) {
    let (mut cell, mut jobs) = start_busy_cell().await;
    let owner = cell.wait_for_owner().await;

    let restarted_at = RestartTime::now();
    restart_workers(&cell, host_clock);
    cut_off_after_first_start(&cell, owner, kind, entry, &mut jobs).await;
    cell.daemons[owner].child.kill().unwrap();
    tokio::time::sleep(CUT_TIME).await;
    for worker in &cell.workers[..RESTART_COUNT] {
        worker.reconnect();
    }
    let restored = watch_until_restored(&cell, jobs.lasting_tasks()).await;
    for id in &jobs.finite {
        let daemon = (owner + 1) % cell.daemons.len();
        cell.wait_for_job_state(daemon, *id, "completed").await;
    }

    let case = format!("{kind:?}, {host_clock:?}, {entry:?}");
    print_records(&cell, &case, restarted_at, RESTART_COUNT);
    println!("{case}: all lasting tasks at work {restored:.2?} after the last event");
    cell.assert_no_conflicting_runs();
    assert!(restored.is_some(), "a lasting task is away");
}

/// Guards against a second run of a task on a young worker that looks old to a successor, as its
/// start time is by a clock that is behind: its runs may last longer than the granted lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_on_a_restarted_worker_with_an_early_start_time_does_not_run_twice() {
    let host_clock = HostClock::Behind(CLOCK_ERROR);

    assert_no_second_run(TaskKind::Finite, host_clock, EntryState::Written).await;
}

/// Guards against the same with a lasting task, which must also be back in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lasting_task_on_a_restarted_worker_with_an_early_start_time_does_not_run_twice() {
    let host_clock = HostClock::Behind(CLOCK_ERROR);

    assert_no_second_run(TaskKind::Lasting, host_clock, EntryState::Written).await;
}

/// Guards against the same with a start time in the future, of which no age can be taken.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_on_a_restarted_worker_with_a_start_time_in_the_future_does_not_run_twice() {
    let host_clock = HostClock::Ahead(CLOCK_ERROR);

    assert_no_second_run(TaskKind::Finite, host_clock, EntryState::Written).await;
}

/// Guards against the same with a young worker whose entry is still that of its former instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_on_a_restarted_worker_without_an_entry_does_not_run_twice() {
    let host_clock = HostClock::Ahead(Duration::ZERO);

    assert_no_second_run(TaskKind::Finite, host_clock, EntryState::Missing).await;
}
