//! Tests of idempotency keys through real daemon processes. What ran is read
//! from the runners' own logs.

mod support;

use std::time::{Duration, Instant};

use auburnsaddle_core::{digest_key, key_shard_index};
use auburnsaddle_standins::platform::StoreFaults;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use support::{CallResult, SETTLEMENT_OBJECTS, TestCluster, WAIT_TIMEOUT};

/// Time that a runner works on a call which is to be interrupted.
const LONG_WORK_MS: u64 = 1_500;

/// Time for a call whose owner dies; its answer may come at the deadline.
const SHORT_DEADLINE: Duration = Duration::from_secs(8);

/// Time after which a terminated daemon has begun to hand its shards over.
const DRAIN_START: Duration = Duration::from_millis(300);

/// Duration of a shard's lease in the store.
const SHARD_LEASE: Duration = Duration::from_secs(10);

/// Type of the calls' bodies, which the runners use for their responses.
const TOKEN_TYPE: &str = "text/x-token";

/// A call with a key as its caller sends it.
#[derive(Clone, Debug)]
struct KeyedCall {
    daemon: usize,
    service: &'static str,
    key: Option<String>,
    body: String,
    request: u128,
    deadline: Duration,
}

/// The answer as its caller sees it.
#[derive(Debug)]
struct KeyedAnswer {
    status: StatusCode,
    outcome: String,
    replayed: bool,
    retry_after: bool,
    content_type: String,
    body: String,
}

