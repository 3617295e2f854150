//! A short soak run with a fixed seed, and the seeds of soak runs that failed.
//!
//! Long runs are started by hand with `auburnsaddle-soak`; see DEVELOPERS.md.

use std::{path::PathBuf, time::Duration};

use auburnsaddle_soak::{SoakReport, SoakRun, SoakSize};

async fn run_soak(seed: u64, daemons: usize, seconds: u64, lasting_tasks: usize) -> SoakReport {
    let run = SoakRun {
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_auburnsaddled")),
        output_dir: std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id())),
        seed,
        size: SoakSize {
            daemons,
            workers: 6,
            load_duration: Duration::from_secs(seconds),
            lasting_tasks,
        },
    };
    run.execute().await.unwrap()
}

/// Guards against violated guarantees under overlapping faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_violates_no_guarantee() {
    let report = run_soak(1, 3, 10, 0).await;

    assert_eq!(report.broken_promises, Vec::new());
    assert!(report.accepted_jobs > 0 && report.task_runs >= report.accepted_jobs);
}

/// Guards against tasks that last and stay away after the loss of their worker and, 1.4 s later,
/// of the owner for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_with_losses_violates_no_guarantee() {
    let report = run_soak(9, 3, 14, 6).await;

    assert_eq!(report.broken_promises, Vec::new());
    assert!(report.lasting_runs > 6, "no task was at the lost worker");
}
