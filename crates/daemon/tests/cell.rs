//! Tests of daemon processes that run against stand-ins for the platform: its
//! store and its workers.

#[path = "support/cell.rs"]
mod support;

use std::{
    fs,
    process::Command,
    time::{Duration, Instant},
};

use auburnsaddle_platform_standin::WorkerStandin;
use http::{Method, StatusCode};
use serde_json::json;
use support::{job, manifest, start_cell, start_cell_with_retention};

/// Guards against outdated job states at daemons that do not own the service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_daemon_reports_the_job_state_of_the_owner() {
    let cell = start_cell(2, Duration::from_millis(200)).await;
    let owner = cell.wait_for_owner().await;
    let other = 1 - owner;

    let mut states = Vec::new();
    for id in 1..6 {
        cell.submit(other, id, &job(1)).await;
        cell.wait_for_job_state(owner, id, "completed").await;
        states.push(cell.job_state(other, id).await);
    }

    assert_eq!(states, vec![Some("completed".to_owned()); 5]);
}

/// Guards against a job that does not complete, a job that a repeated request
/// duplicates, and job states that only one daemon knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_runs_once_and_every_daemon_knows_its_state() {
    let cell = start_cell(2, Duration::from_millis(200)).await;

    let first = cell.submit(0, 1, &job(3)).await;
    let repeated = cell.submit(1, 1, &job(3)).await;
    cell.wait_for_job_state(0, 1, "completed").await;
    cell.wait_for_job_state(1, 1, "completed").await;
    let after_completion = cell.submit(1, 1, &job(3)).await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    assert_eq!(
        (first, repeated, after_completion),
        (
            Some(StatusCode::OK),
            Some(StatusCode::OK),
            Some(StatusCode::OK)
        )
    );
    assert_eq!(cell.task_starts().len(), 3);
    cell.assert_no_conflicting_runs();
}

/// Guards against success responses to requests for an unknown job or an unknown
/// queue, and to a body that is not a valid job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_names_and_invalid_jobs_are_rejected() {
    let cell = start_cell(1, Duration::from_millis(200)).await;

    let unknown_job = cell
        .send(0, Method::GET, "/tokens/00000000000000aa", None)
        .await;
    let unknown_queue = cell
        .send(0, Method::POST, "/rides/00000000000000aa", Some(&job(1)))
        .await;
    let invalid_job = cell.submit(0, 2, &json!({"pipeline": 3})).await;
    let queue_status = cell.send(0, Method::GET, "/tokens/", None).await;

    assert_eq!(unknown_job.map(|row| row.0), Some(StatusCode::GONE));
    assert_eq!(unknown_queue.map(|row| row.0), Some(StatusCode::NOT_FOUND));
    assert_eq!(invalid_job, Some(StatusCode::BAD_REQUEST));
    assert_eq!(queue_status, Some((StatusCode::OK, json!({"pending": 0}))));
}

/// Guards against a cancellation that only the daemon that received it knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_at_any_daemon_ends_the_job() {
    let cell = start_cell(2, Duration::from_secs(30)).await;
    cell.submit(0, 1, &job(2)).await;
    cell.wait_for("two starts", || async { cell.task_starts().len() == 2 })
        .await;

    let path = "/tokens/0000000000000001";
    let response = cell.send(1, Method::DELETE, path, None).await;
    cell.wait_for("the end of all runs", || async {
        cell.task_starts().iter().all(|start| start.ended.is_some())
    })
    .await;
    cell.wait_for_job_state(0, 1, "cancelled").await;

    assert_eq!(response.map(|row| row.0), Some(StatusCode::OK));
    assert_eq!(cell.task_starts().len(), 2);
}

/// Guards against accepted jobs that are lost when their owner is killed, or whose
/// tasks its successor runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_owner_loses_no_accepted_job() {
    let mut cell = start_cell(3, Duration::from_secs(2)).await;
    let owner = cell.wait_for_owner().await;
    let other = (owner + 1) % 3;
    for id in 1..5 {
        assert_eq!(cell.submit(owner, id, &job(3)).await, Some(StatusCode::OK));
    }

    cell.daemons[owner].child.kill().unwrap();
    for id in 1..5 {
        cell.wait_for_job_state(other, id, "completed").await;
    }

    cell.assert_no_conflicting_runs();
}

