//! Plays of the record of issue 45: long tasks that end, on workers that crash, are back under their
//! identifiers with another clock, and are cut off soon after their first orders.

#[path = "support/cell.rs"]
mod support;

use std::time::Duration;

use auburnsaddle_platform_standin::{HostClock, StoreStandin, WorkerSetup, WorkerStandin};
use http::StatusCode;
use serde_json::{Value, json};

use support::{
    CellFixture,
    restarts::{
        CutDirection, CutMoment, CutPlan, CutReport, EARLIER_CLOCK, FORMER_CLOCK, HEARTBEAT_DELAY,
        RestartTime, SubmissionEnd, cut_off_and_reconnect, print_log_lines, print_overlaps,
        print_records, wait_for_event,
    },
    start_cell_with_setup,
};

const WORKER_COUNT: usize = 8;

/// Number of workers that crash.
const CRASHED_COUNT: usize = 4;

/// Time that each task takes. A run of the record takes 8.46 s.
const RUN_TIME: Duration = Duration::from_millis(8_500);

/// Time for which a worker that crashed is away.
const DARK_TIME: Duration = Duration::from_millis(600);

/// Time from the return of the workers until the first jobs. With it, renewals that were sent before
/// the crash fail 0.1 to 0.4 s after the latest order, as in the record.
const ORDER_DELAY: Duration = Duration::from_millis(650);

/// Times from the first orders of the new instances until they are cut off.
const CUT_DELAYS_MS: [u64; CRASHED_COUNT] = [250, 350, 450, 500];

/// Identifier before those of the jobs that are submitted between two crashes.
const EXTRA_JOB: u64 = 100;

/// Largest number of plays of a test in which no new instance gets an order for its former one.
const MAX_PLAYS: u32 = 3;

/// Heartbeats of a worker that are missing before its entry is removed.
const MISSED_HEARTBEATS: u32 = 3;

/// When the owner of the service is told to stop.
#[derive(Clone, Copy, Debug)]
enum OwnerStop {
    Never,
    /// As soon as a new instance has started a task, before any is cut off.
    BeforeCut,
    /// 0.1 s after the last worker was cut off.
    AfterCut,
}

/// Faults of one play.
#[derive(Clone, Copy, Debug)]
struct RecordPlay {
    /// Name of the play in its output.
    name: &'static str,
    daemon_count: usize,
    /// Longest lease that the workers accept.
    max_lease: Duration,
    owner_stop: OwnerStop,
    /// Whether the successor of the owner that stops is killed 1 s later.
    is_successor_killed: bool,
    direction: CutDirection,
    submission_end: SubmissionEnd,
    /// Times from the first orders of the new instances until they are cut off.
    cut_delays_ms: [u64; CRASHED_COUNT],
    /// Number of crashes before the cut.
    crash_count: u64,
    /// Time for which the workers hold each response back after the crash.
    response_delay: Duration,
}

impl RecordPlay {
    const fn new(name: &'static str) -> Self {
        Self {
            name,
            daemon_count: 2,
            max_lease: Duration::from_secs(6),
            owner_stop: OwnerStop::Never,
            is_successor_killed: false,
            direction: CutDirection::Both,
            submission_end: SubmissionEnd::LastCut,
            cut_delays_ms: CUT_DELAYS_MS,
            crash_count: 1,
            response_delay: Duration::ZERO,
        }
    }

    const fn with_owner_stop(name: &'static str, owner_stop: OwnerStop) -> Self {
        let mut play = Self::new(name);
        play.daemon_count = 3;
        play.owner_stop = owner_stop;
        play
    }
}

/// Returns a job with a long task for each worker. The workers that do not crash have room for the
/// tasks of all.
fn long_job() -> Value {
    let run_time_ms = u64::try_from(RUN_TIME.as_millis()).unwrap();
    json!({
        "command": "sell",
        "pipeline": [{
            "count": WORKER_COUNT, "cpu": 100, "mem-mb": 50, "est-runtime-ms": run_time_ms,
            "anti-affinity": 2,
        }],
    })
}

/// Starts a cell with as many long tasks at work as workers.
async fn start_busy_cell(daemon_count: usize, max_lease: Duration) -> CellFixture {
    let setup = WorkerSetup {
        run_time: RUN_TIME,
        initial_clock: FORMER_CLOCK,
        max_lease,
        host_clock: Some(HostClock::Ahead(Duration::ZERO)),
    };
    let cell = start_cell_with_setup(daemon_count, WORKER_COUNT, setup).await;
    // As callers do, the test submits the job again after a 504.
    cell.wait_for("the first job to be accepted", || async {
        cell.submit(0, 1, &long_job()).await == Some(StatusCode::OK)
    })
    .await;
    cell.wait_for("the first tasks to be at work", || async {
        cell.task_starts().len() == WORKER_COUNT
    })
    .await;
    // The workers have a full lease and the owner's state is committed.
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell
}

