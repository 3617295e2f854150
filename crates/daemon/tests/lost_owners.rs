//! Tests of tasks that last and whose worker is lost for good together with the owner
//! of their service.

#[path = "support/cell.rs"]
mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use auburnsaddle_platform_standin::{StartRecord, WorkerStandin};
use http::StatusCode;
use serde_json::{Value, json};
use support::{CellFixture, start_cell_with_workers};

/// Time until all tasks that last must be at work again, from the last event: `contact-ms`
/// (3 s), 4 s and 3 s of the rule LOST of the platform.
const RESTORE_BOUND: Duration = Duration::from_secs(10);

/// The same bound if most daemons are lost with the owner: a successor may then have to wait for
/// longer until it is known that the former owner extends no lease.
const MOST_LOST_BOUND: Duration = Duration::from_secs(12);

/// Time for which a test waits beyond the bound, so that a failure shows the time taken.
const WATCH_TIMEOUT: Duration = Duration::from_secs(35);

/// Pause between two checks of the runs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time from the loss of a worker until that of the owner.
const OWNER_LOSS_DELAY: Duration = Duration::from_secs(1);

/// Time from the loss of a worker until the platform removes its entry: three heartbeat
/// intervals of 1.5 s.
const ENTRY_REMOVAL_DELAY: Duration = Duration::from_millis(4_500);

/// Run time that no test reaches.
const ENDLESS_RUN_TIME: Duration = Duration::from_hours(1);

const WORKER_COUNT: usize = 6;
const TASK_COUNT: usize = 6;

/// Returns a job whose tasks last, at most two of which share a worker. The workers have
/// room for all of them after the loss of two.
fn lasting_job() -> Value {
    json!({
        "command": "sell",
        "pipeline": [{
            "count": TASK_COUNT, "cpu": 1_000, "mem-mb": 100, "long-running": true,
            "anti-affinity": 2,
        }],
    })
}

/// Starts a cell whose tasks that last are all at work, and returns it with its owner.
async fn start_lasting_cell(daemons: usize) -> (CellFixture, usize) {
    let cell = start_cell_with_workers(daemons, WORKER_COUNT, ENDLESS_RUN_TIME).await;
    assert_eq!(
        cell.submit(0, 1, &lasting_job()).await,
        Some(StatusCode::OK)
    );
    cell.wait_for("all tasks to be at work", || async {
        running_tasks(&cell).len() == TASK_COUNT
    })
    .await;
    // The workers have a full lease and the owner's state is committed.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let owner = cell.wait_for_owner().await;
    (cell, owner)
}

fn is_running(start: &StartRecord) -> bool {
    start.ended.is_none()
}

fn running_tasks(cell: &CellFixture) -> BTreeSet<String> {
    let starts = cell.task_starts().into_iter();
    starts.filter(is_running).map(|start| start.task).collect()
}

/// Loses the workers with the most runs for good. The platform removes their entries later.
fn lose_workers(cell: &CellFixture, count: usize) {
    let run_count = |worker: &WorkerStandin| {
        worker
            .starts()
            .iter()
            .filter(|start| is_running(start))
            .count()
    };
    let mut workers: Vec<&WorkerStandin> = cell.workers.iter().collect();
    workers.sort_by_key(|worker| std::cmp::Reverse(run_count(worker)));
    for worker in workers.into_iter().take(count) {
        assert!(run_count(worker) > 0, "a lost worker has no run");
        worker.lose();
        let (store, key) = (cell.store.clone(), worker.registration_key());
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_REMOVAL_DELAY).await;
            store.remove(&key);
        });
    }
}

/// Watches the runs until all tasks are at work, and at least for `RESTORE_BOUND`. Returns
/// the time from the last event until the last task was at work, by the workers' records;
/// `None` if a task is still away.
async fn watch_until_restored(cell: &CellFixture, last_event: Instant) -> Option<Duration> {
    let is_restored = || running_tasks(cell).len() == TASK_COUNT;
    while last_event.elapsed() < RESTORE_BOUND
        || !is_restored() && last_event.elapsed() < WATCH_TIMEOUT
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let starts = cell.task_starts().into_iter();
    let latest = starts
        .filter(is_running)
        .map(|start| start.began_at)
        .max()?;
    is_restored().then(|| latest.saturating_duration_since(last_event))
}