/// Guards against an owner that resumes after a pause and starts tasks that its
/// successor has placed elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_owner_repeats_no_task_after_it_resumes() {
    let cell = start_cell(3, Duration::from_millis(700)).await;
    let owner = cell.wait_for_owner().await;
    let other = (owner + 1) % 3;
    for id in 1..5 {
        cell.submit(other, id, &job(3)).await;
    }

    cell.signal(owner, "-STOP");
    tokio::time::sleep(Duration::from_secs(4)).await;
    for id in 5..9 {
        assert_eq!(cell.submit(other, id, &job(3)).await, Some(StatusCode::OK));
    }
    cell.signal(owner, "-CONT");
    for id in 1..9 {
        cell.wait_for_job_state(other, id, "completed").await;
    }
    cell.wait_for_job_state(owner, 8, "completed").await;

    cell.assert_no_conflicting_runs();
}

/// Guards against a second run of a task whose start a worker executes late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_delayed_start_runs_once() {
    let cell = start_cell(1, Duration::from_millis(400)).await;
    for worker in &cell.workers {
        worker.delay_starts(4, Duration::from_millis(2_500));
    }

    cell.submit(0, 1, &job(4)).await;
    cell.wait_for_job_state(0, 1, "completed").await;
    tokio::time::sleep(Duration::from_secs(3)).await;

    cell.assert_no_conflicting_runs();
    let completed = cell
        .task_starts()
        .into_iter()
        .filter(|start| start.ended.is_some_and(|(_, end)| end == "done"));
    assert_eq!(completed.count(), 4);
}

/// Guards against a rejected job that runs nevertheless, and against jobs that do
/// not continue after an outage of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_outage_rejects_new_jobs_and_loses_no_accepted_job() {
    let cell = start_cell(2, Duration::from_secs(1)).await;
    cell.submit(0, 1, &job(2)).await;
    cell.wait_for("two starts", || async { cell.task_starts().len() == 2 })
        .await;

    cell.store.set_unavailable(true);
    let rejected = cell.submit(0, 2, &job(1)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.store.set_unavailable(false);
    cell.wait_for_job_state(0, 1, "completed").await;
    cell.wait_for("an accepted job", || async {
        cell.submit(1, 3, &job(1)).await == Some(StatusCode::OK)
    })
    .await;
    cell.wait_for_job_state(1, 3, "completed").await;

    assert_eq!(rejected, Some(StatusCode::SERVICE_UNAVAILABLE));
    let rejected_id = "0000000000000002";
    assert!(
        !cell
            .task_starts()
            .iter()
            .any(|start| start.task.starts_with(rejected_id))
    );
    cell.assert_no_conflicting_runs();
}

/// Guards against an accepted job that is reported as unknown, or one that is
/// duplicated, when the store applies a write and its response is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_store_response_duplicates_no_job() {
    let cell = start_cell(1, Duration::from_millis(200)).await;

    cell.store.drop_commit_responses(1);
    let response = cell.submit(0, 1, &job(2)).await;
    cell.store.drop_commit_responses(1);
    cell.wait_for_job_state(0, 1, "completed").await;

    assert_eq!(response, Some(StatusCode::OK));
    assert_eq!(cell.task_starts().len(), 2);
}

/// Guards against jobs that are placed, or cancelled, only once the owner's watch delivers
/// them, for the time in which the store's watches are silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_run_and_are_cancelled_while_the_watches_of_the_store_are_silent() {
    let cell = start_cell(2, Duration::from_secs(2)).await;
    let owner = cell.wait_for_owner().await;
    let other = 1 - owner;
    cell.wait_for("both daemons to know the owner", || async {
        let logs = [0, 1].map(|daemon| cell.log_lines_with(daemon, "read the owner of a service"));
        logs.iter().all(|lines| !lines.is_empty())
    })
    .await;

    cell.store.set_watches_silent(true);
    let accepted = [
        cell.submit(other, 1, &job(1)).await,
        cell.submit(owner, 2, &job(1)).await,
    ];
    cell.wait_for("two starts", || async { cell.task_starts().len() == 2 })
        .await;
    let path = "/tokens/0000000000000001";
    let cancelled = cell.send(other, Method::DELETE, path, None).await;
    cell.wait_for_job_state(other, 1, "cancelled").await;
    cell.wait_for_job_state(other, 2, "completed").await;
    cell.store.set_watches_silent(false);

    assert_eq!(accepted, [Some(StatusCode::OK); 2]);
    assert_eq!(cancelled.map(|row| row.0), Some(StatusCode::OK));
    cell.assert_no_conflicting_runs();
}