/// Writes the entry of a worker every `HEARTBEAT_DELAY` from now on, and removes it after `MISSED_HEARTBEATS`
/// during which the worker is cut off.
fn spawn_heartbeats(store: StoreStandin, worker: WorkerStandin) {
    tokio::spawn(async move {
        let mut missed = 0;
        loop {
            tokio::time::sleep(HEARTBEAT_DELAY).await;
            missed = if worker.is_cut_off() { missed + 1 } else { 0 };
            let (key, value) = worker.registration("sales");
            match missed {
                0 => store.write(&key, &value),
                MISSED_HEARTBEATS => store.remove(&key),
                _ => {}
            }
        }
    });
}

/// Crashes a worker, which is back after `DARK_TIME` with another clock.
async fn crash_worker(worker: &WorkerStandin, clock: Duration) {
    worker.cut_off();
    tokio::time::sleep(DARK_TIME).await;
    worker.restart_with_clock(clock);
    worker.reconnect();
}

/// Crashes the first workers, each when a renewal has reached it, so that the owner notices nothing
/// until this renewal fails after 2 s.
async fn crash_workers_at_renewal(cell: &CellFixture) {
    crash_workers(cell, |worker| async move {
        worker.wait_for_next_renewal().await;
    })
    .await;
}

/// Crashes the first workers, each after the given event.
async fn crash_workers<F, A>(cell: &CellFixture, event: F)
where
    F: Fn(WorkerStandin) -> A + Copy + Send + 'static,
    A: Future<Output = ()> + Send,
{
    let clocks = [EARLIER_CLOCK, Duration::ZERO].into_iter().cycle();
    let workers = cell.workers[..CRASHED_COUNT].iter().cloned();
    let crashes = workers.zip(clocks).map(|(worker, clock)| {
        tokio::spawn(async move {
            event(worker.clone()).await;
            crash_worker(&worker, clock).await;
        })
    });
    for crash in crashes.collect::<Vec<_>>() {
        crash.await.unwrap();
    }
}

/// Stops the owner at its moment, and kills its successor where the play says so. Returns the
/// indexes of the daemons that have ended.
async fn stop_owner(cell: &CellFixture, owner: usize, play: &RecordPlay) -> Vec<usize> {
    let cut_after = Duration::from_millis(play.cut_delays_ms[CRASHED_COUNT - 1]);
    let delay = match play.owner_stop {
        OwnerStop::Never => return Vec::new(),
        OwnerStop::BeforeCut => Duration::ZERO,
        OwnerStop::AfterCut => cut_after + Duration::from_millis(100),
    };
    wait_for_event(&cell.workers[0], CutMoment::Start(Duration::ZERO)).await;
    tokio::time::sleep(delay).await;
    cell.signal(owner, "-TERM");
    if !play.is_successor_killed {
        return vec![owner];
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let successor = cell.wait_for_owner().await;
    cell.signal(successor, "-KILL");
    vec![owner, successor]
}

/// Plays the record until a new instance has started a task by an order for its former one, and asserts
/// that no task runs twice and that all jobs are completed. On a busy machine, the first orders can come
/// after the renewal with which the owner meets the new instances.
async fn assert_one_run_each(play: RecordPlay) {
    for _ in 0..MAX_PLAYS {
        if play_record(&play).await {
            return;
        }
    }
    panic!(
        "{}: no new instance got an order for its former one",
        play.name
    );
}

/// Plays the record once. Returns whether a new instance has started a task by an order for its former
/// one.
async fn play_record(play: &RecordPlay) -> bool {
    let name = play.name;
    let cell = start_busy_cell(play.daemon_count, play.max_lease).await;
    let owner = cell.wait_for_owner().await;
    // A daemon that does not end takes the jobs.
    let submitted_to = (owner + 1) % play.daemon_count;
    let job = long_job();
    let moments = play
        .cut_delays_ms
        .map(|delay_ms| CutMoment::Start(Duration::from_millis(delay_ms)));
    let cuts = CutPlan {
        daemon: submitted_to,
        job: &job,
        moments: &moments,
        direction: play.direction,
        submission_end: play.submission_end,
    };

    let restarted_at = RestartTime::now();
    crash_workers_at_renewal(&cell).await;
    for crash in 1..play.crash_count {
        let accepted = cell.submit(submitted_to, EXTRA_JOB + crash, &job).await;
        assert_eq!(accepted, Some(StatusCode::OK));
        wait_for_event(&cell.workers[0], CutMoment::Start(Duration::ZERO)).await;
        crash_workers(&cell, |_| async {}).await;
    }
    for worker in &cell.workers[..CRASHED_COUNT] {
        // The entry would tell the owner of the new instance.
        spawn_heartbeats(cell.store.clone(), worker.clone());
        worker.delay_responses(play.response_delay);
    }
    tokio::time::sleep(ORDER_DELAY).await;
    let (report, ended) = tokio::join!(
        cut_off_and_reconnect(&cell, &cuts),
        stop_owner(&cell, owner, play),
    );
    let answering = (0..play.daemon_count).find(|daemon| !ended.contains(daemon));
    let are_completed = wait_for_completion(&cell, answering.unwrap(), &report).await;

    println!("{name}: {report:?}, completed {are_completed}");
    print_overlaps(&cell, name, restarted_at);
    print_records(&cell, name, restarted_at, CRASHED_COUNT);
    print_log_lines(&cell, name, restarted_at, CRASHED_COUNT);
    cell.assert_no_conflicting_runs();
    assert!(are_completed, "{name}: a job is not completed");
    has_start_on_unmet_instance(&cell)
}

/// Returns whether a new instance has started a task before it answered a renewal, so that the owner
/// had not met it and the order was for its former instance.
fn has_start_on_unmet_instance(cell: &CellFixture) -> bool {
    cell.workers[..CRASHED_COUNT].iter().any(|worker| {
        let starts = worker.starts();
        let mut starts = starts.iter();
        starts.any(|start| start.life > 0 && start.renewed_at.is_none())
    })
}

/// Waits for the completion of all jobs. Their tasks can have started again once the longest lease
/// has lapsed. Returns whether all are completed in time.
async fn wait_for_completion(cell: &CellFixture, daemon: usize, report: &CutReport) -> bool {
    let last_id = u64::try_from(report.job_count).unwrap() + 1;
    let completion = async {
        for id in 1..=last_id {
            while cell.job_state(daemon, id).await.as_deref() != Some("completed") {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    };
    tokio::time::timeout(RUN_TIME * 3, completion).await.is_ok()
}

/// Guards against a second run of a long task that a new instance has started by an order for the
/// former one, and holds longer than the owner granted (case 1 of the record).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_a_worker_that_is_cut_off_after_its_restart_does_not_run_twice() {
    assert_one_run_each(RecordPlay::new("cut off")).await;
}

/// Guards against the same fault where the owner stops before the new instances are cut off, so that
/// its successor has met none of them (case 2 of the record).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_a_restarted_worker_does_not_run_twice_as_the_owner_stops_before_a_cut() {
    let mut play = RecordPlay::with_owner_stop("stop before cut", OwnerStop::BeforeCut);
    play.submission_end = SubmissionEnd::FirstEvent;
    assert_one_run_each(play).await;
}

/// Guards against the same fault where the owner stops shortly after the cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_a_restarted_worker_does_not_run_twice_as_the_owner_stops_after_a_cut() {
    let play = RecordPlay::with_owner_stop("stop after cut", OwnerStop::AfterCut);
    assert_one_run_each(play).await;
}

