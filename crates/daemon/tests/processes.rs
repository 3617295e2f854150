//! Tests with real daemon processes under load. Times bound how long a test may
//! take, never how fast the daemons are.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use auburnsaddle_standins::platform::StoreFaults;
use http::StatusCode;
use support::{CallResult, PATIENCE, TestCluster};
use tokio::task::JoinHandle;

/// Calls in progress at once at each daemon.
const CALLERS: usize = 4;

/// Parts of a response that takes far longer than the handover of a shard, so
/// that a daemon which exits too early cuts it.
const STREAMED_CHUNKS: u32 = 200;

/// Sends calls to the named daemons one after the other from several callers
/// until `stop` is set.
fn start_load(
    cluster: &Arc<TestCluster>,
    daemons: &[usize],
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<CallResult>>> {
    let callers = daemons.iter().flat_map(|daemon| [*daemon; CALLERS]);
    callers
        .map(|daemon| {
            let cluster = Arc::clone(cluster);
            let stop = Arc::clone(stop);
            tokio::spawn(async move {
                let mut results = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    results.push(cluster.call(daemon, "token").await);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                results
            })
        })
        .collect()
}

async fn finish_load(stop: &AtomicBool, load: Vec<JoinHandle<Vec<CallResult>>>) -> Vec<CallResult> {
    stop.store(true, Ordering::Relaxed);
    let mut results = Vec::new();
    for caller in load {
        results.extend(caller.await.expect("callers do not panic"));
    }
    results
}

fn done(body: &str) -> CallResult {
    CallResult::Answered(StatusCode::OK, String::new(), format!("done: {body}"))
}

fn is_not_run(result: &CallResult) -> bool {
    matches!(result, CallResult::Answered(_, outcome, _) if outcome == "not-run")
}

/// Waits until a daemon names no shard of `former` any more.
async fn wait_for_takeover(cluster: &TestCluster, daemon: usize, former: &str) {
    let started_at = Instant::now();
    loop {
        let owners = cluster.owners(daemon).await;
        let owned = owners.as_object().is_some_and(|owners| {
            !owners.is_empty() && owners.values().all(|owner| owner != former)
        });
        if owned {
            return;
        }
        assert!(started_at.elapsed() < PATIENCE, "no takeover: {owners}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a daemon that cannot serve a call, and against a process whose
/// metrics or dump cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_serves_a_call() {
    let cluster = TestCluster::start(3).await;

    for daemon in 0..3 {
        let result = cluster.call(daemon, "token").await;
        let metrics = cluster.get(daemon, "/metrics").await;
        let dump = cluster.get(daemon, "/admin/dump").await;

        assert_eq!(result, done("token"));
        assert!(
            matches!(&metrics, CallResult::Answered(_, _, page)
                if page.contains("auburnsaddle_calls_total{outcome=\"completed\"")),
            "{metrics:?}"
        );
        assert!(
            matches!(&dump, CallResult::Answered(_, _, page) if page.contains("store_calls")),
            "{dump:?}"
        );
    }
}

/// Guards against a drain that loses or cuts a response, and against one that
/// does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_loses_no_response() {
    let mut cluster = TestCluster::start(3).await;
    for runner in &cluster.runners {
        let mut runner = runner.lock();
        runner.behaviour.chunks = STREAMED_CHUNKS;
        runner.behaviour.announce_length = true;
    }
    let drained = cluster.daemons.remove(0);
    // The drained daemon is moved to the end so that it can be waited for alone.
    cluster.daemons.push(drained);
    let cluster = Arc::new(cluster);
    let stop = Arc::new(AtomicBool::new(false));
    let load = start_load(&cluster, &[0, 1, 2], &stop);
    tokio::time::sleep(Duration::from_millis(500)).await;

    cluster.daemons[2].terminate();
    wait_for_takeover(&cluster, 0, "daemon-0").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let results = finish_load(&stop, load).await;
    let mut cluster = Arc::into_inner(cluster).expect("all callers have ended");
    let code = cluster.daemons[2].wait_for_exit();

    let body = "done: token".repeat(STREAMED_CHUNKS as usize);
    let whole = CallResult::Answered(StatusCode::OK, String::new(), body);
    let wrong: Vec<_> = results
        .iter()
        .filter(|result| **result != whole && **result != CallResult::NotConnected)
        .filter(|result| !is_not_run(result))
        .collect();
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(results.contains(&whole));
    assert_eq!(code, Some(0));
}

/// Guards against a crash that stops the calls of other daemons or leaves a
/// shard without an owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_is_replaced() {
    let mut cluster = TestCluster::start(3).await;
    cluster.daemons[0].child.kill().expect("the daemon runs");
    let cluster = Arc::new(cluster);
    let stop = Arc::new(AtomicBool::new(false));

    let load = start_load(&cluster, &[1, 2], &stop);
    wait_for_takeover(&cluster, 1, "daemon-0").await;
    let results = finish_load(&stop, load).await;
    let after = cluster.call(1, "after").await;

    let wrong: Vec<_> = results
        .iter()
        .filter(|result| **result != done("token"))
        .collect();
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(after, done("after"));
}

/// Guards against calls that are rejected because the owner of their shard has
/// just died, although a successor can grant them a slot before their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn calls_wait_for_the_successor_of_a_dead_owner() {
    let mut cluster = TestCluster::start_with_one_owner(3).await;
    let owners_before = cluster.owners(1).await;
    cluster.daemons[0].child.kill().expect("the daemon runs");
    let cluster = Arc::new(cluster);
    let stop = Arc::new(AtomicBool::new(false));

    let load = start_load(&cluster, &[1, 2], &stop);
    wait_for_takeover(&cluster, 1, "daemon-0").await;
    let results = finish_load(&stop, load).await;

    let wrong: Vec<_> = results
        .iter()
        .filter(|result| **result != done("token"))
        .collect();
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(results.len() >= 2 * CALLERS);
    let first_owned_all = owners_before
        .as_object()
        .is_some_and(|owners| owners.values().all(|owner| owner == "daemon-0"));
    assert!(first_owned_all, "{owners_before}");
}