/// Guards against tasks on workers that have announced to leave, and against new workers that
/// stay unused, for the time in which the store's watches are silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn workers_are_known_while_the_watches_of_the_store_are_silent() {
    let mut cell = start_cell(1, Duration::from_millis(200)).await;
    cell.submit(0, 1, &job(1)).await;
    cell.wait_for_job_state(0, 1, "completed").await;
    let later = WorkerStandin::start("w3", Duration::from_millis(200)).await;

    cell.store.set_watches_silent(true);
    for worker in &cell.workers {
        let (key, mut value) = worker.registration("sales");
        value["state"] = json!("draining");
        cell.store.write(&key, &value);
    }
    let (key, value) = later.registration("sales");
    cell.store.write(&key, &value);
    cell.workers.push(later);
    // The users allow three seconds until a worker that drains gets no more tasks.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cell.submit(0, 2, &job(3)).await;
    cell.wait_for_job_state(0, 2, "completed").await;

    assert_eq!(cell.workers[2].starts().len(), 3);
}

/// Guards against an entry of another writer in the list of workers that ends the daemons, or
/// after which they follow the list no more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_list_of_workers_with_odd_entries_is_followed() {
    let mut cell = start_cell(2, Duration::from_millis(200)).await;
    let owner = cell.wait_for_owner().await;
    let joining = WorkerStandin::start("w3", Duration::from_millis(200)).await;
    let entry = joining.registration("sales").1;
    let nested = format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000));
    let with_field = |field: &str| entry.to_string().replacen('{', &format!("{{{field},"), 1);
    let mut unusable = entry.clone();
    unusable["address"] = json!("127.0.0.1:70000");
    let odd_texts = [
        nested.clone(),
        with_field(&format!("\"x\":{nested}")),
        with_field(&format!("\"labels\":{nested}")),
        with_field("\"sequence\":1e999"),
        with_field("\"remaining-ms\":1e308"),
        unusable.to_string(),
    ];

    for (number, text) in odd_texts.iter().enumerate() {
        let key = format!("servers/odd-{number}");
        cell.store.write_text(&key, text);
    }
    for worker in &cell.workers {
        let (key, mut value) = worker.registration("sales");
        value["state"] = json!("draining");
        cell.store.write(&key, &value);
    }
    let (key, value) = joining.registration("sales");
    cell.store.write(&key, &value);
    cell.workers.push(joining);
    tokio::time::sleep(Duration::from_secs(3)).await;
    cell.submit(0, 2, &job(3)).await;
    cell.wait_for_job_state(0, 2, "completed").await;
    let dump_port = cell.daemons[owner].peer_port;
    let dump = cell
        .send_to_port(dump_port, Method::GET, "/dump", None)
        .await;

    assert_eq!(cell.workers[2].starts().len(), 3);
    let dump = dump.unwrap().1.to_string();
    assert!(!dump.contains("worker odd-"), "{dump}");
    for daemon in &mut cell.daemons {
        assert!(daemon.child.try_wait().unwrap().is_none());
    }
}

/// Guards against the refusal of a job that was accepted, when its caller submits it again, at
/// any daemon, while the store is unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_job_is_never_reported_as_refused() {
    let cell = start_cell(2, Duration::from_millis(200)).await;
    let accepted = cell.submit(0, 1, &job(1)).await;
    cell.wait_for_job_state(0, 1, "completed").await;

    cell.store.set_unavailable(true);
    cell.wait_for("a refusal at both daemons", || async {
        let responses = [
            cell.submit(0, 2, &job(1)).await,
            cell.submit(1, 2, &job(1)).await,
        ];
        responses == [Some(StatusCode::SERVICE_UNAVAILABLE); 2]
    })
    .await;
    let repeated = [
        cell.submit(0, 1, &job(1)).await,
        cell.submit(1, 1, &job(1)).await,
    ];

    assert_eq!(accepted, Some(StatusCode::OK));
    assert_eq!(repeated, [Some(StatusCode::OK); 2]);
    assert_eq!(cell.task_starts().len(), 1);
}

