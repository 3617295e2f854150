//! Tests of real daemon processes under load. Time limits bound the duration of
//! a test; they assert nothing about the speed of the daemons.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use auburnsaddle_standins::platform::StoreFaults;
use futures::future::join_all;
use http::StatusCode;
use serde_json::Value;
use support::{
    CallResult, RunnerFaults, TestCluster, WAIT_TIMEOUT,
    load::{CallerLoad, complete_result, unexpected_results},
    versions::{VersionWatch, wait_for_version},
};

/// Concurrent calls at each daemon.
const CALLS_PER_DAEMON: usize = 4;

/// Concurrent calls at each daemon in tests that exhaust the slots of its runner.
const SATURATING_CALLS_PER_DAEMON: usize = 12;

/// Duration of the longest leases in the store: those of registrations and shards.
const MAX_LEASE: Duration = Duration::from_secs(10);

/// Time within which daemons stop dispatching calls to a leaving host.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Metrics exported by a daemon that owns a call shard and has answered a call.
const CALL_METRICS: [&str; 6] = [
    "auburnsaddle_calls_total{outcome=\"completed\"",
    "auburnsaddle_config_version{otel_scope_name=\"auburnsaddle\"} 1",
    "auburnsaddle_retry_budget{",
    "auburnsaddle_slot_wait_seconds_count{",
    "auburnsaddle_slots_free{",
    "auburnsaddle_takeovers_total{",
];

/// Chunks of a streamed response. Sending them takes far longer than the handover
/// of a shard, so that a daemon which exits too early truncates the response.
const STREAMED_CHUNKS: u32 = 200;

fn completed_call(body: &str) -> CallResult {
    CallResult::Answered(StatusCode::OK, String::new(), format!("done: {body}"))
}

fn is_not_run(result: &CallResult) -> bool {
    matches!(result, CallResult::Answered(_, outcome, _) if outcome == "not-run")
}

fn is_incomplete_or_not_run(result: &CallResult) -> bool {
    let broken = matches!(result, CallResult::Incomplete(_) | CallResult::NotConnected);
    broken || is_not_run(result)
}

fn has_status(result: &CallResult, status: StatusCode) -> bool {
    matches!(result, CallResult::Answered(answered, _, _) if *answered == status)
}

