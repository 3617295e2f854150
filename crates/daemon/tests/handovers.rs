//! Tests of handovers of services between daemon processes.

#[path = "support/cell.rs"]
mod support;

use std::time::Duration;

use http::StatusCode;
use support::{CellFixture, job, start_cell};

/// Waits until the daemon owns the service.
async fn wait_for_ownership(cell: &CellFixture, daemon: usize) {
    cell.wait_for("a daemon to own the service", || async {
        cell.wait_for_owner().await == daemon
    })
    .await;
}

/// Guards against a host with little processor time that keeps a service which it took over while
/// the others were away, and decides too slowly for the load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_is_handed_over_to_a_host_with_more_processors() {
    let mut cell = start_cell(0, Duration::from_millis(200)).await;
    cell.launch_on_cores("small", 0.1);
    cell.wait_until_serving(0).await;
    wait_for_ownership(&cell, 0).await;

    cell.launch_on_cores("large", 0.5);
    cell.wait_until_serving(1).await;
    wait_for_ownership(&cell, 1).await;
    let accepted = cell.submit(0, 1, &job(3)).await;
    cell.wait_for_job_state(0, 1, "completed").await;

    assert_eq!(accepted, Some(StatusCode::OK));
    cell.assert_no_conflicting_runs();
}

/// Guards against services that move between hosts of about the same size, as nothing is placed
/// meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_stays_where_no_host_is_much_larger() {
    let mut cell = start_cell(0, Duration::from_millis(200)).await;
    cell.launch_on_cores("first", 0.4);
    cell.wait_until_serving(0).await;
    wait_for_ownership(&cell, 0).await;

    cell.launch_on_cores("second", 0.5);
    cell.wait_until_serving(1).await;
    // Longer than the time after which a handover begins.
    tokio::time::sleep(Duration::from_secs(4)).await;

    let handovers =
        cell.log_lines_with(0, "handing the service over to a host with more processors");
    assert_eq!(handovers.len(), 0);
    assert_eq!(cell.wait_for_owner().await, 0);
}