/// Guards against the refusal of a job whose earlier submission was stored, when the answer to
/// that was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_may_be_stored_is_not_reported_as_refused() {
    let cell = start_cell(1, Duration::from_millis(200)).await;

    cell.store.fail_after_commit();
    let first = cell.submit(0, 1, &job(1)).await;
    cell.wait_for("a refusal of another job", || async {
        cell.submit(0, 2, &job(1)).await == Some(StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    let repeated = cell.submit(0, 1, &job(1)).await;
    cell.store.set_unavailable(false);
    cell.wait_for_job_state(0, 1, "completed").await;

    assert_eq!(first, Some(StatusCode::GATEWAY_TIMEOUT));
    assert_eq!(repeated, Some(StatusCode::GATEWAY_TIMEOUT));
    assert_eq!(cell.task_starts().len(), 1);
}

/// Guards against a job that runs although its cancellation was acknowledged before the store
/// carried its submission out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_is_cancelled_before_it_is_stored_does_not_run() {
    let cell = start_cell(2, Duration::from_millis(200)).await;
    let path = "/tokens/0000000000000001";

    cell.store
        .delay_commits("phase/0000000000000001", Duration::from_secs(4));
    let submitted = cell.submit(0, 1, &job(1)).await;
    cell.store.answer_all_commits();
    let state_before = cell.send(0, Method::GET, path, None).await;
    let cancelled = cell.send(0, Method::DELETE, path, None).await;
    let state_after = cell.send(0, Method::GET, path, None).await;
    tokio::time::sleep(Duration::from_secs(5)).await;

    assert_eq!(submitted, Some(StatusCode::GATEWAY_TIMEOUT));
    let states = [state_before, state_after].map(|response| response.map(|row| row.0));
    assert_eq!(
        states,
        [
            Some(StatusCode::SERVICE_UNAVAILABLE),
            Some(StatusCode::GONE)
        ]
    );
    assert_eq!(cancelled.map(|row| row.0), Some(StatusCode::GONE));
    assert_eq!(cell.task_starts().len(), 0);
}

/// Guards against the same after a cancellation at a daemon that knows nothing of the
/// submission, and against a repeated submission that starts the cancelled job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_is_cancelled_at_another_daemon_before_it_is_stored_does_not_run() {
    let cell = start_cell(2, Duration::from_millis(200)).await;
    let path = "/tokens/0000000000000001";

    cell.store
        .delay_commits("phase/0000000000000001", Duration::from_secs(4));
    let submitted = cell.submit(0, 1, &job(1)).await;
    cell.store.answer_all_commits();
    let cancelled = cell.send(1, Method::DELETE, path, None).await;
    let unknown = cell.send(1, Method::GET, path, None).await;
    let repeated = cell.submit(0, 1, &job(1)).await;
    let states = [cell.job_state(0, 1).await, cell.job_state(1, 1).await];
    tokio::time::sleep(Duration::from_secs(5)).await;

    assert_eq!(submitted, Some(StatusCode::GATEWAY_TIMEOUT));
    assert_eq!(cancelled.map(|row| row.0), Some(StatusCode::GONE));
    assert_eq!(unknown.map(|row| row.0), Some(StatusCode::GONE));
    // The job is accepted as it was submitted, in the state to which it was cancelled.
    assert_eq!(repeated, Some(StatusCode::OK));
    assert_eq!(states, [(); 2].map(|()| Some("cancelled".to_owned())));
    assert_eq!(cell.task_starts().len(), 0);
}

