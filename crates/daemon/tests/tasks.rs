//! Tests of tasks with real daemon processes and stand-in workers.

mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use auburnsaddle_standins::platform::StoreFaults;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use support::{CallResult, SETTLEMENT_OBJECTS, TestCluster, WAIT_TIMEOUT, work::WorkCluster};

/// Size limit of the body of a submission.
const SUBMISSION_LIMIT_BYTES: usize = 64 << 10;

/// Metrics exported by daemons that have started tasks and rejected a job.
const TASK_METRICS: [&str; 5] = [
    "auburnsaddle_commit_seconds_count{",
    "auburnsaddle_rejections_total{",
    "reason=\"duplicate\"",
    "auburnsaddle_task_wait_seconds_count{",
    "auburnsaddle_waiting_tasks{",
];

/// Returns a raw submission with a header that describes how its body is sent.
fn raw_submission(framing: &str, body: &str) -> String {
    let head = "POST /v1/tasks HTTP/1.1\r\nHost: daemon\r\nConnection: close";
    format!("{head}\r\n{framing}\r\n\r\n{body}")
}

/// Returns a raw request that asks the daemon to close the connection.
fn raw_request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: daemon\r\nConnection: close");
    format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Waits until a configuration is in force at the first daemon.
async fn wait_for_configuration(cluster: &TestCluster) {
    let started_at = Instant::now();
    while cluster.version(0).await.is_none_or(|version| version == 0) {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no configuration");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Asserts the status of a raw response, that it reports the request as not run, and
/// that its body has a text.
fn assert_not_run(response: &str, status: StatusCode, text: &str) {
    let status_line = format!("HTTP/1.1 {status}\r\n");
    assert!(response.starts_with(&status_line), "{status}: {response}");
    let outcome = "auburnsaddle-outcome: not-run\r\n";
    assert!(response.contains(outcome), "{response}");
    assert!(response.contains(text), "`{text}` is missing: {response}");
}

fn distinct_outcomes(statuses: &[Value]) -> BTreeSet<&str> {
    let statuses = statuses.iter();
    statuses
        .map(|status| status["outcome"].as_str().unwrap_or_default())
        .collect()
}

/// Asserts that workers started each task exactly once.
fn assert_started_once(cluster: &WorkCluster, tasks: &[String]) {
    let starts = cluster.starts();
    for task in tasks {
        assert_eq!(starts.get(task), Some(&1), "starts of {task}: {starts:?}");
    }
}

/// Guards against accepted tasks that do not run, a gang of which only some tasks
/// start, and a cancellation that leaves a task running.
#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_job_runs_and_a_label_cancels_its_tasks() {
    let cluster = WorkCluster::start(3, 4).await;

    let batch = cluster.submit_accepted(0, "grading", "a").await;
    let plan = cluster.submit_accepted(1, "plan", "b").await;
    let gang = cluster.submit_accepted(1, "training", "c").await;
    let watch = cluster.submit_accepted(2, "watch", "d").await;
    let ended = cluster.wait_for_state(2, &batch, "ended").await;
    let trained = cluster.wait_for_state(0, &gang, "ended").await;
    let planned = cluster.wait_for_state(0, &plan, "ended").await;
    cluster.wait_for_state(1, &watch, "running").await;
    let path = "/v1/tasks/cancel?label=kind%3Dwatch";
    let cancelled = cluster.send_request(1, Method::POST, path).await;
    let stopped = cluster.wait_for_state(0, &watch, "ended").await;

    assert_eq!((batch.len(), gang.len(), watch.len()), (6, 3, 2));
    for statuses in [&ended, &trained, &planned] {
        assert_eq!(distinct_outcomes(statuses), BTreeSet::from(["succeeded"]));
    }
    assert!(matches!(
        cancelled,
        CallResult::Answered(StatusCode::OK, ..)
    ));
    assert_eq!(distinct_outcomes(&stopped), BTreeSet::from(["cancelled"]));
    assert_started_once(&cluster, &[batch, plan, gang, watch].concat());
}

/// Guards against an idempotency key that creates a job at each of two daemons, and
/// against a job that is submitted for an object of another team.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_submission_returns_the_same_job() {
    let cluster = WorkCluster::start(2, 2).await;

    let first = cluster.submit_accepted(0, "grading", "night").await;
    let again = cluster.submit_accepted(1, "grading", "night").await;
    let other = json!({ "object": "grading", "count": 7 });
    let other = cluster.submit_body(1, &other, "night").await;
    let grading = json!({ "object": "grading" });
    let foreign = cluster
        .submit_as(1, &grading, "foreign", Some("sales"))
        .await;
    let unkeyed = cluster.submit_body(1, &grading, "").await;
    cluster.wait_for_state(0, &first, "ended").await;
    let pages = [
        cluster.cluster.get(0, "/metrics").await,
        cluster.cluster.get(1, "/metrics").await,
    ];
    let pages = format!("{pages:?}").replace('\\', "");

    assert_eq!(first, again);
    for name in TASK_METRICS {
        assert!(pages.contains(name), "metric {name} is missing: {pages}");
    }
    for rejected in [foreign, unkeyed] {
        let status = StatusCode::BAD_REQUEST;
        assert!(
            matches!(&rejected, CallResult::Answered(found, outcome, _)
                if *found == status && outcome == "not-run"),
            "{rejected:?}"
        );
    }
    let CallResult::Answered(status, ..) = other else {
        panic!("no response: {other:?}");
    };
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(cluster.starts().len(), first.len());
    assert_started_once(&cluster, &first);
}

