//! Tests of long tasks whose worker is restarted under its identifier, with another clock, and
//! then cut off from the daemons.

#[path = "support/cell.rs"]
mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use auburnsaddle_platform_standin::{StartRecord, WorkerSetup};
use http::StatusCode;
use serde_json::{Value, json};

use support::{
    CellFixture, RESTORE_BOUND,
    restarts::{
        CutDirection, CutMoment, CutPlan, EARLIER_CLOCK, FORMER_CLOCK, RestartTime, SubmissionEnd,
        cut_off_and_reconnect, print_records, restart_workers,
    },
    start_cell_with_setup,
};

/// Shortest time for which a test watches the runs after the last event. Daemons renew leases
/// each second, so that they have met each worker again.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Pause between two checks of the runs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Run time that no test reaches.
const ENDLESS_RUN_TIME: Duration = Duration::from_hours(1);

/// Reading far ahead of the clock of the former instance.
const LATER_CLOCK: Duration = Duration::from_hours(3);

const WORKER_COUNT: usize = 8;

/// Returns a job with a task that lasts for each worker. The workers that are not restarted have
/// room for the tasks of all.
fn lasting_job() -> Value {
    json!({
        "command": "sell",
        "pipeline": [{
            "count": WORKER_COUNT, "cpu": 100, "mem-mb": 50, "long-running": true,
            "anti-affinity": 2,
        }],
    })
}

/// Returns a plan of cuts in both directions, with jobs for a daemon until the first event.
fn cut_plan<'a>(daemon: usize, job: &'a Value, moments: &'a [CutMoment]) -> CutPlan<'a> {
    CutPlan {
        daemon,
        job,
        moments,
        direction: CutDirection::Both,
        submission_end: SubmissionEnd::FirstEvent,
    }
}

/// Starts a cell with as many tasks at work as workers.
async fn start_busy_cell(daemons: usize) -> CellFixture {
    let setup = WorkerSetup {
        run_time: ENDLESS_RUN_TIME,
        initial_clock: FORMER_CLOCK,
        ..WorkerSetup::default()
    };
    let cell = start_cell_with_setup(daemons, WORKER_COUNT, setup).await;
    let accepted = cell.submit(0, 1, &lasting_job()).await;
    assert_eq!(accepted, Some(StatusCode::OK));
    cell.wait_for("the first tasks to be at work", || async {
        running_tasks(&cell).len() == WORKER_COUNT
    })
    .await;
    // The workers have a full lease and the owner's state is committed.
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell
}

fn is_running(start: &StartRecord) -> bool {
    start.ended.is_none()
}

fn running_tasks(cell: &CellFixture) -> BTreeSet<String> {
    let starts = cell.task_starts().into_iter();
    starts.filter(is_running).map(|start| start.task).collect()
}