/// Guards against a job that is accepted under the identifier of another one, which differs only
/// in case, and never runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_id_has_upper_case_digits_is_rejected_at_once() {
    let cell = start_cell(1, Duration::from_millis(200)).await;
    let (lower, upper) = ("/tokens/00000000000000ab", "/tokens/00000000000000AB");

    let accepted = cell.send(0, Method::POST, lower, Some(&job(1))).await;
    let rejected = cell.send(0, Method::POST, upper, Some(&job(2))).await;
    cell.wait_for_job_state(0, 0xab, "completed").await;
    let queried = cell.send(0, Method::GET, upper, None).await;
    let cancelled = cell.send(0, Method::DELETE, upper, None).await;

    assert_eq!(accepted.map(|row| row.0), Some(StatusCode::OK));
    assert_eq!(rejected.map(|row| row.0), Some(StatusCode::BAD_REQUEST));
    let statuses = [queried, cancelled].map(|response| response.map(|row| row.0));
    assert_eq!(statuses, [Some(StatusCode::GONE); 2]);
    assert_eq!(cell.task_starts().len(), 1);
}

/// Guards against the summaries of a service in which nothing happens any more, as no commit
/// removes them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_summaries_of_an_idle_service_are_removed() {
    let cell = start_cell_with_retention(2, Duration::from_millis(100), 2).await;
    cell.wait_for_owner().await;
    // The owner commits a change of its witnesses after one second.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cell.submit(0, 1, &job(1)).await;
    cell.wait_for_job_state(0, 1, "completed").await;

    cell.wait_for("the removal of the summary", || async {
        cell.store.keys("auburnsaddle/phase/").is_empty()
    })
    .await;
    let response = cell
        .send(0, Method::GET, "/tokens/0000000000000001", None)
        .await;

    assert_eq!(response.map(|row| row.0), Some(StatusCode::GONE));
}

/// Guards against summaries that stay in the store, and in the memory of each daemon, for good
/// because the owner under which their jobs ended is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_successor_removes_the_summaries_of_its_predecessor() {
    let mut cell = start_cell_with_retention(2, Duration::from_millis(100), 2).await;
    let owner = cell.wait_for_owner().await;
    let other = 1 - owner;
    for id in 1..=20 {
        cell.submit(other, id, &job(1)).await;
    }
    for id in 1..=20 {
        cell.wait_for_job_state(other, id, "completed").await;
    }

    cell.daemons[owner].child.kill().unwrap();
    let kept = cell.store.keys("auburnsaddle/phase/").len();
    cell.wait_for("the removal of all summaries", || async {
        cell.store.keys("auburnsaddle/phase/").is_empty()
    })
    .await;
    let peer_port = cell.daemons[other].peer_port;
    cell.wait_for("a daemon that knows no job", || async {
        let dump = cell
            .send_to_port(peer_port, Method::GET, "/dump", None)
            .await;
        dump.is_some_and(|(_, dump)| dump["known_jobs"] == 0)
    })
    .await;

    assert_eq!(kept, 20);
}

/// Guards against an owner that continues after the store has revoked its lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_complete_after_their_owner_loses_its_lease() {
    let cell = start_cell(2, Duration::from_millis(500)).await;
    cell.submit(0, 1, &job(3)).await;

    cell.store.revoke_leases();
    cell.wait_for_job_state(1, 1, "completed").await;
    cell.submit(0, 2, &job(3)).await;
    cell.wait_for_job_state(1, 2, "completed").await;

    cell.assert_no_conflicting_runs();
}

/// Guards against requests that a graceful shutdown interrupts, and against a
/// service that has no owner afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_owner_hands_over_and_answers_until_it_exits() {
    let mut cell = start_cell(2, Duration::from_millis(300)).await;
    let owner = cell.wait_for_owner().await;
    let other = 1 - owner;

    cell.signal(owner, "-TERM");
    let mut responses = 0;
    for id in 1..20 {
        // A refused connection does not count as an interrupted request.
        if let Some(status) = cell.submit(owner, id, &job(1)).await {
            assert_eq!(status, StatusCode::OK);
            responses += 1;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cell.submit(other, 30, &job(2)).await;
    cell.wait_for_job_state(other, 30, "completed").await;
    let status = cell.daemons[owner].child.wait().unwrap();

    assert!(status.success());
    assert!(responses > 10, "{responses} responses");
}

/// Guards against routes that are applied late, that stay after their removal, or
/// that are lost when an invalid manifest follows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_manifest_is_applied_and_an_invalid_one_ignored() {
    let cell = start_cell(1, Duration::from_millis(200)).await;

    cell.store.write("op/config", &manifest(5, &["/rides/"]));
    cell.wait_for("the removal of a queue", || async {
        cell.submit(0, 1, &job(1)).await == Some(StatusCode::NOT_FOUND)
    })
    .await;
    cell.store.write("op/config", &json!({"version": "broken"}));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let added = cell.send(0, Method::GET, "/rides/", None).await;

    assert_eq!(added.map(|row| row.0), Some(StatusCode::OK));
}