/// Guards against tasks that the next owner loses or starts again, including tasks
/// that end while the pool has no owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_loses_and_repeats_nothing() {
    let mut cluster = WorkCluster::start(3, 4).await;
    let batch = cluster.submit_accepted(0, "grading", "a").await;
    let watch = cluster.submit_accepted(0, "watch", "b").await;
    let plan = cluster.submit_accepted(0, "plan", "c").await;
    cluster
        .wait_for_state(0, &[&batch[..], &watch].concat(), "running")
        .await;
    let owner = cluster.wait_for_owner(0, None).await;
    let other = usize::from(owner == 0);

    let _ = cluster.cluster.daemons[owner].child.kill();
    cluster.wait_for_owner(other, Some(owner)).await;
    let ended = cluster.wait_for_state(other, &batch, "ended").await;
    let planned = cluster.wait_for_state(other, &plan, "ended").await;
    let adopted = cluster.wait_for_state(other, &watch, "running").await;

    assert_eq!(distinct_outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert_eq!(distinct_outcomes(&planned), BTreeSet::from(["succeeded"]));
    assert!(adopted.iter().all(|status| status["attempt"] == 1));
    assert_started_once(&cluster, &[batch, watch, plan].concat());
}

/// Guards against a former owner that starts tasks concurrently with the current
/// owner, or that still answers requests for a queue that it no longer owns.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_starts_nothing_after_it_resumes() {
    let cluster = WorkCluster::start(3, 3).await;
    let owner = cluster.wait_for_owner(0, None).await;
    let other = usize::from(owner == 0);
    let early = cluster.submit_accepted(owner, "grading", "a").await;
    let watch = cluster.submit_accepted(owner, "watch", "b").await;
    cluster.wait_for_state(other, &watch, "running").await;

    cluster.signal(owner, "-STOP");
    cluster.wait_for_owner(other, Some(owner)).await;
    let late = cluster.submit_accepted(other, "grading", "c").await;
    cluster.signal(owner, "-CONT");
    let ended = cluster
        .wait_for_state(owner, &[&early[..], &late].concat(), "ended")
        .await;
    let adopted = cluster.wait_for_state(owner, &watch, "running").await;

    assert_eq!(distinct_outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert!(adopted.iter().all(|status| status["attempt"] == 1));
    assert_started_once(&cluster, &[early, late, watch].concat());
}

