//! Tests of the keys of teams with daemon processes and stand-ins for the platform.

#[path = "support/cell.rs"]
mod support;

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use support::{CellFixture, job, manifest, start_cell};

const JOB_PATH: &str = "/tokens/0000000000000001";

/// Returns a version of the manifest with one queue, in which each team has the given keys.
fn manifest_with_teams(version: u64, teams: &[(&str, &[&str])]) -> Value {
    let teams = teams
        .iter()
        .map(|(name, keys)| json!({"name": name, "api-keys": keys, "weight": 5}));
    let mut manifest = manifest(version, &["/tokens/"]);
    manifest["tenants"] = teams.collect();
    manifest
}

/// Starts daemons with the keys of two teams in force.
async fn start_cell_with_teams(daemons: usize) -> CellFixture {
    let cell = start_cell(daemons, Duration::from_millis(200)).await;
    let teams = manifest_with_teams(2, &[("north", &["key-n"]), ("south", &["key-s"])]);
    cell.store.write("op/config", &teams);
    for daemon in 0..daemons {
        wait_for_status(&cell, daemon, None, StatusCode::UNAUTHORIZED).await;
    }
    cell
}

/// Waits until a query of the queue with a key is answered with a status.
async fn wait_for_status(
    cell: &CellFixture,
    daemon: usize,
    key: Option<&'static str>,
    status: StatusCode,
) {
    let condition = format!("{status} for the key {key:?}");
    cell.wait_for(&condition, || async {
        let response = cell
            .send_with_key(daemon, Method::GET, "/tokens/", None, key)
            .await;
        response.is_some_and(|(answer, _)| answer == status)
    })
    .await;
}

/// Returns the status of a request to a daemon.
async fn status(
    cell: &CellFixture,
    daemon: usize,
    method: Method,
    key: Option<&str>,
) -> Option<StatusCode> {
    let body = (method == Method::POST).then(|| job(1));
    let response = cell
        .send_with_key(daemon, method, JOB_PATH, body.as_ref(), key)
        .await;
    response.map(|(status, _)| status)
}

/// Guards against a job that runs without a valid key, and one that other teams see or cancel.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_belongs_to_the_team_of_its_key() {
    let cell = start_cell_with_teams(2).await;

    let denied = [
        status(&cell, 0, Method::POST, None).await,
        status(&cell, 0, Method::POST, Some("key-x")).await,
    ];
    let accepted = status(&cell, 0, Method::POST, Some("key-n")).await;
    let foreign = [
        status(&cell, 1, Method::GET, Some("key-s")).await,
        status(&cell, 1, Method::DELETE, Some("key-s")).await,
        status(&cell, 1, Method::POST, Some("key-s")).await,
    ];
    cell.wait_for("the end of the job", || async {
        let state = cell
            .send_with_key(1, Method::GET, JOB_PATH, None, Some("key-n"))
            .await;
        state.is_some_and(|(_, body)| body["state"] == "completed")
    })
    .await;

    assert_eq!(denied, [Some(StatusCode::UNAUTHORIZED); 2]);
    assert_eq!(accepted, Some(StatusCode::OK));
    assert_eq!(
        foreign,
        [
            Some(StatusCode::GONE),
            Some(StatusCode::GONE),
            Some(StatusCode::CONFLICT)
        ]
    );
    assert_eq!(cell.task_starts().len(), 1);
}

/// Guards against a key rotation that rejects a call, and a withdrawn key that stays valid, also at
/// a daemon that starts again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_rotated_without_a_rejected_call() {
    let mut cell = start_cell_with_teams(2).await;

    let both = manifest_with_teams(3, &[("north", &["key-n", "key-m"]), ("south", &["key-s"])]);
    cell.store.write("op/config", &both);
    wait_for_status(&cell, 0, Some("key-m"), StatusCode::OK).await;
    wait_for_status(&cell, 1, Some("key-m"), StatusCode::OK).await;
    let during = status(&cell, 0, Method::POST, Some("key-n")).await;
    let rotated = manifest_with_teams(4, &[("north", &["key-m"]), ("south", &["key-s"])]);
    cell.store.write("op/config", &rotated);
    wait_for_status(&cell, 0, Some("key-n"), StatusCode::UNAUTHORIZED).await;
    wait_for_status(&cell, 1, Some("key-n"), StatusCode::UNAUTHORIZED).await;
    let same_job = status(&cell, 1, Method::GET, Some("key-m")).await;
    cell.signal(0, "-KILL");
    cell.daemons[0].child.wait().unwrap();
    cell.launch("daemon-0");
    wait_for_status(&cell, 2, Some("key-m"), StatusCode::OK).await;
    let after_restart = status(&cell, 2, Method::POST, Some("key-n")).await;

    assert_eq!(during, Some(StatusCode::OK));
    assert_eq!(same_job, Some(StatusCode::OK));
    assert_eq!(after_restart, Some(StatusCode::UNAUTHORIZED));
}

/// Guards against a daemon that was suspended while a key was withdrawn and accepts it afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_daemon_does_not_accept_a_withdrawn_key() {
    let cell = start_cell_with_teams(2).await;

    cell.signal(0, "-STOP");
    let withdrawn = manifest_with_teams(3, &[("north", &["key-m"]), ("south", &["key-s"])]);
    cell.store.write("op/config", &withdrawn);
    // Longer than the age from which a manifest is confirmed before it is used.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    cell.signal(0, "-CONT");
    let resumed = status(&cell, 0, Method::POST, Some("key-n")).await;

    assert_eq!(resumed, Some(StatusCode::UNAUTHORIZED));
}

/// Guards against a manifest with contradictory teams that replaces the one in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_contradictory_manifest_leaves_the_keys_in_force() {
    let cell = start_cell_with_teams(1).await;

    let shared = manifest_with_teams(3, &[("north", &["key-z"]), ("south", &["key-z"])]);
    cell.store.write("op/config", &shared);
    cell.wait_for("the rejection of the manifest", || async {
        let lines = cell.log_lines(0);
        lines.iter().any(|line| {
            let message = line["message"].as_str().unwrap_or_default();
            message.contains("api-keys")
        })
    })
    .await;
    let known = status(&cell, 0, Method::POST, Some("key-n")).await;
    let shared = status(&cell, 0, Method::POST, Some("key-z")).await;

    assert_eq!(known, Some(StatusCode::OK));
    assert_eq!(shared, Some(StatusCode::UNAUTHORIZED));
    let lines = cell.log_lines(0);
    assert!(!lines.iter().any(|line| line.to_string().contains("key-")));
}