/// Guards against plain calls that depend on the store.
#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_continue_without_the_store() {
    let cluster = Arc::new(TestCluster::start(3).await);
    let stop = Arc::new(AtomicBool::new(false));
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });

    let load = start_load(&cluster, &[0, 1, 2], &stop);
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.platform.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let results = finish_load(&stop, load).await;

    let wrong: Vec<_> = results
        .iter()
        .filter(|result| **result != done("token"))
        .collect();
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(!results.is_empty());
}

/// Guards against a short response that looks whole, with and without a length.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_response_is_an_error_for_the_caller() {
    let cluster = TestCluster::start(1).await;

    for announce_length in [false, true] {
        {
            let mut runner = cluster.runners[0].lock();
            runner.behaviour.chunks = 10;
            runner.behaviour.cut_after = Some(4);
            runner.behaviour.announce_length = announce_length;
        }
        let result = cluster.call(0, "token").await;

        assert!(matches!(result, CallResult::BrokenOff(_)), "{result:?}");
    }
}

/// Guards against a refused call that is reported as possibly run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_stream_is_not_run() {
    let cluster = TestCluster::start(1).await;
    cluster.runners[0].lock().behaviour.refuse_stream = true;

    let result = cluster.call(0, "token").await;

    assert!(is_not_run(&result), "{result:?}");
}

/// Guards against a request identifier that is dropped on the way to the runner,
/// and against one that is passed on without a check.
#[tokio::test(flavor = "multi_thread")]
async fn the_request_id_of_a_caller_reaches_the_runner() {
    const ID: &str = "00112233445566778899aabbccddeeff";
    let cluster = TestCluster::start(1).await;

    let result = cluster
        .call_with_header("auburnsaddle-request-id", ID)
        .await;
    let rejected = cluster
        .call_with_header("auburnsaddle-request-id", "x y")
        .await;

    assert_eq!(result, done("token"));
    assert!(matches!(
        rejected,
        CallResult::Answered(StatusCode::BAD_REQUEST, _, _)
    ));
    let starts = cluster.runners[0].lock().starts().to_vec();
    assert_eq!(starts.last().map(String::as_str), Some(ID));
}

/// Guards against heads that exhaust the memory of a daemon, and against an
/// ending of the daemon or of other connections by malformed HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn bad_heads_are_rejected_and_calls_continue() {
    let cluster = TestCluster::start(1).await;
    let many_headers = "x: y\r\n".repeat(500);
    let long_header = format!("x: {}\r\n", "y".repeat(1 << 20));

    let mut answers = Vec::new();
    for headers in [&many_headers, &long_header, "no colon here\r\n"] {
        answers.push(
            cluster
                .send_raw(&format!("GET / HTTP/1.1\r\n{headers}\r\n"))
                .await,
        );
    }
    let result = cluster.call(0, "token").await;

    let accepted: Vec<_> = answers
        .iter()
        .filter(|answer| !answer.is_empty() && !answer.starts_with("HTTP/1.1 4"))
        .collect();
    assert_eq!(accepted, Vec::<&String>::new());
    assert_eq!(result, done("token"));
}
