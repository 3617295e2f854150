//! Tests of calls over real sockets with several owners.

mod support;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use support::{CallResult, TestCluster};

/// Calls sent at once to one daemon, whose zone has eight slots.
const CALLS: usize = 14;

/// Time that each call runs, long against the exchange of loans.
const WORK_MS: u64 = 1_000;

/// Several heartbeats, so that the owners have heard of each other's load.
const INTRODUCTION: Duration = Duration::from_secs(2);

/// Sends calls to the first daemon at once and returns their results.
async fn send_burst(cluster: &Arc<TestCluster>) -> Vec<CallResult> {
    let calls: Vec<_> = (0..CALLS)
        .map(|_| {
            let cluster = Arc::clone(cluster);
            tokio::spawn(async move { cluster.call(0, "token").await })
        })
        .collect();
    let mut results = Vec::new();
    for call in calls {
        results.push(call.await.expect("callers do not panic"));
    }
    results
}

/// Guards against a full zone that leaves the slots of another zone idle, and
/// against loans that give a runner more calls than it has slots.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_zone_uses_the_slots_of_another() {
    let cluster = Arc::new(TestCluster::start(2).await);
    tokio::time::sleep(INTRODUCTION).await;
    for runner in &cluster.runners {
        runner.lock().behaviour.work_ms = WORK_MS;
    }

    let results = send_burst(&cluster).await;

    let is_done = |result: &CallResult| matches!(result, CallResult::Answered(StatusCode::OK, ..));
    assert!(results.iter().all(is_done), "{results:?}");
    let peaks: Vec<_> = cluster
        .runners
        .iter()
        .map(|runner| runner.lock().busy().1)
        .collect();
    assert!(peaks.iter().all(|peak| *peak <= 8), "{peaks:?}");
    assert!(peaks.iter().sum::<u32>() > 8, "{peaks:?}");
    let metrics = cluster.get(0, "/metrics").await;
    let is_borrowed =
        |page: &str| page.contains("slot_grants") && page.contains("borrowed=\"true\"");
    assert!(
        matches!(&metrics, CallResult::Answered(_, _, page) if is_borrowed(page)),
        "{metrics:?}"
    );
}