/// Guards against a drain that stops, loses or restarts tasks.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_owner_hands_its_tasks_over() {
    let mut cluster = WorkCluster::start(2, 3).await;
    let batch = cluster.submit_accepted(0, "grading", "a").await;
    let watch = cluster.submit_accepted(0, "watch", "b").await;
    cluster.wait_for_state(0, &watch, "running").await;
    let owner = cluster.wait_for_owner(0, None).await;
    let other = usize::from(owner == 0);

    cluster.cluster.daemons[owner].terminate();
    let code = cluster.cluster.daemons[owner].wait_for_exit();
    let ended = cluster.wait_for_state(other, &batch, "ended").await;
    let adopted = cluster.wait_for_state(other, &watch, "running").await;

    assert_eq!(code, Some(0));
    assert_eq!(distinct_outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert!(adopted.iter().all(|status| status["attempt"] == 1));
    assert_started_once(&cluster, &[batch, watch].concat());
}

/// Guards against tasks that start on a host more than 5 s after the list of hosts
/// reports it as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_host_gets_no_new_tasks() {
    let cluster = WorkCluster::start(1, 2).await;
    let before = cluster.submit_accepted(0, "grading", "a").await;
    cluster.wait_for_state(0, &before, "ended").await;
    let used_worker = usize::from(cluster.workers[0].lock().log().is_empty());

    cluster.set_host_state(used_worker, "leaving");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let lines = cluster.workers[used_worker].lock().log().len();
    let after = cluster.submit_accepted(0, "grading", "b").await;
    let ended = cluster.wait_for_state(0, &after, "ended").await;

    assert_eq!(distinct_outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert_eq!(cluster.workers[used_worker].lock().log().len(), lines);
    assert_started_once(&cluster, &after);
}

/// Guards against a second start of tasks that ended while their worker did not
/// respond, and against a task that is reported as not run during that time.
#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_worker_is_claimed_again() {
    let cluster = WorkCluster::start(1, 1).await;
    let batch = cluster.submit_accepted(0, "grading", "a").await;
    let watch = cluster.submit_accepted(0, "watch", "b").await;
    cluster.wait_for_state(0, &watch, "running").await;

    cluster.delay_worker(0, Duration::from_mins(1));
    let unresolved_tasks = cluster.wait_for_state(0, &watch, "unresolved").await;
    cluster.delay_worker(0, Duration::ZERO);
    let ended = cluster.wait_for_state(0, &batch, "ended").await;
    let adopted = cluster.wait_for_state(0, &watch, "running").await;

    assert!(
        unresolved_tasks
            .iter()
            .all(|status| status["worker"] == "worker-0")
    );
    assert_eq!(distinct_outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert!(adopted.iter().all(|status| status["attempt"] == 1));
    assert_started_once(&cluster, &[batch, watch].concat());
}