/// Waits until a daemon lists `suspect` as suspected.
async fn wait_for_suspicion(cluster: &TestCluster, daemon: usize, suspect: &str) {
    let started_at = Instant::now();
    loop {
        let suspected = cluster.status(daemon).await["suspected"].clone();
        let names = suspected.as_array();
        if names.is_some_and(|names| names.iter().any(|name| name == suspect)) {
            return;
        }
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "{suspect} is not suspected: {suspected}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until no daemon lists a suspected peer.
async fn wait_for_no_suspicion(cluster: &TestCluster) {
    let started_at = Instant::now();
    for daemon in 0..cluster.daemons.len() {
        loop {
            let suspected = cluster.status(daemon).await["suspected"].clone();
            if suspected.as_array().is_some_and(Vec::is_empty) {
                break;
            }
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "daemons are still suspected: {suspected}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Waits until a daemon knows owners of shards and `former` is none of them.
async fn wait_for_takeover(cluster: &TestCluster, daemon: usize, former: &str) {
    let started_at = Instant::now();
    loop {
        let owners = cluster.owners(daemon).await;
        let owned = owners.as_object().is_some_and(|owners| {
            !owners.is_empty() && owners.values().all(|owner| owner != former)
        });
        if owned {
            return;
        }
        let status = cluster.status(daemon).await;
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "shards of {former} were not taken over: {status}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a daemon that cannot serve calls, and against unreadable
/// metrics or dumps.
#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_serves_a_call() {
    let cluster = TestCluster::start_acquainted(3).await;

    let mut parts = Vec::new();
    let mut runners = 0;
    for daemon in 0..3 {
        let result = cluster.call(daemon, "token").await;
        let metrics = cluster.get(daemon, "/metrics").await;
        let dump = cluster.get(daemon, "/admin/dump").await;

        assert_eq!(result, completed_call("token"));
        assert!(
            matches!(&metrics, CallResult::Answered(_, _, page)
                if CALL_METRICS.iter().all(|name| page.contains(name))),
            "{metrics:?}"
        );
        let CallResult::Answered(_, _, dump) = dump else {
            panic!("the dump request failed: {dump:?}");
        };
        let dump: Value = serde_json::from_str(&dump).expect("a dump in JSON");
        let control = &dump["control"];
        let lengths = ["members", "shards", "pools", "calls", "keys"];
        let lengths = lengths.map(|part| control[part].as_array().map_or(0, Vec::len));
        assert!(dump["store_calls"].is_object(), "{dump}");
        assert_eq!(control["configuration"]["head"]["version"], 1, "{control}");
        assert_eq!(control["journal"]["store_available"], true, "{control}");
        assert_eq!(lengths[..2], [2, 36], "{control}");
        parts.push((lengths[2], lengths[3], lengths[4]));
        runners += control["calls"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|shard| shard["queue"]["runners"][0]["slots"] == 8)
            .count();
    }
    let owned = parts.iter().fold((0, 0, 0), |sum, part| {
        (sum.0 + part.0, sum.1 + part.1, sum.2 + part.2)
    });
    assert_eq!((owned, runners), ((1, 3, 32), 3));
}

/// Guards against a drain that loses or truncates a response, and against one
/// that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_loses_no_response() {
    let mut cluster = TestCluster::start(3).await;
    for runner in &cluster.runners {
        let mut runner = runner.lock();
        runner.behaviour.chunks = STREAMED_CHUNKS;
        runner.behaviour.announce_length = true;
    }
    let drained = cluster.daemons.remove(0);
    // Moves the drained daemon to the end, so that the test can wait for it alone.
    cluster.daemons.push(drained);
    let cluster = Arc::new(cluster);
    let load = CallerLoad::start(&cluster, &[0, 1, 2], CALLS_PER_DAEMON);
    tokio::time::sleep(Duration::from_millis(500)).await;

    cluster.daemons[2].terminate();
    wait_for_takeover(&cluster, 0, "daemon-0").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let results = load.finish().await;
    let mut cluster = Arc::into_inner(cluster).expect("no other references to the cluster");
    let code = cluster.daemons[2].wait_for_exit();

    let wrong = unexpected_results(&results, is_not_run);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(results.contains(&complete_result()));
    assert_eq!(code, Some(0));
}

/// Guards against a crash that interrupts calls at the other daemons or leaves a
/// shard without an owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_is_replaced() {
    let mut cluster = TestCluster::start(3).await;
    cluster.daemons[0].child.kill().expect("a running daemon");
    let cluster = Arc::new(cluster);

    let load = CallerLoad::start(&cluster, &[1, 2], CALLS_PER_DAEMON);
    wait_for_takeover(&cluster, 1, "daemon-0").await;
    let results = load.finish().await;
    let after = cluster.call(1, "after").await;

    let wrong = unexpected_results(&results, |_| false);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(after, completed_call("after"));
}

/// Guards against calls that are rejected after the owner of their shard has
/// crashed, although a successor can grant them a slot before their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn calls_wait_for_the_successor_of_a_crashed_owner() {
    let mut cluster = TestCluster::start_with_one_owner(3).await;
    let owners_before = cluster.owners(1).await;
    cluster.daemons[0].child.kill().expect("a running daemon");
    let cluster = Arc::new(cluster);

    let load = CallerLoad::start(&cluster, &[1, 2], CALLS_PER_DAEMON);
    wait_for_takeover(&cluster, 1, "daemon-0").await;
    let results = load.finish().await;

    let wrong = unexpected_results(&results, |_| false);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(results.len() >= 2 * CALLS_PER_DAEMON);
    let first_owned_all = owners_before
        .as_object()
        .is_some_and(|owners| owners.values().all(|owner| owner == "daemon-0"));
    assert!(first_owned_all, "{owners_before}");
}

/// Guards against calls without an idempotency key that depend on the store.
#[tokio::test(flavor = "multi_thread")]
async fn unkeyed_calls_succeed_during_a_store_outage() {
    let cluster = Arc::new(TestCluster::start(3).await);
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });

    let load = CallerLoad::start(&cluster, &[0, 1, 2], CALLS_PER_DAEMON);
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.platform.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let results = load.finish().await;

    let wrong = unexpected_results(&results, |_| false);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(!results.is_empty());
}

/// Guards against a crash under load that loses or repeats calls at other daemons
/// or truncates a response. The killed daemon owns either all shards or none.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_under_load_fails_only_calls_at_the_crashed_daemon() {
    for killed_index in [0, 2] {
        let mut cluster = TestCluster::start_with_one_owner(3).await;
        wait_for_no_suspicion(&cluster).await;
        let mut killed = cluster.daemons.remove(killed_index);
        let cluster = Arc::new(cluster);
        let load_at_others = CallerLoad::start(&cluster, &[0, 1], CALLS_PER_DAEMON);
        let addresses = Arc::new(Mutex::new(vec![killed.address]));
        let load_at_killed =
            CallerLoad::start_with_book(&cluster, &addresses, &[0], CALLS_PER_DAEMON);
        tokio::time::sleep(Duration::from_millis(300)).await;

        killed.child.kill().expect("a running daemon");
        let results_at_killed = load_at_killed.finish().await;
        wait_for_takeover(&cluster, 1, &format!("daemon-{killed_index}")).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let results_at_others = load_at_others.finish().await;

        let wrong = unexpected_results(&results_at_others, |_| false);
        assert_eq!(
            wrong,
            Vec::<&CallResult>::new(),
            "killed daemon {killed_index}"
        );
        let unexpected = unexpected_results(&results_at_killed, is_incomplete_or_not_run);
        assert_eq!(
            unexpected,
            Vec::<&CallResult>::new(),
            "killed daemon {killed_index}"
        );
        assert_eq!(cluster.runner_faults(), RunnerFaults::default());
    }
}

