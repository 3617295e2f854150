//! Tests of idempotency keys with real daemon processes. The logs of the runners
//! show which calls were started.

mod support;

use std::time::{Duration, Instant};

use auburnsaddle_core::{digest_key, key_shard_index};
use auburnsaddle_standins::platform::StoreFaults;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use support::{CallResult, SETTLEMENT_OBJECTS, TestCluster, WAIT_TIMEOUT};

/// Run time of calls that a test interrupts.
const LONG_WORK_MS: u64 = 1_500;

/// Deadline of a call whose owner is killed; its response may arrive only then.
const SHORT_DEADLINE: Duration = Duration::from_secs(8);

/// Time after which a terminated daemon has started to hand over its shards.
const DRAIN_START_DELAY: Duration = Duration::from_millis(300);

/// Duration of a shard's lease in the store.
const SHARD_LEASE_DURATION: Duration = Duration::from_secs(10);

/// Content type of the calls; the runners return it with their responses.
const TOKEN_CONTENT_TYPE: &str = "text/x-token";

/// A call as its caller sends it, usually with an idempotency key.
#[derive(Clone, Debug)]
struct KeyedCall {
    daemon: usize,
    service: &'static str,
    key: Option<String>,
    body: String,
    request_id: u128,
    deadline: Duration,
}

/// The response as its caller receives it.
#[derive(Debug)]
struct KeyedResponse {
    status: StatusCode,
    outcome: String,
    is_replayed: bool,
    has_retry_after: bool,
    content_type: String,
    body: String,
}

impl KeyedResponse {
    fn is_done(&self, body: &str) -> bool {
        self.status == StatusCode::OK && self.body == format!("done: {body}")
    }

    fn is_unknown(&self) -> bool {
        self.status == StatusCode::CONFLICT && self.outcome == "unknown"
    }

    fn is_not_run(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE && self.outcome == "not-run"
    }
}

fn keyed_call(daemon: usize, key: &str, request_id: u128) -> KeyedCall {
    KeyedCall {
        daemon,
        service: "settlement",
        key: Some(key.to_owned()),
        body: "token".to_owned(),
        request_id,
        deadline: WAIT_TIMEOUT,
    }
}