/// Prints what the workers and the daemons recorded, in seconds from the last event.
fn print_records(cell: &CellFixture, case: &str, last_event: Instant) {
    let seconds = |at: Instant| {
        at.saturating_duration_since(last_event).as_secs_f64()
            - last_event.saturating_duration_since(at).as_secs_f64()
    };
    for (number, worker) in (1..).zip(&cell.workers) {
        for start in worker.starts() {
            let ended = start.ended.map(|(at, end)| (seconds(at), end));
            println!(
                "{case}: w{number} {} attempt {} began {:.2} ended {ended:.2?}",
                start.task,
                start.attempt,
                seconds(start.began_at)
            );
        }
    }
    for (index, _) in cell.daemons.iter().enumerate() {
        for message in [
            "this daemon owns the service",
            "a worker has not answered since the takeover; its runs are kept until its lease lapses",
            "the runs of a worker have ended",
        ] {
            for line in cell.log_lines_with(index, message) {
                println!("{case}: daemon-{index} {line}");
            }
        }
    }
}

/// Asserts that all tasks were at work again in time and that none ran twice at once.
fn assert_restored(
    cell: &CellFixture,
    case: &str,
    last_event: Instant,
    restored: Option<Duration>,
) {
    assert_restored_within(cell, case, last_event, restored, RESTORE_BOUND);
}

/// Like [`assert_restored`], for any bound.
fn assert_restored_within(
    cell: &CellFixture,
    case: &str,
    last_event: Instant,
    restored: Option<Duration>,
    bound: Duration,
) {
    println!("{case}: all tasks at work after {restored:.2?}");
    print_records(cell, case, last_event);
    cell.assert_no_conflicting_runs();
    assert!(
        restored.is_some_and(|time| time <= bound),
        "{case}: all tasks at work after {restored:?}"
    );
}

fn kill(cell: &mut CellFixture, daemon: usize) {
    cell.daemons[daemon].child.kill().unwrap();
}

/// Guards against tasks that stay away because the successor waits for an owner that was
/// killed for good soon after their worker was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_return_after_their_worker_and_then_the_owner_are_lost() {
    let (mut cell, owner) = start_lasting_cell(3).await;

    lose_workers(&cell, 1);
    tokio::time::sleep(OWNER_LOSS_DELAY).await;
    kill(&mut cell, owner);
    let last_event = Instant::now();
    let restored = watch_until_restored(&cell, last_event).await;

    assert_restored(&cell, "owner 1 s after the worker", last_event, restored);
}

/// Guards against tasks that stay away because the owner was killed for good before it
/// could notice the loss of their worker.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_return_after_their_worker_and_the_owner_are_lost_at_once() {
    let (mut cell, owner) = start_lasting_cell(3).await;

    lose_workers(&cell, 1);
    kill(&mut cell, owner);
    let last_event = Instant::now();
    let restored = watch_until_restored(&cell, last_event).await;

    assert_restored(&cell, "worker and owner at once", last_event, restored);
}

/// Guards against tasks that stay away while an owner is suspended, and against second
/// runs of them once it resumes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_two_lost_workers_return_while_the_owner_is_suspended() {
    let (cell, owner) = start_lasting_cell(3).await;

    lose_workers(&cell, 2);
    tokio::time::sleep(OWNER_LOSS_DELAY).await;
    cell.signal(owner, "-STOP");
    let last_event = Instant::now();
    tokio::time::sleep(Duration::from_secs(8)).await;
    cell.signal(owner, "-CONT");
    let restored = watch_until_restored(&cell, last_event).await;
    // The resumed daemon has had time to act.
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert_restored(&cell, "owner suspended for 8 s", last_event, restored);
}

/// Guards against tasks that stay away because another daemon was killed for good with
/// the owner, so that fewer daemons can show that the owner has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_return_after_the_owner_and_another_daemon_are_lost() {
    let (mut cell, owner) = start_lasting_cell(5).await;

    lose_workers(&cell, 1);
    tokio::time::sleep(OWNER_LOSS_DELAY).await;
    kill(&mut cell, owner);
    kill(&mut cell, (owner + 1) % 5);
    let last_event = Instant::now();
    let restored = watch_until_restored(&cell, last_event).await;

    assert_restored(&cell, "owner and another daemon", last_event, restored);
}

