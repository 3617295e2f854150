//! A short seeded run of the soak, and the seeds that ever failed.
//!
//! The long runs are `auburnsaddle-soak` by hand; see DEVELOPERS.md.

use std::{path::PathBuf, time::Duration};

use auburnsaddle_soak::{SoakReport, SoakRun, SoakSize};

async fn play(seed: u64, daemons: usize, seconds: u64) -> SoakReport {
    let run = SoakRun {
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_auburnsaddled")),
        output_dir: std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id())),
        seed,
        size: SoakSize {
            daemons,
            workers: 6,
            load_duration: Duration::from_secs(seconds),
        },
    };
    run.execute().await.unwrap()
}

/// Guards against broken promises under faults that overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_keeps_every_promise() {
    let report = play(1, 3, 10).await;

    assert_eq!(report.broken_promises, Vec::new());
    assert!(report.accepted_jobs > 0 && report.task_runs >= report.accepted_jobs);
}