/// Guards against polls that transfer a large manifest although it has not changed, and fill
/// the links of the hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unchanged_manifest_is_not_transferred_again() {
    let cell = start_cell(1, Duration::from_millis(200)).await;
    let prefixes: Vec<String> = (0..1_400).map(|route| format!("/stall-{route}/")).collect();
    let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
    cell.store.write("op/config", &manifest(2, &prefixes));
    cell.wait_for("the large manifest", || async {
        let response = cell.send(0, Method::GET, "/stall-1399/", None).await;
        response.is_some_and(|(status, _)| status == StatusCode::OK)
    })
    .await;

    let transfers = cell.store.transfers("op/config");
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert_eq!(cell.store.transfers("op/config"), transfers);
}

/// Guards against accepted jobs that have no owner once no route of the manifest
/// names their service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_completes_after_its_service_is_removed_from_the_manifest() {
    let mut cell = start_cell(1, Duration::from_secs(2)).await;
    cell.submit(0, 1, &job(2)).await;
    let mut without_service = manifest(2, &["/tokens/"]);
    without_service["routes"][0]["service"] = json!("settlement");
    cell.store.write("op/config", &without_service);

    cell.daemons[0].child.kill().unwrap();
    cell.launch("daemon-later");
    cell.wait_until_serving(1).await;
    cell.wait_for_job_state(1, 1, "completed").await;

    cell.assert_no_conflicting_runs();
}

/// Guards against decisions that cannot be found in the log by the request id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decisions_about_a_job_are_logged_with_its_id() {
    let cell = start_cell(1, Duration::from_millis(100)).await;

    cell.submit(0, 0xab, &job(1)).await;
    cell.wait_for_job_state(0, 0xab, "completed").await;

    for message in ["job accepted", "job placed", "job completed"] {
        cell.wait_for(message, || async {
            !cell.log_lines_with(0, message).is_empty()
        })
        .await;
        let line = &cell.log_lines_with(0, message)[0];
        assert_eq!(line["fields"]["request_id"], "00000000000000ab", "{line}");
    }
    let placed = &cell.log_lines_with(0, "job placed")[0]["fields"];
    assert!(
        placed["waited_ms"].is_string() && placed["worker"].is_string(),
        "{placed}"
    );
}

/// Guards against requests that block while standard output is not read, and
/// against dropped log lines that are not reported.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unread_log_delays_no_request() {
    let mut cell = start_cell(0, Duration::from_millis(100)).await;
    cell.launch_without_log_reader("daemon-0");
    cell.wait_until_serving(0).await;

    let started_at = Instant::now();
    let mut id = 0;
    // Writes far more log lines than the pipe buffer holds.
    while started_at.elapsed() < Duration::from_secs(6) {
        id += 1;
        // A request blocked by the log would have no response in time.
        let status = cell.submit(0, id, &json!({"pipeline": id})).await;
        assert_eq!(status, Some(StatusCode::BAD_REQUEST));
    }
    let accepted = cell.submit(0, id + 1, &job(1)).await;
    cell.wait_for_job_state(0, id + 1, "completed").await;
    cell.collect_log_lines(0);

    assert_eq!(accepted, Some(StatusCode::OK));
    cell.wait_for("the report of dropped log lines", || async {
        !cell.log_lines_with(0, "log lines were left out").is_empty()
    })
    .await;
}

/// Guards against a daemon that accepts invalid settings.
#[test]
fn invalid_settings_are_rejected_with_a_reason() {
    let path = std::env::temp_dir().join(format!("cell-bad-{}.json", std::process::id()));
    fs::write(&path, "{\"node-name\": 7}").unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_auburnsaddled"))
        .arg("--check-settings")
        .env("AUBURNSADDLE_SETTINGS", &path)
        .output()
        .unwrap();

    fs::remove_file(&path).unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text.contains("node-name") || text.contains("expected a string"),
        "{text}"
    );
}