/// Guards against a second run where the new instances are cut off before their first answers arrive, as
/// the owner stops, so that no owner has met them and the store has no entry of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_an_instance_that_no_owner_met_does_not_run_twice_as_the_owner_stops() {
    let mut play = RecordPlay::with_owner_stop("never met", OwnerStop::BeforeCut);
    play.cut_delays_ms = [0; CRASHED_COUNT];
    assert_one_run_each(play).await;
}

/// Guards against a second run where the successor of an owner that stops is killed as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_a_restarted_worker_does_not_run_twice_as_two_owners_are_lost() {
    let mut play = RecordPlay::with_owner_stop("two owners", OwnerStop::AfterCut);
    play.is_successor_killed = true;
    assert_one_run_each(play).await;
}

/// Guards against a second run of a task that the last of two new instances holds by an order for one
/// of the former instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_a_worker_that_is_cut_off_after_two_restarts_does_not_run_twice() {
    let mut play = RecordPlay::new("two restarts");
    play.crash_count = 2;
    assert_one_run_each(play).await;
}

/// Guards against a second run of a task whose order reaches the new instance, while the answer that
/// would show its clock is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_a_restarted_worker_whose_answers_are_lost_does_not_run_twice() {
    let mut play = RecordPlay::new("answers lost");
    play.direction = CutDirection::Responses;
    assert_one_run_each(play).await;
}

/// Guards against a second run of a task where the answers that show the clock of the new instance
/// are slow, so that orders for the former instance follow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_a_restarted_worker_with_slow_answers_does_not_run_twice() {
    let mut play = RecordPlay::new("slow answers");
    play.response_delay = Duration::from_millis(400);
    assert_one_run_each(play).await;
}

/// Guards against the second run of a task on an instance that no owner has met, where workers accept leases
/// of 10 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_task_on_an_instance_that_no_owner_met_does_not_run_twice_within_long_leases() {
    let mut play = RecordPlay::with_owner_stop("long leases", OwnerStop::BeforeCut);
    play.cut_delays_ms = [0; CRASHED_COUNT];
    play.max_lease = Duration::from_secs(10);
    assert_one_run_each(play).await;
}