/// Guards against tasks that stay away because most daemons were killed for good with the owner, so
/// that less than half of its witnesses can answer a successor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_return_after_the_owner_and_most_daemons_are_lost() {
    let (mut cell, owner) = start_lasting_cell(5).await;

    lose_workers(&cell, 1);
    for other in 0..4 {
        kill(&mut cell, (owner + other) % 5);
    }
    let last_event = Instant::now();
    let restored = watch_until_restored(&cell, last_event).await;

    assert_restored_within(
        &cell,
        "owner and most daemons",
        last_event,
        restored,
        MOST_LOST_BOUND,
    );
}

/// Guards against tasks that stay away while the owner and most daemons do not answer, and against
/// second runs of them once these daemons, which still live, resume.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_return_while_the_owner_and_most_daemons_are_suspended() {
    let (cell, owner) = start_lasting_cell(5).await;

    lose_workers(&cell, 1);
    for other in 0..4 {
        cell.signal((owner + other) % 5, "-STOP");
    }
    let last_event = Instant::now();
    let restored = watch_until_restored(&cell, last_event).await;
    for other in 0..4 {
        cell.signal((owner + other) % 5, "-CONT");
    }
    // The resumed daemons have had time to act.
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert_restored_within(
        &cell,
        "owner and most daemons suspended",
        last_event,
        restored,
        MOST_LOST_BOUND,
    );
}

/// Guards against tasks that stay away because each takeover begins the wait for the
/// earlier owners anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_return_after_two_owners_in_turn_are_lost() {
    let (mut cell, owner) = start_lasting_cell(5).await;

    lose_workers(&cell, 1);
    tokio::time::sleep(OWNER_LOSS_DELAY).await;
    kill(&mut cell, owner);
    let first_loss = Instant::now();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let successor = cell.wait_for_owner().await;
    kill(&mut cell, successor);
    let last_event = Instant::now();
    println!(
        "two owners in turn: daemon-{owner}, then daemon-{successor} after {:.2?}",
        last_event - first_loss
    );
    let restored = watch_until_restored(&cell, last_event).await;

    assert_ne!(successor, owner);
    assert_restored(&cell, "two owners in turn", last_event, restored);
}

/// Guards against runs that end, or start again elsewhere, because no daemon reaches the
/// store for a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_outage_ends_no_run_of_a_task_that_lasts() {
    let (cell, _) = start_lasting_cell(3).await;
    let before = cell.task_starts();

    cell.store.set_unavailable(true);
    tokio::time::sleep(Duration::from_secs(8)).await;
    cell.store.set_unavailable(false);
    tokio::time::sleep(RESTORE_BOUND).await;

    assert_eq!(before.len(), TASK_COUNT);
    assert_eq!(cell.task_starts(), before);
}

/// Guards against runs that end because half of the other daemons are suspended in an outage of the
/// store, so that not all witnesses confirm the owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_outage_ends_no_run_while_half_of_the_witnesses_answer() {
    let (cell, owner) = start_lasting_cell(5).await;
    let before = cell.task_starts();

    cell.store.set_unavailable(true);
    for other in 1..3 {
        cell.signal((owner + other) % 5, "-STOP");
    }
    tokio::time::sleep(Duration::from_secs(7)).await;
    cell.store.set_unavailable(false);
    for other in 1..3 {
        cell.signal((owner + other) % 5, "-CONT");
    }
    tokio::time::sleep(RESTORE_BOUND).await;

    assert_eq!(before.len(), TASK_COUNT);
    assert_eq!(cell.task_starts(), before);
}

/// Guards against tasks that stay away because the lost owner had no witnesses: it had taken over
/// before any other daemon was registered, as after a restart of all daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_return_after_an_owner_without_witnesses_is_lost() {
    let (mut cell, owner) = start_lasting_cell(1).await;

    lose_workers(&cell, 1);
    tokio::time::sleep(OWNER_LOSS_DELAY).await;
    kill(&mut cell, owner);
    cell.launch("daemon-1");
    cell.launch("daemon-2");
    let last_event = Instant::now();
    let restored = watch_until_restored(&cell, last_event).await;

    assert_restored(&cell, "owner without witnesses", last_event, restored);
}