/// Guards against requests that arrive while the daemon is paused and fail on the
/// header timeout when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_longer_than_the_header_timeout_fails_no_request() {
    let mut cluster = TestCluster::start(1).await;
    let paused = cluster.start_daemon(1, &["--header-timeout-ms", "300"]);
    cluster.wait_until_answering(paused.address).await;
    cluster.daemons.push(paused);
    let calls = || join_all((0..SATURATING_CALLS_PER_DAEMON).map(|_| cluster.call(1, "token")));

    for pause in 0..3 {
        let first = calls().await;
        cluster.daemons[1].pause();
        let second = async {
            tokio::time::sleep(Duration::from_millis(700)).await;
            cluster.daemons[1].resume();
        };
        let (second, ()) = tokio::join!(calls(), second);

        assert_eq!(
            first,
            vec![completed_call("token"); SATURATING_CALLS_PER_DAEMON],
            "pause {pause}"
        );
        assert_eq!(
            second,
            vec![completed_call("token"); SATURATING_CALLS_PER_DAEMON],
            "pause {pause}"
        );
    }
}

/// Lets a replaced owner grant slots under its old epoch: it is partitioned from
/// its peers, and the watches of the store deliver no events.
async fn run_with_replaced_owner_granting(cluster: &Arc<TestCluster>) -> Vec<CallResult> {
    wait_for_no_suspicion(cluster).await;
    cluster.platform.set_faults(StoreFaults {
        silent_watches: true,
        ..StoreFaults::default()
    });
    // More calls than the slots of the other zones, so that the successor lends
    // slots of the first zone under its own epoch.
    let load = CallerLoad::start(cluster, &[0, 1, 2], SATURATING_CALLS_PER_DAEMON);
    cluster.network.isolate(0, &[1, 2]);
    wait_for_takeover(cluster, 1, "daemon-0").await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.platform.set_faults(StoreFaults::default());
    cluster.network.unblock_all();
    wait_for_no_suspicion(cluster).await;
    load.finish().await
}

/// Guards against calls that start under the epoch of a replaced owner. The
/// rejections by the runners prove that such starts were attempted.
#[tokio::test(flavor = "multi_thread")]
async fn runners_fence_a_replaced_owner_that_still_grants_slots() {
    let cluster = Arc::new(TestCluster::start_with_proxies(3).await);

    let results = run_with_replaced_owner_granting(&cluster).await;

    let wrong = unexpected_results(&results, is_not_run);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(cluster.runner_faults(), RunnerFaults::default());
    assert!(cluster.fenced_calls() > 0);
}

/// Shows that the runners' epoch check is what prevents starts under an old epoch.
#[tokio::test(flavor = "multi_thread")]
async fn runners_that_ignore_epochs_start_calls_of_a_replaced_owner() {
    let cluster = Arc::new(TestCluster::start_with_proxies(3).await);
    for runner in &cluster.runners {
        runner.lock().behaviour.ignore_epochs = true;
    }

    run_with_replaced_owner_granting(&cluster).await;

    assert!(!cluster.runner_faults().outdated_starts.is_empty());
}

/// Results of calls and publications while an owner was paused.
struct PauseResults {
    calls: Vec<CallResult>,
    /// Result of publishing version 2 at another daemon during the pause.
    current_publication: CallResult,
    /// Result of publishing at the paused daemon, based on version 1.
    stale_publication: CallResult,
}

