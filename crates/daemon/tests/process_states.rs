//! Tests of daemon processes that are suspended or end, and of the fixtures for them.

mod support;

use auburnsaddle_standins::platform::StoreFaults;
use support::{TestCluster, versions::wait_for_version};

/// Guards against a pause that the logs of the daemon and its peers do not show.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_is_logged() {
    let cluster = TestCluster::start_acquainted(2).await;
    let [paused, peer] = &cluster.daemons[..] else {
        panic!("two daemons");
    };

    paused.pause();
    let has_lost = peer.has_logged("daemon-0 is suspected: it sends no heartbeats", 1);
    let has_lost = has_lost.await;
    paused.resume();
    let has_returned = peer.has_logged("daemon-0 is no longer suspected: it sends heartbeats", 1);

    assert!(has_lost);
    assert!(has_returned.await);
    assert!(paused.has_logged("no timer fired for", 1).await);
}

/// Guards against logs in which a process killed during a pause looks like one
/// that stays suspended.
#[tokio::test(flavor = "multi_thread")]
async fn a_kill_during_a_pause_is_logged() {
    let cluster = TestCluster::start_acquainted(2).await;
    let [killed, peer] = &cluster.daemons[..] else {
        panic!("two daemons");
    };

    killed.pause();
    let has_lost = peer.has_logged("daemon-0 is suspected: it sends no heartbeats", 1);
    let has_lost = has_lost.await;
    killed.kill().await;
    let has_refused = peer.has_logged("daemon-0 is suspected: it refuses connections", 1);

    assert!(has_lost);
    assert!(has_refused.await);
}

/// Guards against an outage of the store of which the log shows no end.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_is_logged() {
    let cluster = TestCluster::start(1).await;
    let daemon = &cluster.daemons[0];

    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    let has_failed = daemon.has_logged("watch of the store failed", 1).await;
    cluster.platform.set_faults(StoreFaults::default());
    let has_returned = daemon.has_logged("watching the store from revision", 2);

    assert!(has_failed);
    assert!(has_returned.await);
}

/// Guards against a process killed during its pause that a test takes for a
/// resumed one: `kill` also succeeds for a process that has ended.
#[tokio::test(flavor = "multi_thread")]
#[should_panic(expected = "SIGKILL")]
async fn a_killed_daemon_cannot_be_resumed() {
    let cluster = TestCluster::start(1).await;
    cluster.daemons[0].pause();
    cluster.daemons[0].kill().await;

    cluster.daemons[0].resume();
}

/// Guards against a killed process that a test takes for one that does not apply
/// a version.
#[tokio::test(flavor = "multi_thread")]
#[should_panic(expected = "SIGKILL")]
async fn a_killed_daemon_is_not_awaited() {
    let cluster = TestCluster::start(1).await;
    cluster.daemons[0].kill().await;

    wait_for_version(&cluster, &[0], 2).await;
}