async fn send_call(cluster: &TestCluster, call: KeyedCall) -> KeyedResponse {
    let address = cluster.daemons[call.daemon].address;
    let uri = format!("http://{address}/v1/services/{}/redeem", call.service);
    let request = Request::post(uri)
        .header("content-type", TOKEN_CONTENT_TYPE)
        .header(
            "auburnsaddle-request-id",
            format!("{:032x}", call.request_id),
        )
        .header(
            "auburnsaddle-deadline-ms",
            call.deadline.as_millis().to_string(),
        );
    let request = match call.key {
        Some(key) => request.header("idempotency-key", key),
        None => request,
    };
    let request = request
        .body(Full::from(call.body))
        .expect("a valid request");
    let client: Client<_, Full<bytes::Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = tokio::time::timeout(WAIT_TIMEOUT * 2, client.request(request)).await;
    let response = response.expect("a response in time").expect("a response");
    let (parts, body) = response.into_parts();
    let header = |name: &str| {
        let value = parts.headers.get(name);
        value.map(|value| value.to_str().unwrap_or_default().to_owned())
    };
    let body = body.collect().await.expect("a complete body").to_bytes();
    KeyedResponse {
        status: parts.status,
        outcome: header("auburnsaddle-outcome").unwrap_or_default(),
        is_replayed: header("auburnsaddle-replayed").is_some_and(|value| value == "true"),
        has_retry_after: header("retry-after").is_some(),
        content_type: header("content-type").unwrap_or_default(),
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// Returns the number of calls with these request ids that the runners started.
fn count_starts(cluster: &TestCluster, request_ids: &[u128]) -> usize {
    let ids: Vec<_> = request_ids.iter().map(|id| format!("{id:032x}")).collect();
    let started = |runner: &auburnsaddle_standins::runner::SharedRunner| {
        let runner = runner.lock();
        let matching = runner
            .starts()
            .iter()
            .filter(|start| ids.contains(&start.request));
        matching.count()
    };
    cluster.runners.iter().map(started).sum()
}

async fn wait_for_start(cluster: &TestCluster, request_id: u128) {
    let started_at = Instant::now();
    while count_starts(cluster, &[request_id]) == 0 {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "call {request_id} was not started"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns an idempotency key whose shard a daemon owns.
async fn find_key_owned_by(cluster: &TestCluster, daemon: usize) -> String {
    let owners = cluster.owners(daemon).await;
    let name = format!("daemon-{daemon}");
    (0..10_000)
        .map(|index| format!("key-{index}"))
        .find(|key| {
            let index = key_shard_index(&digest_key(&"settlement".into(), None, key));
            owners[format!("key/nordeste/{index}")] == *name
        })
        .expect("the daemon owns a key shard")
}

fn set_work_ms(cluster: &TestCluster, work_ms: u64) {
    for runner in &cluster.runners {
        runner.lock().behaviour.work_ms = work_ms;
    }
}

/// Guards against a redemption that runs twice when its caller sends it to two
/// daemons, and against a replayed response that is not marked as one.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_two_daemons_runs_once() {
    let cluster = TestCluster::start(3).await;
    set_work_ms(&cluster, 200);

    let (first, second) = tokio::join!(
        send_call(&cluster, keyed_call(0, "k-1", 1)),
        send_call(&cluster, keyed_call(1, "k-1", 2))
    );
    let later = send_call(&cluster, keyed_call(2, "k-1", 3)).await;

    assert!(first.is_done("token") && second.is_done("token"));
    assert_eq!(
        u8::from(first.is_replayed) + u8::from(second.is_replayed),
        1
    );
    assert!(later.is_done("token") && later.is_replayed, "{later:?}");
    assert_eq!(
        [&first.content_type, &later.content_type],
        [TOKEN_CONTENT_TYPE; 2]
    );
    assert_eq!(count_starts(&cluster, &[1, 2, 3]), 1);
}

/// Guards against log lines without the request id at one of the daemons that
/// handle the request, against calls that block each other because they have the
/// same request id, and against runners that receive the full time-out of a call
/// instead of its remaining time.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_logged_under_its_id_at_both_daemons() {
    let debug = ["--log-level", "debug"];
    let cluster = TestCluster::start_with_settings(2, SETTLEMENT_OBJECTS, &debug).await;
    let key = find_key_owned_by(&cluster, 1).await;
    let unkeyed_call = KeyedCall {
        key: None,
        ..keyed_call(0, "", 8)
    };

    let response = send_call(&cluster, keyed_call(0, &key, 7)).await;
    let remaining_ms = cluster.runners[1].lock().deadline_ms;
    let same = tokio::join!(
        send_call(&cluster, unkeyed_call.clone()),
        send_call(&cluster, unkeyed_call)
    );

    assert!(response.is_done("token"), "{response:?}");
    assert!(same.0.is_done("token") && same.1.is_done("token"));
    let patience = u64::try_from(WAIT_TIMEOUT.as_millis()).expect("a time limit that fits u64");
    assert!(
        remaining_ms.is_some_and(|remaining_ms| remaining_ms < patience),
        "{remaining_ms:?}"
    );
    assert_eq!(
        (count_starts(&cluster, &[7]), count_starts(&cluster, &[8])),
        (1, 2)
    );
    let started_at = Instant::now();
    let expected = [
        vec!["call received", "call with a key answered"],
        vec!["call with a key from a peer", "slot granted"],
    ];
    let logged = || {
        let daemons = cluster.daemons.iter();
        let messages: Vec<_> = daemons.map(|daemon| daemon.request_messages(7)).collect();
        messages
    };
    while logged() != expected {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{:?}", logged());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a key that is accepted for different requests, against calls
/// without a key to a service that requires one, and against large responses that
/// are truncated for their first caller.
#[tokio::test(flavor = "multi_thread")]
async fn mismatched_and_missing_keys_are_rejected_and_large_bodies_are_not_stored() {
    let cluster = TestCluster::start(1).await;
    let large = KeyedCall {
        body: "x".repeat(3_000),
        ..keyed_call(0, "large", 2)
    };
    let unkeyed = KeyedCall {
        service: "orders",
        key: None,
        ..keyed_call(0, "", 3)
    };

    send_call(&cluster, keyed_call(0, "k-1", 1)).await;
    let other = KeyedCall {
        body: "other".to_owned(),
        ..keyed_call(0, "k-1", 4)
    };
    let other = send_call(&cluster, other).await;
    let first_large = send_call(&cluster, large.clone()).await;
    let repeated_large = send_call(&cluster, large).await;
    let unkeyed = send_call(&cluster, unkeyed).await;

    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(first_large.is_done(&"x".repeat(3_000)));
    assert_eq!(repeated_large.status, StatusCode::CONFLICT);
    assert!(
        repeated_large.body.contains("status 200"),
        "{repeated_large:?}"
    );
    assert_eq!(unkeyed.status, StatusCode::BAD_REQUEST);
    assert_eq!(count_starts(&cluster, &[1, 2, 3, 4]), 2);
}

/// Guards against a keyed call that its owner does not retry although it was not
/// run, and against one that may have run and is retried or reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn only_keyed_calls_that_were_not_run_are_retried() {
    let cluster = TestCluster::start(1).await;
    // First attempts fill the retry budget, which starts empty.
    for _ in 0..100 {
        cluster.call(0, "token").await;
    }
    set_work_ms(&cluster, LONG_WORK_MS);
    let large = KeyedCall {
        body: "x".repeat(100_000),
        ..keyed_call(0, "refused", 1)
    };
    let unkeyed_call = KeyedCall {
        key: None,
        ..keyed_call(0, "", 3)
    };

    let (keyed, unkeyed, ()) = tokio::join!(
        send_call(&cluster, keyed_call(0, "lost", 2)),
        send_call(&cluster, unkeyed_call),
        async {
            wait_for_start(&cluster, 2).await;
            wait_for_start(&cluster, 3).await;
            cluster.kill_runner(0);
        }
    );
    let refused = send_call(&cluster, large).await;
    let metrics = cluster.get(0, "/metrics").await;

    assert!(refused.is_not_run(), "{refused:?}");
    // Two retries of the idempotent call without a key and two of the refused call.
    let retries = "auburnsaddle_call_retries_total{otel_scope_name=\"auburnsaddle\"} 4";
    assert!(
        matches!(&metrics, CallResult::Answered(_, _, page) if page.contains(retries)),
        "{metrics:?}"
    );
    assert!(keyed.is_unknown(), "{keyed:?}");
    assert_eq!(unkeyed.outcome, "unknown", "{unkeyed:?}");
}

/// Guards against a second start when the owner of a key is killed after it
/// recorded the intent and before it recorded the outcome.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_owner_is_killed_is_not_started_again() {
    let mut cluster = TestCluster::start(3).await;
    let key = find_key_owned_by(&cluster, 0).await;
    set_work_ms(&cluster, LONG_WORK_MS);
    // Without the owner, the other two daemons have the indices 0 and 1.
    let mut owner = cluster.daemons.remove(0);
    let first = KeyedCall {
        deadline: SHORT_DEADLINE,
        ..keyed_call(0, &key, 1)
    };
    let retry = KeyedCall {
        deadline: SHORT_DEADLINE,
        ..keyed_call(1, &key, 2)
    };

    let (first, ()) = tokio::join!(send_call(&cluster, first), async {
        wait_for_start(&cluster, 1).await;
        owner.child.kill().expect("the daemon runs");
    });
    let retry = send_call(&cluster, retry).await;

    let is_safe_outcome = |response: &KeyedResponse| {
        response.is_unknown() || (response.is_done("token") && response.is_replayed)
    };
    assert!(is_safe_outcome(&first), "{first:?}");
    assert!(is_safe_outcome(&retry), "{retry:?}");
    assert_eq!(count_starts(&cluster, &[1, 2]), 1);
}

/// Guards against a drain that interrupts a call in progress at the owner of its
/// key, and against calls that are rejected while the shard is handed over.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_owner_finishes_its_calls() {
    let cluster = TestCluster::start(3).await;
    let key = find_key_owned_by(&cluster, 0).await;
    set_work_ms(&cluster, LONG_WORK_MS);

    let (response, later) = tokio::join!(send_call(&cluster, keyed_call(1, &key, 1)), async {
        wait_for_start(&cluster, 1).await;
        cluster.daemons[0].terminate();
        tokio::time::sleep(DRAIN_START_DELAY).await;
        send_call(&cluster, keyed_call(2, &key, 2)).await
    });

    assert!(response.is_done("token"), "{response:?}");
    assert!(later.is_done("token") && later.is_replayed, "{later:?}");
    assert_eq!(count_starts(&cluster, &[1, 2]), 1);
}

/// Guards against a keyed call that runs without a record or is wrongly reported
/// as not run, and against calls without a key that depend on the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_rejects_only_keyed_calls() {
    let cluster = TestCluster::start(2).await;
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });

    let rejected = send_call(&cluster, keyed_call(0, "k-1", 1)).await;
    let again = send_call(&cluster, keyed_call(1, "k-1", 2)).await;
    let unkeyed = cluster.call(0, "token").await;
    cluster.platform.set_faults(StoreFaults::default());
    let mut recovered = send_call(&cluster, keyed_call(0, "k-1", 3)).await;
    let started_at = Instant::now();
    while recovered.is_not_run() && started_at.elapsed() < WAIT_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(100)).await;
        recovered = send_call(&cluster, keyed_call(0, "k-1", 3)).await;
    }

    assert!(
        rejected.is_not_run() && rejected.has_retry_after,
        "{rejected:?}"
    );
    assert!(again.is_not_run(), "{again:?}");
    assert!(matches!(
        unkeyed,
        CallResult::Answered(StatusCode::OK, _, _)
    ));
    assert!(recovered.is_done("token"), "{recovered:?}");
    assert_eq!(count_starts(&cluster, &[1, 2]), 0);
    assert_eq!(count_starts(&cluster, &[3]), 1);
}