/// Pauses the owner of all shards under load until all its leases have expired,
/// resumes it, and waits until it has the current version and the new owners.
async fn pause_owner_past_leases(cluster: &Arc<TestCluster>) -> PauseResults {
    let load = CallerLoad::start(cluster, &[0, 1, 2], SATURATING_CALLS_PER_DAEMON);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.daemons[0].pause();
    wait_for_takeover(cluster, 1, "daemon-0").await;
    let current_publication = cluster.apply(1, 1, 3_000).await;
    tokio::time::sleep(MAX_LEASE + Duration::from_secs(1)).await;
    let resume = async {
        tokio::task::yield_now().await;
        cluster.daemons[0].resume();
    };
    let (stale_publication, ()) = tokio::join!(cluster.apply(0, 1, 4_000), resume);
    wait_for_version(cluster, &[0, 1, 2], 2).await;
    wait_for_takeover(cluster, 0, "daemon-0").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    PauseResults {
        calls: load.finish().await,
        current_publication,
        stale_publication,
    }
}

/// Guards against an owner that still grants slots and publishes versions
/// after a pause longer than all leases, and against a reverted version.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_is_fenced() {
    let cluster = Arc::new(TestCluster::start_with_one_owner(3).await);
    let versions = VersionWatch::start(&cluster);

    let results = pause_owner_past_leases(&cluster).await;
    let reverts = versions.finish().await;

    let wrong = unexpected_results(&results.calls, is_not_run);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(cluster.runner_faults(), RunnerFaults::default());
    let PauseResults {
        current_publication,
        stale_publication,
        ..
    } = results;
    assert!(
        has_status(&current_publication, StatusCode::OK),
        "{current_publication:?}"
    );
    assert!(
        has_status(&stale_publication, StatusCode::CONFLICT),
        "{stale_publication:?}"
    );
    assert_eq!(reverts, Vec::new());
}

/// Guards against a takeover or a lost call when only two daemons cannot reach
/// each other, or when one receives no messages but all receive its own. Guards
/// also against calls that wait for the end of the partition, and against lost
/// slots, although a third daemon can relay between both sides.
#[tokio::test(flavor = "multi_thread")]
async fn a_partition_without_majority_suspicion_changes_no_owner() {
    let partitions = [
        (vec![(0, 1), (1, 0)], 3 * CALLS_PER_DAEMON),
        (vec![(1, 0)], 3 * CALLS_PER_DAEMON),
        (vec![(1, 0), (2, 0)], 0),
    ];
    for (links, relayed_calls) in partitions {
        let cluster = Arc::new(TestCluster::start_with_proxies(3).await);
        wait_for_no_suspicion(&cluster).await;
        let load = CallerLoad::start(&cluster, &[0, 1, 2], CALLS_PER_DAEMON);

        for (from, to) in &links {
            cluster.network.block(*from, *to);
        }
        wait_for_suspicion(&cluster, 0, "daemon-1").await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let relayed = join_all((0..relayed_calls).map(|_| cluster.call(1, "relayed"))).await;
        let owners = cluster.owners(2).await;
        cluster.network.unblock_all();
        let results = load.finish().await;

        let names = owners.as_object().expect("an owner for each shard");
        assert!(names.values().all(|owner| owner == "daemon-0"), "{owners}");
        assert!(
            relayed
                .iter()
                .all(|result| *result == completed_call("relayed"))
        );
        let wrong = unexpected_results(&results, |_| false);
        assert_eq!(wrong, Vec::<&CallResult>::new(), "{links:?}");
        assert_eq!(cluster.runner_faults(), RunnerFaults::default());
    }
}

/// Guards against an owner that keeps its shards although no peer receives its
/// messages, against calls that run twice during the takeover, and against
/// daemons that remain suspected after the partition has healed.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_reaches_no_peer_is_replaced() {
    for is_bidirectional in [true, false] {
        let cluster = Arc::new(TestCluster::start_with_proxies(3).await);
        wait_for_no_suspicion(&cluster).await;
        let versions = VersionWatch::start(&cluster);
        let load = CallerLoad::start(&cluster, &[0, 1, 2], CALLS_PER_DAEMON);

        if is_bidirectional {
            cluster.network.isolate(0, &[1, 2]);
        } else {
            cluster.network.block(0, 1);
            cluster.network.block(0, 2);
        }
        wait_for_takeover(&cluster, 1, "daemon-0").await;
        let publication = cluster.apply(2, 1, 3_000).await;
        wait_for_version(&cluster, &[0, 1, 2], 2).await;
        cluster.network.unblock_all();
        wait_for_no_suspicion(&cluster).await;
        let results = load.finish().await;
        let reverts = versions.finish().await;

        let wrong = unexpected_results(&results, is_not_run);
        assert_eq!(
            wrong,
            Vec::<&CallResult>::new(),
            "bidirectional: {is_bidirectional}"
        );
        assert_eq!(cluster.runner_faults(), RunnerFaults::default());
        assert!(has_status(&publication, StatusCode::OK), "{publication:?}");
        assert_eq!(reverts, Vec::new());
    }
}

