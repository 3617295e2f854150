//! Tests of daemon processes that are suspended or end, and of the fixtures for them.

mod support;

use support::{TestCluster, versions::wait_for_version};

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
