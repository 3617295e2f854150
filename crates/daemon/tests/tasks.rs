//! Tasks through real daemon processes and stand-in workers.

mod support;

use std::{collections::BTreeSet, time::Duration};

use auburnsaddle_standins::platform::StoreFaults;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use support::{CallResult, work::WorkCluster};

/// Metrics of daemons that have started tasks and rejected a job.
const TASK_METRICS: [&str; 5] = [
    "auburnsaddle_commit_seconds_count{",
    "auburnsaddle_rejections_total{",
    "reason=\"duplicate\"",
    "auburnsaddle_task_wait_seconds_count{",
    "auburnsaddle_waiting_tasks{",
];

fn outcomes(statuses: &[Value]) -> BTreeSet<&str> {
    let outcomes = statuses.iter();
    outcomes
        .map(|status| status["outcome"].as_str().unwrap_or_default())
        .collect()
}

/// Asserts that each task was started once.
fn assert_started_once(cluster: &WorkCluster, tasks: &[String]) {
    let starts = cluster.starts();
    for task in tasks {
        assert_eq!(starts.get(task), Some(&1), "starts of {task}: {starts:?}");
    }
}

/// Guards against work that is accepted at one daemon and not run, a gang that
/// starts in parts, and a cancellation that leaves a task running.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_each_kind_runs_and_is_cancelled_by_label() {
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
        assert_eq!(outcomes(statuses), BTreeSet::from(["succeeded"]));
    }
    assert!(matches!(
        cancelled,
        CallResult::Answered(StatusCode::OK, ..)
    ));
    assert_eq!(outcomes(&stopped), BTreeSet::from(["cancelled"]));
    assert_started_once(&cluster, &[batch, plan, gang, watch].concat());
}

/// Guards against a key that two daemons take for two jobs, and against work of
/// one team that another one submits.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_submission_gives_the_same_job() {
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
        assert!(pages.contains(name), "no {name}: {pages}");
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
        panic!("no answer: {other:?}");
    };
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(cluster.starts().len(), first.len());
    assert_started_once(&cluster, &first);
}

/// Guards against tasks that the next owner loses or starts a second time,
/// those included that end while nobody owns the pool.
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

    assert_eq!(outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert_eq!(outcomes(&planned), BTreeSet::from(["succeeded"]));
    assert!(adopted.iter().all(|status| status["attempt"] == 1));
    assert_started_once(&cluster, &[batch, watch, plan].concat());
}

/// Guards against a former owner that starts tasks beside the present one, or
/// goes on answering for a queue that it has lost.
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

    assert_eq!(outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert!(adopted.iter().all(|status| status["attempt"] == 1));
    assert_started_once(&cluster, &[early, late, watch].concat());
}

/// Guards against a drain that stops, loses or repeats tasks.
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
    assert_eq!(outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert!(adopted.iter().all(|status| status["attempt"] == 1));
    assert_started_once(&cluster, &[batch, watch].concat());
}

/// Guards against new work on a host 5 s after the list calls it leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_host_gets_no_new_work() {
    let cluster = WorkCluster::start(1, 2).await;
    let before = cluster.submit_accepted(0, "grading", "a").await;
    cluster.wait_for_state(0, &before, "ended").await;
    let used = usize::from(cluster.workers[0].lock().log().is_empty());

    cluster.set_host_state(used, "leaving");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let lines = cluster.workers[used].lock().log().len();
    let after = cluster.submit_accepted(0, "grading", "b").await;
    let ended = cluster.wait_for_state(0, &after, "ended").await;

    assert_eq!(outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert_eq!(cluster.workers[used].lock().log().len(), lines);
    assert_started_once(&cluster, &after);
}

/// Guards against a second start of what a worker ended while it was silent, and
/// against a task that is reported as not run meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_worker_is_claimed_again() {
    let cluster = WorkCluster::start(1, 1).await;
    let batch = cluster.submit_accepted(0, "grading", "a").await;
    let watch = cluster.submit_accepted(0, "watch", "b").await;
    cluster.wait_for_state(0, &watch, "running").await;

    cluster.delay_worker(0, Duration::from_mins(1));
    let silent = cluster.wait_for_state(0, &watch, "unresolved").await;
    cluster.delay_worker(0, Duration::ZERO);
    let ended = cluster.wait_for_state(0, &batch, "ended").await;
    let adopted = cluster.wait_for_state(0, &watch, "running").await;

    assert!(silent.iter().all(|status| status["worker"] == "worker-0"));
    assert_eq!(outcomes(&ended), BTreeSet::from(["succeeded"]));
    assert!(adopted.iter().all(|status| status["attempt"] == 1));
    assert_started_once(&cluster, &[batch, watch].concat());
}

/// Guards against a job that is accepted without a record, and against one
/// that runs although its caller was told that it did not.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_accepts_nothing() {
    let cluster = WorkCluster::start(1, 2).await;
    cluster.cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });

    let doubtful = cluster.submit(0, "grading", "a").await;
    let rejected = cluster.submit(0, "grading", "b").await;
    let during = cluster.starts();
    cluster.cluster.platform.set_faults(StoreFaults::default());
    let later = cluster.submit_accepted(0, "grading", "a").await;
    cluster.wait_for_state(0, &later, "ended").await;

    let CallResult::Answered(status, outcome, _) = doubtful else {
        panic!("no answer in the outage: {doubtful:?}");
    };
    assert_ne!(status, StatusCode::ACCEPTED);
    assert!(outcome == "unknown" || outcome == "not-run", "{outcome}");
    let CallResult::Answered(status, outcome, _) = rejected else {
        panic!("no answer in the outage: {rejected:?}");
    };
    assert_eq!(
        (status, outcome.as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(during.is_empty());
    assert_eq!(cluster.starts().len(), later.len());
    assert_started_once(&cluster, &later);
}
