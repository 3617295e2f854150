//! Polls the configuration version in force at each daemon.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::task::JoinHandle;

use super::{TestCluster, WAIT_TIMEOUT};

/// Pause between two status requests to a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Polls all daemons and records each decrease of the version in force at a
/// daemon, which must never happen.
pub struct VersionWatch {
    stop: Arc<AtomicBool>,
    watchers: Vec<JoinHandle<Vec<(u64, u64)>>>,
}

impl VersionWatch {
    /// Starts polling all daemons of a cluster.
    pub fn start(cluster: &Arc<TestCluster>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let watchers = (0..cluster.daemons.len()).map(|daemon| {
            let cluster = Arc::clone(cluster);
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let mut highest = 0;
                let mut reverts = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    if let Some(version) = cluster.version(daemon).await {
                        if version < highest {
                            reverts.push((highest, version));
                        }
                        highest = highest.max(version);
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                reverts
            })
        });
        Self {
            watchers: watchers.collect(),
            stop,
        }
    }

    /// Stops polling and returns the decreases, as pairs of the highest earlier
    /// version and the lower one.
    pub async fn finish(self) -> Vec<(u64, u64)> {
        self.stop.store(true, Ordering::Relaxed);
        let mut reverts = Vec::new();
        for watcher in self.watchers {
            reverts.extend(watcher.await.expect("watchers do not panic"));
        }
        reverts
    }
}

/// Waits until a version is in force at all of `daemons` and returns the time
/// waited. Panics at once if one of the processes has ended.
pub async fn wait_for_version(cluster: &TestCluster, daemons: &[usize], version: u64) -> Duration {
    let started_at = Instant::now();
    for daemon in daemons {
        while cluster.version(*daemon).await != Some(version) {
            cluster.daemons[*daemon].assert_not_ended();
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "version {version} is not in force at daemon {daemon}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    started_at.elapsed()
}