/// Guards against a daemon that cannot get its first configuration without the
/// store.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_without_the_store_pulls_from_its_peers() {
    let mut cluster = TestCluster::start_with_one_owner(3).await;
    cluster.daemons[2].child.kill().expect("a running daemon");
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    let peer = cluster.daemons[1].peer_address.to_string();

    cluster.daemons[2] = cluster.start_daemon(2, &["--peers", &peer]);
    wait_for_version(&cluster, &[2], 1).await;
    let result = cluster.call(2, "token").await;
    cluster.platform.set_faults(StoreFaults::default());
    let publication = cluster.apply(2, 1, 3_000).await;
    wait_for_version(&cluster, &[0, 1, 2], 2).await;

    assert_eq!(result, completed_call("token"));
    assert!(has_status(&publication, StatusCode::OK), "{publication:?}");
}

/// Guards against a version that is published twice, or reported as failed,
/// because the response to its write was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_whose_response_was_lost_is_published_once() {
    let cluster = Arc::new(TestCluster::start(3).await);
    let versions = VersionWatch::start(&cluster);

    let mut results = Vec::new();
    for base in 1..=3 {
        cluster.platform.set_faults(StoreFaults {
            lose_responses: 1,
            ..StoreFaults::default()
        });
        let deadline = 3_000 + u32::try_from(base).expect("a base version that fits u32");
        results.push(cluster.apply(0, base, deadline).await);
        wait_for_version(&cluster, &[0, 1, 2], base + 1).await;
    }
    let reverts = versions.finish().await;

    let refused = results
        .iter()
        .find(|result| !has_status(result, StatusCode::OK));
    assert_eq!(refused, None);
    assert_eq!(cluster.platform.lock().faults.lose_responses, 0);
    assert_eq!(reverts, Vec::new());
}

/// Guards against two concurrent publications that both succeed on the same base
/// version, and against a conflict that is not reported.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_publications_succeeds() {
    let cluster = Arc::new(TestCluster::start(3).await);
    let versions = VersionWatch::start(&cluster);

    for base in 1..=5 {
        let (one, other) = tokio::join!(
            cluster.apply(0, base, 3_000 + 2 * u32::try_from(base).unwrap()),
            cluster.apply(1, base, 3_001 + 2 * u32::try_from(base).unwrap()),
        );
        wait_for_version(&cluster, &[0, 1, 2], base + 1).await;

        let results = [&one, &other];
        let count = |status| {
            results
                .iter()
                .filter(|result| has_status(result, status))
                .count()
        };
        assert_eq!(count(StatusCode::OK), 1, "{results:?}");
        assert_eq!(count(StatusCode::CONFLICT), 1, "{results:?}");
    }

    assert_eq!(versions.finish().await, Vec::new());
}

/// Guards against a truncated or hanging response when a runner crashes while
/// sending it, and against a later call that is reported as possibly run.
#[tokio::test(flavor = "multi_thread")]
async fn a_runner_crash_is_an_error_for_the_caller() {
    let cluster = Arc::new(TestCluster::start(1).await);
    cluster.runners[0].lock().behaviour.chunks = STREAMED_CHUNKS;
    let load = CallerLoad::start(&cluster, &[0], CALLS_PER_DAEMON);
    tokio::time::sleep(Duration::from_millis(300)).await;

    cluster.kill_runner(0);
    let results = load.finish().await;
    let after = cluster.call(0, "after").await;

    let short = unexpected_results(&results, is_incomplete_or_not_run);
    assert_eq!(short, Vec::<&CallResult>::new());
    let broken = |result: &&CallResult| matches!(result, CallResult::Incomplete(_));
    assert!(results.iter().filter(broken).count() >= CALLS_PER_DAEMON);
    assert!(is_not_run(&after), "{after:?}");
}