/// Guards against an owner in lease mode that starts calls after its lease has
/// expired in the store, when the next owner may already hold one.
#[tokio::test(flavor = "multi_thread")]
async fn an_expired_lease_prevents_starts_in_lease_mode() {
    let lease_mode = "idempotent = true\nfencing = \"lease\"";
    let objects = SETTLEMENT_OBJECTS.replacen("idempotent = true", lease_mode, 1);
    let cluster = TestCluster::start_with_objects(1, &objects).await;
    let unkeyed_call = |request_id| KeyedCall {
        key: None,
        deadline: Duration::from_secs(1),
        ..keyed_call(0, "", request_id)
    };

    let leased = send_call(&cluster, unkeyed_call(1)).await;
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(SHARD_LEASE_DURATION).await;
    let expired = send_call(&cluster, unkeyed_call(2)).await;
    cluster.platform.set_faults(StoreFaults::default());
    let started_at = Instant::now();
    while !send_call(&cluster, unkeyed_call(3)).await.is_done("token") {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the lease was not acquired again"
        );
    }

    assert!(leased.is_done("token"), "{leased:?}");
    assert!(expired.is_not_run(), "{expired:?}");
    assert_eq!(count_starts(&cluster, &[2]), 0);
}

/// Guards against a call that runs twice, or an outcome that is lost, when the
/// store applies writes and their responses are lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_store_responses_repeat_no_call() {
    let cluster = TestCluster::start(2).await;
    cluster.platform.set_faults(StoreFaults {
        lose_responses: 4,
        ..StoreFaults::default()
    });

    let mut responses = Vec::new();
    for attempt in 1..=20 {
        responses.push(send_call(&cluster, keyed_call(0, "k-1", attempt)).await);
        if responses
            .last()
            .is_some_and(|response| response.is_done("token"))
        {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let replayed = send_call(&cluster, keyed_call(1, "k-1", 100)).await;

    let (last, earlier) = responses.split_last().expect("one attempt");
    assert!(last.is_done("token"), "{responses:?}");
    assert!(
        earlier.iter().all(KeyedResponse::is_not_run),
        "{responses:?}"
    );
    assert!(replayed.is_done("token") && replayed.is_replayed);
    let requests: Vec<_> = (1..=100).collect();
    assert_eq!(count_starts(&cluster, &requests), 1);
}
