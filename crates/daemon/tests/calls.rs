//! Tests of calls through real daemon processes, with several shard owners.

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

/// Concurrent calls at one daemon, whose zone has eight slots.
const BURST_CALLS: usize = 14;

/// Run time of each call, much longer than the exchange of messages for a loan.
const WORK_MS: u64 = 1_000;

/// Several heartbeat intervals, after which the owners know each other's load.
const LOAD_EXCHANGE_TIME: Duration = Duration::from_secs(2);

/// Size of a body part that is too large to be buffered before a slot is requested.
const LARGE_PART_BYTES: usize = 100_000;

/// Response to an upload, and how often runners started the call.
#[derive(Debug)]
struct UploadResult {
    status: StatusCode,
    outcome: String,
    body: Bytes,
    start_count: usize,
}

impl UploadResult {
    fn has_result(&self, status: StatusCode, outcome: &str, start_count: usize) -> bool {
        self.status == status && self.outcome == outcome && self.start_count == start_count
    }
}

fn count_starts(cluster: &TestCluster, request_id: &str) -> usize {
    let runner = cluster.runners[0].lock();
    let starts = runner.starts().iter();
    starts.filter(|start| start.request == request_id).count()
}

/// Uploads a body to the last daemon. The first part is sent at once, each further
/// part once a runner has started the call. The body is completed only if
/// `completes` is set.
async fn upload(cluster: &TestCluster, part_sizes: &[usize], completes: bool) -> UploadResult {
    let address = cluster.daemons.last().expect("one daemon").address;
    let id = format!("{:032x}", rand::random::<u128>());
    let (sender, body) = unbounded::<Result<_, Infallible>>();
    let send = |size: &usize| {
        let part = Frame::data(Bytes::from(vec![b'x'; *size]));
        sender
            .unbounded_send(Ok(part))
            .expect("an open request body");
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
    send(&part_sizes[0]);
    let started_at = Instant::now();
    for size in &part_sizes[1..] {
        while count_starts(cluster, &id) == 0 {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "no runner started the call before the body ended"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        send(size);
    }
    let kept_open = (!completes).then(|| sender.clone());
    drop(sender);
    let timed_result = tokio::time::timeout(WAIT_TIMEOUT, exchange).await;
    let response = timed_result.expect("a response in time").expect("no panic");
    let (head, body) = response.expect("a response").into_parts();
    drop(kept_open);
    let outcome = head.headers.get("auburnsaddle-outcome");
    let outcome = outcome.map_or("", |value| value.to_str().unwrap_or_default());
    UploadResult {
        status: head.status,
        outcome: outcome.to_owned(),
        body: body.collect().await.expect("a complete body").to_bytes(),
        start_count: count_starts(cluster, &id),
    }
}

/// Sends concurrent calls to the first daemon and returns their results.
async fn send_burst(cluster: &Arc<TestCluster>) -> Vec<CallResult> {
    let calls: Vec<_> = (0..BURST_CALLS)
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

/// Guards against a zone without free slots that does not borrow idle slots of
/// another zone, and against loans that give a runner more calls than its slots.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_zone_borrows_slots_of_another_zone() {
    let cluster = Arc::new(TestCluster::start(2).await);
    tokio::time::sleep(LOAD_EXCHANGE_TIME).await;
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

/// Guards against large bodies that are buffered in memory, limits that apply only
/// to the first part of a body, retries with an incomplete body, and a started
/// call that is reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_is_streamed_within_its_limits() {
    let limited = "idempotent = true\nmax_body_bytes = 200000";
    let objects = SETTLEMENT_OBJECTS.replacen("idempotent = true", limited, 1);
    let mut cluster = TestCluster::start_with_objects(1, &objects).await;
    let short_timeout_daemon = cluster.start_daemon(1, &["--body-timeout-ms", "500"]);
    cluster
        .wait_until_answering(short_timeout_daemon.address)
        .await;
    cluster.daemons.push(short_timeout_daemon);
    // First attempts fill the retry budget, which starts empty.
    for _ in 0..40 {
        cluster.call(1, "token").await;
    }

    let streamed = upload(&cluster, &[LARGE_PART_BYTES, LARGE_PART_BYTES], true).await;
    let too_large = upload(&cluster, &[LARGE_PART_BYTES, LARGE_PART_BYTES + 1], false).await;
    let too_large_first_part = upload(&cluster, &[2 * LARGE_PART_BYTES + 1], false).await;
    let stalled = upload(&cluster, &[LARGE_PART_BYTES], false).await;
    let incomplete_first_part = upload(&cluster, &[1], false).await;

    assert!(
        streamed.has_result(StatusCode::OK, "", 1),
        "{}",
        streamed.status
    );
    assert_eq!(streamed.body.len(), "done: ".len() + 2 * LARGE_PART_BYTES);
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    assert!(too_large.has_result(status, "unknown", 1), "{too_large:?}");
    assert_eq!(
        too_large_first_part.status, status,
        "{too_large_first_part:?}"
    );
    let status = StatusCode::REQUEST_TIMEOUT;
    assert!(stalled.has_result(status, "unknown", 1), "{stalled:?}");
    assert!(
        incomplete_first_part.has_result(status, "not-run", 0),
        "{incomplete_first_part:?}"
    );
}
