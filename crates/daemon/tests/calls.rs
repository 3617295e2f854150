//! Tests of calls over real sockets with several owners.

mod support;

use std::{
    convert::Infallible,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::channel::mpsc::unbounded;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use support::{CallResult, SETTLEMENT_OBJECTS, TestCluster, WAIT_TIMEOUT};

/// Calls sent at once to one daemon, whose zone has eight slots.
const CALLS: usize = 14;

/// Time that each call runs, long against the exchange of loans.
const WORK_MS: u64 = 1_000;

/// Several heartbeats, so that the owners have heard of each other's load.
const INTRODUCTION: Duration = Duration::from_secs(2);

/// Part of a body that is too large to be read before a slot is requested.
const LARGE_PART: usize = 100_000;

/// How one upload ended.
#[derive(Debug)]
struct UploadResult {
    status: StatusCode,
    outcome: String,
    body: Bytes,
    starts: usize,
}

impl UploadResult {
    fn is(&self, status: StatusCode, outcome: &str, starts: usize) -> bool {
        self.status == status && self.outcome == outcome && self.starts == starts
    }
}

fn starts(cluster: &TestCluster, request: &str) -> usize {
    let runner = cluster.runners[0].lock();
    let starts = runner.starts().iter();
    starts.filter(|start| start.request == request).count()
}

/// Sends a part of a body to the last daemon and, if there is a second one,
/// that part once a runner has the call. The body ends only if `ends`.
async fn upload(cluster: &TestCluster, parts: &[usize], ends: bool) -> UploadResult {
    let address = cluster.daemons.last().expect("one daemon").address;
    let id = format!("{:032x}", rand::random::<u128>());
    let (sender, body) = unbounded::<Result<_, Infallible>>();
    let send = |size: &usize| {
        let part = Frame::data(Bytes::from(vec![b'x'; *size]));
        sender.unbounded_send(Ok(part)).expect("an open body");
    };
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{address}/v1/services/settlement/redeem"))
        .header("auburnsaddle-request-id", &id)
        .header(
            "auburnsaddle-deadline-ms",
            WAIT_TIMEOUT.as_millis().to_string(),
        )
        .body(StreamBody::new(body))
        .expect("a valid request");
    let exchange = tokio::spawn(client.request(request));
    send(&parts[0]);
    let started_at = Instant::now();
    for part in &parts[1..] {
        while starts(cluster, &id) == 0 {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "the body is not streamed"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        send(part);
    }
    let kept_open = (!ends).then(|| sender.clone());
    drop(sender);
    let answered = tokio::time::timeout(WAIT_TIMEOUT, exchange).await;
    let response = answered.expect("an answer in time").expect("no panic");
    let (head, body) = response.expect("an answer").into_parts();
    drop(kept_open);
    let outcome = head.headers.get("auburnsaddle-outcome");
    let outcome = outcome.map_or("", |value| value.to_str().unwrap_or_default());
    UploadResult {
        status: head.status,
        outcome: outcome.to_owned(),
        body: body.collect().await.expect("a whole body").to_bytes(),
        starts: starts(cluster, &id),
    }
}

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
        .map(|runner| runner.lock().busy_counts().1)
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

/// Guards against large bodies that are held in memory, limits that end with
/// the first part of a body, calls that are sent again with a part of their
/// body, and a started call that is reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_is_streamed_within_its_limits() {
    let limited = "idempotent = true\nmax_body_bytes = 200000";
    let objects = SETTLEMENT_OBJECTS.replacen("idempotent = true", limited, 1);
    let mut cluster = TestCluster::start_with_objects(1, &objects).await;
    let impatient = cluster.start_daemon(1, &["--body-timeout-ms", "500"]);
    cluster.wait_until_answering(impatient.address).await;
    cluster.daemons.push(impatient);
    // First attempts fill the retry budget, which starts empty.
    for _ in 0..40 {
        cluster.call(1, "token").await;
    }

    let streamed = upload(&cluster, &[LARGE_PART, LARGE_PART], true).await;
    let too_large = upload(&cluster, &[LARGE_PART, LARGE_PART + 1], false).await;
    let at_once = upload(&cluster, &[2 * LARGE_PART + 1], false).await;
    let stalled = upload(&cluster, &[LARGE_PART], false).await;
    let not_sent = upload(&cluster, &[1], false).await;

    assert!(streamed.is(StatusCode::OK, "", 1), "{}", streamed.status);
    assert_eq!(streamed.body.len(), "done: ".len() + 2 * LARGE_PART);
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    assert!(too_large.is(status, "unknown", 1), "{too_large:?}");
    assert_eq!(at_once.status, status, "{at_once:?}");
    let status = StatusCode::REQUEST_TIMEOUT;
    assert!(stalled.is(status, "unknown", 1), "{stalled:?}");
    assert!(not_sent.is(status, "not-run", 0), "{not_sent:?}");
}