/// Guards against a job that is accepted without a record in the store, and against
/// one that runs although it was reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_accepted_during_a_store_outage() {
    let cluster = WorkCluster::start(1, 2).await;
    cluster.cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });

    let unacknowledged = cluster.submit(0, "grading", "a").await;
    let rejected = cluster.submit(0, "grading", "b").await;
    let during = cluster.starts();
    cluster.cluster.platform.set_faults(StoreFaults::default());
    let later = cluster.submit_accepted(0, "grading", "a").await;
    cluster.wait_for_state(0, &later, "ended").await;

    let CallResult::Answered(status, outcome, _) = unacknowledged else {
        panic!("no response during the outage: {unacknowledged:?}");
    };
    assert_ne!(status, StatusCode::ACCEPTED);
    assert!(outcome == "unknown" || outcome == "not-run", "{outcome}");
    let CallResult::Answered(status, outcome, _) = rejected else {
        panic!("no response during the outage: {rejected:?}");
    };
    assert_eq!(
        (status, outcome.as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(during.is_empty());
    assert_eq!(cluster.starts().len(), later.len());
    assert_started_once(&cluster, &later);
}

/// Guards against one answer to submissions that are too large, that stall and that
/// break off, although only the first has to be changed before it is sent again.
#[tokio::test(flavor = "multi_thread")]
async fn each_fault_of_a_submission_body_has_its_own_answer() {
    let settings = ["--body-timeout-ms", "500"];
    let cluster = TestCluster::start_with_settings(1, SETTLEMENT_OBJECTS, &settings).await;
    let large_body = "x".repeat(SUBMISSION_LIMIT_BYTES + 1);
    let declared = format!("Content-Length: {}", large_body.len());
    let large_chunk = format!("{:x}\r\n{large_body}\r\n", large_body.len());
    let chunked = "Transfer-Encoding: chunked";

    let too_large = cluster
        .send_raw(&raw_submission(&declared, &large_body))
        .await;
    let too_large_chunk = cluster
        .send_raw(&raw_submission(chunked, &large_chunk))
        .await;
    let stalled = cluster
        .send_raw(&raw_submission("Content-Length: 100", "{"))
        .await;
    let broken_off = cluster
        .send_raw(&raw_submission(chunked, "no size\r\n"))
        .await;

    for response in [too_large, too_large_chunk] {
        assert_not_run(&response, StatusCode::PAYLOAD_TOO_LARGE, "at most 64 KiB");
    }
    assert_not_run(&stalled, StatusCode::REQUEST_TIMEOUT, "without pauses");
    assert_not_run(&broken_off, StatusCode::BAD_REQUEST, "its whole body");
}

/// Guards against a daemon without a configuration that reports objects and tasks as
/// unknown or lists no tasks, although it cannot know them yet.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_unknown_before_the_first_configuration() {
    let mut cluster = TestCluster::start_stand_ins(0).await;
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    cluster.daemons.push(cluster.start_daemon(0, &[]));
    let task = "/v1/tasks/00000000-0000-4000-8000-000000000000";
    let submission = "{\"object\":\"missing\"}";
    let requests = [
        raw_request("POST", "/v1/tasks", submission),
        raw_request("GET", task, ""),
        raw_request("DELETE", task, ""),
        raw_request("GET", &format!("{task}/watch"), ""),
        raw_request("GET", "/v1/tasks", ""),
        raw_request("POST", "/v1/tasks/cancel?label=kind%3Dwatch", ""),
        raw_request("POST", "/v1/services/missing/redeem", "token"),
    ];

    let mut early = Vec::new();
    for request in &requests {
        early.push(cluster.send_raw(request).await);
    }
    let malformed = cluster
        .send_raw(&raw_request("GET", "/v1/tasks/x", ""))
        .await;
    let metrics = cluster.get(0, "/metrics").await;
    cluster.platform.set_faults(StoreFaults::default());
    cluster.apply_objects(SETTLEMENT_OBJECTS).await;
    wait_for_configuration(&cluster).await;
    let submitted = cluster.send_raw(&requests[0]).await;
    let queried = cluster.send_raw(&requests[1]).await;
    let called = cluster.send_raw(&requests[6]).await;

    for response in early {
        let text = "the daemon has no configuration yet";
        assert_not_run(&response, StatusCode::SERVICE_UNAVAILABLE, text);
        assert!(response.contains("retry-after: 1\r\n"), "{response}");
    }
    assert_not_run(&malformed, StatusCode::NOT_FOUND, "names no task");
    for kind in ["call", "task"] {
        let labels = format!("kind=\"{kind}\",reason=\"no-configuration\"");
        assert!(
            matches!(&metrics, CallResult::Answered(_, _, page) if page.contains(&labels)),
            "{labels}: {metrics:?}"
        );
    }
    assert_not_run(
        &submitted,
        StatusCode::UNPROCESSABLE_ENTITY,
        "is no batch run",
    );
    assert_not_run(&called, StatusCode::NOT_FOUND, "is not defined");
    assert_not_run(&queried, StatusCode::NOT_FOUND, "no such task");
}