/// Watches the runs until the tasks of all jobs are at work, and at least for `WATCH_TIME`.
/// Returns the time from the last event until then; `None` if a task is still away after
/// `RESTORE_BOUND`.
async fn watch_until_restored(cell: &CellFixture, job_count: usize) -> Option<Duration> {
    let last_event = Instant::now();
    let task_count = WORKER_COUNT * job_count;
    let mut restored = None;
    while last_event.elapsed() < WATCH_TIME
        || restored.is_none() && last_event.elapsed() < RESTORE_BOUND
    {
        let is_restored = running_tasks(cell).len() == task_count;
        restored = restored
            .or_else(|| is_restored.then(|| last_event.elapsed()))
            .filter(|_| is_restored);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    restored
}

/// Asserts that no task ran twice at once and that all tasks are at work again.
fn assert_one_run_each(
    cell: &CellFixture,
    case: &str,
    restarted_at: RestartTime,
    moments: &[CutMoment],
    restored: Option<Duration>,
) {
    println!("{case}: all tasks at work {restored:.2?} after the last event");
    print_records(cell, case, restarted_at, moments.len());
    cell.assert_no_conflicting_runs();
    assert!(restored.is_some(), "{case}: a task is away");
}

/// Restarts a worker for each moment, with a clock that begins at `clock`, and cuts it off at
/// this moment. Asserts that no task runs twice, and that all are at work in the end.
async fn assert_no_second_run(case: &str, clock: Duration, moments: &[CutMoment]) -> Vec<bool> {
    let cell = start_busy_cell(2).await;
    let job = lasting_job();

    let restarted_at = RestartTime::now();
    restart_workers(&cell, clock, moments.len());
    let report = cut_off_and_reconnect(&cell, &cut_plan(0, &job, moments)).await;
    let restored = watch_until_restored(&cell, report.job_count + 1).await;

    assert_one_run_each(&cell, case, restarted_at, moments, restored);
    report.has_event
}

/// Moments from the first start on a new instance until the owner's next renewal.
fn moments_after_start() -> [CutMoment; 3] {
    [0, 150, 400].map(|delay_ms| CutMoment::Start(Duration::from_millis(delay_ms)))
}

/// Moments from the first renewal that a new instance answers.
fn moments_after_renewal() -> [CutMoment; 3] {
    [0, 100, 500].map(|delay_ms| CutMoment::Renewal(Duration::from_millis(delay_ms)))
}

/// Guards against a second run of a task that a new instance whose clock is behind that of the
/// former one has started, and holds longer than the owner granted, as it was cut off before the
/// owner had met it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_on_a_restarted_worker_with_an_earlier_clock_does_not_run_twice_after_a_cut() {
    let has_event =
        assert_no_second_run("earlier clock", EARLIER_CLOCK, &moments_after_start()).await;

    assert_eq!(
        has_event, [true; 3],
        "a restarted worker has started no task"
    );
}

/// Guards against the same fault with a clock that begins with the new instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_on_a_restarted_worker_with_a_clock_near_zero_does_not_run_twice_after_a_cut() {
    let has_event =
        assert_no_second_run("clock near zero", Duration::ZERO, &moments_after_start()).await;

    assert_eq!(
        has_event, [true; 3],
        "a restarted worker has started no task"
    );
}

/// Guards against a second run of a task on a new instance that rejects the orders for the
/// former one, as their deadlines have passed on its clock.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_on_a_restarted_worker_with_a_later_clock_does_not_run_twice_after_a_cut() {
    assert_no_second_run("later clock", LATER_CLOCK, &moments_after_start()).await;
}

/// Guards against a second run of a task whose worker is cut off when the owner has just met its
/// new instance: orders for the former one may have extended the lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_on_a_restarted_worker_does_not_run_twice_after_a_cut_that_follows_a_renewal() {
    let has_event = assert_no_second_run(
        "cut after a renewal",
        EARLIER_CLOCK,
        &moments_after_renewal(),
    )
    .await;

    assert_eq!(
        has_event, [true; 3],
        "a restarted worker answered no renewal"
    );
}

/// Guards against a second run of a task whose worker was restarted and cut off just before its
/// owner was killed, so that a successor knows nothing of the new instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_on_a_restarted_worker_does_not_run_twice_after_a_cut_and_the_loss_of_its_owner() {
    let mut cell = start_busy_cell(3).await;
    let owner = cell.wait_for_owner().await;
    let (job, moments) = (lasting_job(), moments_after_start());

    let restarted_at = RestartTime::now();
    restart_workers(&cell, EARLIER_CLOCK, moments.len());
    let accepted = cell.submit(owner, 100, &job).await;
    cell.workers[0].wait_for_start().await;
    cell.daemons[owner].child.kill().unwrap();
    let report = cut_off_and_reconnect(&cell, &cut_plan((owner + 1) % 3, &job, &moments)).await;
    let restored = watch_until_restored(&cell, report.job_count + 2).await;

    assert_eq!(accepted, Some(StatusCode::OK));
    assert_one_run_each(&cell, "owner killed", restarted_at, &moments, restored);
}
