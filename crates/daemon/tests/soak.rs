//! A short soak run with a fixed seed, and the seeds of soak runs that failed.
//!
//! Long runs are started by hand with `auburnsaddle-soak`; see DEVELOPERS.md.

use std::{path::PathBuf, time::Duration};

use auburnsaddle_soak::{SoakReport, SoakRun, SoakSize};

fn soak_size(daemons: usize, workers: usize, seconds: u64) -> SoakSize {
    SoakSize {
        daemons,
        workers,
        load_duration: Duration::from_secs(seconds),
        lasting_tasks: 0,
        restart_series: 0,
        clock_steps: 0,
    }
}

/// Returns a size with as many tasks that last as workers.
fn lasting_size(daemons: usize, workers: usize, seconds: u64) -> SoakSize {
    SoakSize {
        lasting_tasks: workers,
        ..soak_size(daemons, workers, seconds)
    }
}

/// Returns the size of a run by hand, with three series of restarts of workers.
fn restart_size() -> SoakSize {
    SoakSize {
        restart_series: 3,
        ..lasting_size(4, 8, 20)
    }
}

async fn run_soak(seed: u64, size: SoakSize) -> SoakReport {
    let run = SoakRun {
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_auburnsaddled")),
        output_dir: std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id())),
        seed,
        size,
    };
    run.execute().await.unwrap()
}

/// Guards against violated guarantees under overlapping faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_violates_no_guarantee() {
    let report = run_soak(1, soak_size(3, 6, 10)).await;

    assert_eq!(report.broken_promises, Vec::new());
    assert!(report.accepted_jobs > 0 && report.task_runs >= report.accepted_jobs);
}

/// Guards against tasks that last and stay away after the loss of their worker and, 1.4 s later,
/// of the owner for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_with_losses_violates_no_guarantee() {
    let report = run_soak(9, lasting_size(3, 6, 14)).await;

    assert_eq!(report.broken_promises, Vec::new());
    assert!(report.lasting_runs > 6, "no task was at the lost worker");
}

/// Guards against tasks that last and stay away for the longest time if the lost owner has taken
/// over before any other daemon was registered again: it has no witnesses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_loss_of_an_owner_without_witnesses_violates_no_guarantee() {
    let report = run_soak(122_050, lasting_size(4, 8, 14)).await;

    assert_eq!(report.broken_promises, Vec::new());
}

/// Guards against second runs of tasks whose worker is restarted with an earlier clock and cut off
/// before its owner has met the new instance (docs/incidents/twice-former-clock.md).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_workers_that_are_cut_off_violate_no_guarantee() {
    let report = run_soak(460_011, restart_size()).await;

    assert_eq!(report.broken_promises, Vec::new());
}

/// Guards against the same with a worker on which one task is at work in both places.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_worker_with_one_task_violates_no_guarantee() {
    let report = run_soak(460_008, restart_size()).await;

    assert_eq!(report.broken_promises, Vec::new());
}

/// Guards against second runs of tasks whose worker is restarted on a host with a wrong time of day and
/// cut off before its owner stands still: the age of the instance by the time of day hid from the
/// successor that its runs may last for 10 s (docs/incidents/twice-recut-record.md).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn workers_with_wrong_start_times_that_are_cut_off_violate_no_guarantee() {
    let size = SoakSize {
        clock_steps: 1,
        ..restart_size()
    };

    let report = run_soak(452_026, size).await;

    assert_eq!(report.broken_promises, Vec::new());
}