/// Guards against new calls to a runner on a leaving host, and against the loss of
/// calls that the runner is still answering.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_call() {
    let cluster = Arc::new(TestCluster::start(2).await);
    for runner in &cluster.runners {
        runner.lock().behaviour.chunks = STREAMED_CHUNKS;
    }
    let load = CallerLoad::start(&cluster, &[0, 1], CALLS_PER_DAEMON);
    tokio::time::sleep(Duration::from_millis(300)).await;

    cluster.platform.lock().hosts[0]["state"] = "leaving".into();
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    let after = cluster.runners[0].lock().starts().len();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let later = cluster.runners[0].lock().starts().len();
    let results = load.finish().await;

    assert_eq!(later, after);
    let wrong = unexpected_results(&results, is_not_run);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(cluster.runner_faults(), RunnerFaults::default());
}

/// Guards against a rolling restart that interrupts or loses a call.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_loses_no_call() {
    let mut cluster = TestCluster::start(3).await;
    let addresses = cluster.address_book();
    let mut daemons = std::mem::take(&mut cluster.daemons);
    let cluster = Arc::new(cluster);
    let load = CallerLoad::start_with_book(&cluster, &addresses, &[0, 1, 2], CALLS_PER_DAEMON);

    let mut exit_codes = Vec::new();
    for (index, daemon) in daemons.iter_mut().enumerate() {
        daemon.terminate();
        exit_codes.push(daemon.wait_for_exit_async().await);
        *daemon = cluster.start_daemon(index, &[]);
        cluster.wait_until_answering(daemon.address).await;
        addresses.lock().expect("no poisoned lock")[index] = daemon.address;
    }
    let results = load.finish().await;

    let wrong = unexpected_results(&results, |_| false);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(exit_codes, vec![Some(0); 3]);
    assert_eq!(cluster.runner_faults(), RunnerFaults::default());
}

/// Guards against a truncated response that looks complete, with and without a
/// `content-length`.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_is_an_error_for_the_caller() {
    let cluster = TestCluster::start(1).await;

    for announce_length in [false, true] {
        {
            let mut runner = cluster.runners[0].lock();
            runner.behaviour.chunks = 10;
            runner.behaviour.cut_after = Some(4);
            runner.behaviour.announce_length = announce_length;
        }
        let result = cluster.call(0, "token").await;

        assert!(matches!(result, CallResult::Incomplete(_)), "{result:?}");
    }
}

/// Guards against a call whose stream the runner refused and that is reported as
/// possibly run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_stream_is_reported_as_not_run() {
    let cluster = TestCluster::start(1).await;
    cluster.runners[0].lock().behaviour.refuse_stream = true;

    let result = cluster.call(0, "token").await;

    assert!(is_not_run(&result), "{result:?}");
}

/// Guards against a request id that does not reach the runner, and against an
/// invalid one that is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn the_request_id_of_a_caller_reaches_the_runner() {
    const ID: &str = "00112233445566778899aabbccddeeff";
    let cluster = TestCluster::start(1).await;

    let result = cluster
        .call_with_header("auburnsaddle-request-id", ID)
        .await;
    let rejected = cluster
        .call_with_header("auburnsaddle-request-id", "x y")
        .await;

    assert_eq!(result, completed_call("token"));
    assert!(matches!(
        rejected,
        CallResult::Answered(StatusCode::BAD_REQUEST, _, _)
    ));
    let starts = cluster.runners[0].lock().starts().to_vec();
    assert_eq!(starts.last().map(|start| start.request.as_str()), Some(ID));
}

/// Guards against request heads that exhaust the memory of a daemon, and against
/// malformed HTTP that ends the daemon or other connections.
#[tokio::test(flavor = "multi_thread")]
async fn bad_request_heads_are_rejected_and_calls_continue() {
    let cluster = TestCluster::start(1).await;
    let many_headers = "x: y\r\n".repeat(500);
    let long_header = format!("x: {}\r\n", "y".repeat(1 << 20));

    let mut answers = Vec::new();
    for headers in [&many_headers, &long_header, "no colon here\r\n"] {
        answers.push(
            cluster
                .send_raw(&format!("GET / HTTP/1.1\r\n{headers}\r\n"))
                .await,
        );
    }
    let result = cluster.call(0, "token").await;

    let accepted: Vec<_> = answers
        .iter()
        .filter(|answer| !answer.is_empty() && !answer.starts_with("HTTP/1.1 4"))
        .collect();
    assert_eq!(accepted, Vec::<&String>::new());
    assert_eq!(result, completed_call("token"));
}