impl KeyedAnswer {
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

fn call(daemon: usize, key: &str, request: u128) -> KeyedCall {
    KeyedCall {
        daemon,
        service: "settlement",
        key: Some(key.to_owned()),
        body: "token".to_owned(),
        request,
        deadline: WAIT_TIMEOUT,
    }
}

async fn send(cluster: &TestCluster, call: KeyedCall) -> KeyedAnswer {
    let address = cluster.daemons[call.daemon].address;
    let uri = format!("http://{address}/v1/services/{}/redeem", call.service);
    let request = Request::post(uri)
        .header("content-type", TOKEN_TYPE)
        .header("auburnsaddle-request-id", format!("{:032x}", call.request))
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
    let response = response.expect("an answer in time").expect("an answer");
    let (parts, body) = response.into_parts();
    let header = |name: &str| {
        let value = parts.headers.get(name);
        value.map(|value| value.to_str().unwrap_or_default().to_owned())
    };
    let body = body.collect().await.expect("a whole body").to_bytes();
    KeyedAnswer {
        status: parts.status,
        outcome: header("auburnsaddle-outcome").unwrap_or_default(),
        replayed: header("auburnsaddle-replayed").is_some_and(|value| value == "true"),
        retry_after: header("retry-after").is_some(),
        content_type: header("content-type").unwrap_or_default(),
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// Returns how many calls with one of these request ids the runners started.
fn starts(cluster: &TestCluster, requests: &[u128]) -> usize {
    let ids: Vec<_> = requests.iter().map(|id| format!("{id:032x}")).collect();
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

async fn wait_for_start(cluster: &TestCluster, request: u128) {
    let started_at = Instant::now();
    while starts(cluster, &[request]) == 0 {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the call is not started"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns a key whose shard a daemon owns.
async fn key_owned_by(cluster: &TestCluster, daemon: usize) -> String {
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

/// Guards against a double redemption when a caller sends its request at two
/// daemons, and against a replay that looks like a first answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_at_two_daemons_runs_once() {
    let cluster = TestCluster::start(3).await;
    set_work_ms(&cluster, 200);

    let (first, second) = tokio::join!(
        send(&cluster, call(0, "k-1", 1)),
        send(&cluster, call(1, "k-1", 2))
    );
    let later = send(&cluster, call(2, "k-1", 3)).await;

    assert!(first.is_done("token") && second.is_done("token"));
    assert_eq!(u8::from(first.replayed) + u8::from(second.replayed), 1);
    assert!(later.is_done("token") && later.replayed, "{later:?}");
    assert_eq!([&first.content_type, &later.content_type], [TOKEN_TYPE; 2]);
    assert_eq!(starts(&cluster, &[1, 2, 3]), 1);
}

/// Guards against log lines that cannot be related to their request at one of
/// the daemons that it passes, against calls that wait for each other because
/// their callers gave them the same identifier, and against runners that are
/// told the whole time of a call instead of what is left of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_followed_through_two_daemons() {
    let debug = ["--log-level", "debug"];
    let cluster = TestCluster::start_with_settings(2, SETTLEMENT_OBJECTS, &debug).await;
    let key = key_owned_by(&cluster, 1).await;
    let plain = KeyedCall {
        key: None,
        ..call(0, "", 8)
    };

    let answer = send(&cluster, call(0, &key, 7)).await;
    let left = cluster.runners[1].lock().deadline_ms;
    let same = tokio::join!(send(&cluster, plain.clone()), send(&cluster, plain));

    assert!(answer.is_done("token"), "{answer:?}");
    assert!(same.0.is_done("token") && same.1.is_done("token"));
    let patience = u64::try_from(WAIT_TIMEOUT.as_millis()).expect("half a minute");
    assert!(left.is_some_and(|left| left < patience), "{left:?}");
    assert_eq!((starts(&cluster, &[7]), starts(&cluster, &[8])), (1, 2));
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

/// Guards against keys that stand for several requests, calls that cannot be
/// protected, and large responses that are cut for their first caller.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_checked_and_large_bodies_are_not_kept() {
    let cluster = TestCluster::start(1).await;
    let large = KeyedCall {
        body: "x".repeat(3_000),
        ..call(0, "large", 2)
    };
    let unprotected = KeyedCall {
        service: "orders",
        key: None,
        ..call(0, "", 3)
    };

    send(&cluster, call(0, "k-1", 1)).await;
    let other = KeyedCall {
        body: "other".to_owned(),
        ..call(0, "k-1", 4)
    };
    let other = send(&cluster, other).await;
    let whole = send(&cluster, large.clone()).await;
    let dropped = send(&cluster, large).await;
    let unprotected = send(&cluster, unprotected).await;

    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(whole.is_done(&"x".repeat(3_000)));
    assert_eq!(dropped.status, StatusCode::CONFLICT);
    assert!(dropped.body.contains("status 200"), "{dropped:?}");
    assert_eq!(unprotected.status, StatusCode::BAD_REQUEST);
    assert_eq!(starts(&cluster, &[1, 2, 3, 4]), 2);
}

/// Guards against a call with a key that its owner does not try again although
/// it was not run, or that it tries again, or reports as not run, although it
/// may have run.
#[tokio::test(flavor = "multi_thread")]
async fn only_keyed_calls_that_were_not_run_are_tried_again() {
    let cluster = TestCluster::start(1).await;
    // First attempts fill the retry budget, which starts empty.
    for _ in 0..100 {
        cluster.call(0, "token").await;
    }
    set_work_ms(&cluster, LONG_WORK_MS);
    let large = KeyedCall {
        body: "x".repeat(100_000),
        ..call(0, "refused", 1)
    };
    let plain = KeyedCall {
        key: None,
        ..call(0, "", 3)
    };

    let (keyed, plain, ()) = tokio::join!(
        send(&cluster, call(0, "lost", 2)),
        send(&cluster, plain),
        async {
            wait_for_start(&cluster, 2).await;
            wait_for_start(&cluster, 3).await;
            cluster.kill_runner(0);
        }
    );
    let refused = send(&cluster, large).await;
    let metrics = cluster.get(0, "/metrics").await;

    assert!(refused.is_not_run(), "{refused:?}");
    // Two for the plain call, which is idempotent, and two for the refused one.
    let retries = "auburnsaddle_call_retries_total{otel_scope_name=\"auburnsaddle\"} 4";
    assert!(
        matches!(&metrics, CallResult::Answered(_, _, page) if page.contains(retries)),
        "{metrics:?}"
    );
    assert!(keyed.is_unknown(), "{keyed:?}");
    assert_eq!(plain.outcome, "unknown", "{plain:?}");
}

/// Guards against a second start when the owner of a key dies between its
/// intent and its outcome.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_owner_is_killed_is_not_started_again() {
    let mut cluster = TestCluster::start(3).await;
    let key = key_owned_by(&cluster, 0).await;
    set_work_ms(&cluster, LONG_WORK_MS);
    // Without the owner, the other two daemons have the places 0 and 1.
    let mut owner = cluster.daemons.remove(0);
    let first = KeyedCall {
        deadline: SHORT_DEADLINE,
        ..call(0, &key, 1)
    };
    let retry = KeyedCall {
        deadline: SHORT_DEADLINE,
        ..call(1, &key, 2)
    };

    let (first, ()) = tokio::join!(send(&cluster, first), async {
        wait_for_start(&cluster, 1).await;
        owner.child.kill().expect("the daemon runs");
    });
    let retry = send(&cluster, retry).await;

    let settled =
        |answer: &KeyedAnswer| answer.is_unknown() || (answer.is_done("token") && answer.replayed);
    assert!(settled(&first), "{first:?}");
    assert!(settled(&retry), "{retry:?}");
    assert_eq!(starts(&cluster, &[1, 2]), 1);
}

/// Guards against a drain that interrupts a call in progress at the owner of
/// its key, and against calls that are rejected while the shard moves.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_owner_finishes_its_calls() {
    let cluster = TestCluster::start(3).await;
    let key = key_owned_by(&cluster, 0).await;
    set_work_ms(&cluster, LONG_WORK_MS);

    let (answer, later) = tokio::join!(send(&cluster, call(1, &key, 1)), async {
        wait_for_start(&cluster, 1).await;
        cluster.daemons[0].terminate();
        tokio::time::sleep(DRAIN_START).await;
        send(&cluster, call(2, &key, 2)).await
    });

    assert!(answer.is_done("token"), "{answer:?}");
    assert!(later.is_done("token") && later.replayed, "{later:?}");
    assert_eq!(starts(&cluster, &[1, 2]), 1);
}

/// Guards against a keyed call that runs without a record, a caller that is
/// wrongly told that its call was not run, and plain calls that need the store.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_rejects_keyed_calls_only() {
    let cluster = TestCluster::start(2).await;
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });

    let rejected = send(&cluster, call(0, "k-1", 1)).await;
    let again = send(&cluster, call(1, "k-1", 2)).await;
    let plain = cluster.call(0, "token").await;
    cluster.platform.set_faults(StoreFaults::default());
    let mut recovered = send(&cluster, call(0, "k-1", 3)).await;
    let started_at = Instant::now();
    while recovered.is_not_run() && started_at.elapsed() < WAIT_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(100)).await;
        recovered = send(&cluster, call(0, "k-1", 3)).await;
    }

    assert!(
        rejected.is_not_run() && rejected.retry_after,
        "{rejected:?}"
    );
    assert!(again.is_not_run(), "{again:?}");
    assert!(matches!(plain, CallResult::Answered(StatusCode::OK, _, _)));
    assert!(recovered.is_done("token"), "{recovered:?}");
    assert_eq!(starts(&cluster, &[1, 2]), 0);
    assert_eq!(starts(&cluster, &[3]), 1);
}

/// Guards against an owner in lease mode that starts calls after its lease has
/// ended in the store, where the next owner may hold one already.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_without_a_lease_in_lease_mode() {
    let lease_mode = "idempotent = true\nfencing = \"lease\"";
    let objects = SETTLEMENT_OBJECTS.replacen("idempotent = true", lease_mode, 1);
    let cluster = TestCluster::start_with_objects(1, &objects).await;
    let plain = |request| KeyedCall {
        key: None,
        deadline: Duration::from_secs(1),
        ..call(0, "", request)
    };

    let leased = send(&cluster, plain(1)).await;
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(SHARD_LEASE).await;
    let expired = send(&cluster, plain(2)).await;
    cluster.platform.set_faults(StoreFaults::default());
    let started_at = Instant::now();
    while !send(&cluster, plain(3)).await.is_done("token") {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no lease again");
    }

    assert!(leased.is_done("token"), "{leased:?}");
    assert!(expired.is_not_run(), "{expired:?}");
    assert_eq!(starts(&cluster, &[2]), 0);
}

/// Guards against a call that is run twice, or an outcome that is lost, when
/// the store applies writes and their responses do not arrive.
#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_of_the_store_double_nothing() {
    let cluster = TestCluster::start(2).await;
    cluster.platform.set_faults(StoreFaults {
        lose_responses: 4,
        ..StoreFaults::default()
    });

    let mut answers = Vec::new();
    for attempt in 1..=20 {
        answers.push(send(&cluster, call(0, "k-1", attempt)).await);
        if answers.last().is_some_and(|answer| answer.is_done("token")) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let replayed = send(&cluster, call(1, "k-1", 100)).await;

    let (last, earlier) = answers.split_last().expect("one attempt");
    assert!(last.is_done("token"), "{answers:?}");
    assert!(earlier.iter().all(KeyedAnswer::is_not_run), "{answers:?}");
    assert!(replayed.is_done("token") && replayed.replayed);
    let requests: Vec<_> = (1..=100).collect();
    assert_eq!(starts(&cluster, &requests), 1);
}
