//! Tests with real daemon processes under load. Times bound how long a test may
//! take, never how fast the daemons are.

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

/// Calls in progress at once at each daemon.
const CALLERS: usize = 4;

/// Calls in progress at once at each daemon when its runner is to be full.
const MANY_CALLERS: usize = 12;

/// The longest lease in the store, that of a registration or a shard.
const LONGEST_LEASE: Duration = Duration::from_secs(10);

/// Time after which a leaving host gets no new call.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// Metrics of a daemon that owns a call shard and has answered a call.
const CALL_METRICS: [&str; 6] = [
    "auburnsaddle_calls_total{outcome=\"completed\"",
    "auburnsaddle_config_version{otel_scope_name=\"auburnsaddle\"} 1",
    "auburnsaddle_retry_budget{",
    "auburnsaddle_slot_wait_seconds_count{",
    "auburnsaddle_slots_free{",
    "auburnsaddle_takeovers_total{",
];

/// Parts of a response that takes far longer than the handover of a shard, so
/// that a daemon which exits too early cuts it.
const STREAMED_CHUNKS: u32 = 200;

fn done(body: &str) -> CallResult {
    CallResult::Answered(StatusCode::OK, String::new(), format!("done: {body}"))
}

fn is_not_run(result: &CallResult) -> bool {
    matches!(result, CallResult::Answered(_, outcome, _) if outcome == "not-run")
}

fn is_no_answer(result: &CallResult) -> bool {
    let broken = matches!(result, CallResult::Incomplete(_) | CallResult::NotConnected);
    broken || is_not_run(result)
}

fn is_status(result: &CallResult, status: StatusCode) -> bool {
    matches!(result, CallResult::Answered(answered, _, _) if *answered == status)
}

/// Waits until a daemon suspects another one.
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
            "not suspected: {suspected}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until no daemon suspects another one.
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
                "suspected: {suspected}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Waits until a daemon names no shard of `former` any more.
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
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no takeover: {status}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a daemon that cannot serve a call, and against a process whose
/// metrics or dump cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_serves_a_call() {
    let cluster = TestCluster::start(3).await;

    let mut parts = Vec::new();
    let mut runners = 0;
    for daemon in 0..3 {
        let result = cluster.call(daemon, "token").await;
        let metrics = cluster.get(daemon, "/metrics").await;
        let dump = cluster.get(daemon, "/admin/dump").await;

        assert_eq!(result, done("token"));
        assert!(
            matches!(&metrics, CallResult::Answered(_, _, page)
                if CALL_METRICS.iter().all(|name| page.contains(name))),
            "{metrics:?}"
        );
        let CallResult::Answered(_, _, dump) = dump else {
            panic!("no dump: {dump:?}");
        };
        let dump: Value = serde_json::from_str(&dump).expect("the dump is JSON");
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

/// Guards against a drain that loses or cuts a response, and against one that
/// does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_loses_no_response() {
    let mut cluster = TestCluster::start(3).await;
    for runner in &cluster.runners {
        let mut runner = runner.lock();
        runner.behaviour.chunks = STREAMED_CHUNKS;
        runner.behaviour.announce_length = true;
    }
    let drained = cluster.daemons.remove(0);
    // The drained daemon is moved to the end so that it can be waited for alone.
    cluster.daemons.push(drained);
    let cluster = Arc::new(cluster);
    let load = CallerLoad::start(&cluster, &[0, 1, 2], CALLERS);
    tokio::time::sleep(Duration::from_millis(500)).await;

    cluster.daemons[2].terminate();
    wait_for_takeover(&cluster, 0, "daemon-0").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let results = load.finish().await;
    let mut cluster = Arc::into_inner(cluster).expect("all callers have ended");
    let code = cluster.daemons[2].wait_for_exit();

    let wrong = unexpected_results(&results, is_not_run);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(results.contains(&complete_result()));
    assert_eq!(code, Some(0));
}

/// Guards against a crash that stops the calls of other daemons or leaves a
/// shard without an owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_is_replaced() {
    let mut cluster = TestCluster::start(3).await;
    cluster.daemons[0].child.kill().expect("the daemon runs");
    let cluster = Arc::new(cluster);

    let load = CallerLoad::start(&cluster, &[1, 2], CALLERS);
    wait_for_takeover(&cluster, 1, "daemon-0").await;
    let results = load.finish().await;
    let after = cluster.call(1, "after").await;

    let wrong = unexpected_results(&results, |_| false);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(after, done("after"));
}

/// Guards against calls that are rejected because the owner of their shard has
/// just died, although a successor can grant them a slot before their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn calls_wait_for_the_successor_of_a_dead_owner() {
    let mut cluster = TestCluster::start_with_one_owner(3).await;
    let owners_before = cluster.owners(1).await;
    cluster.daemons[0].child.kill().expect("the daemon runs");
    let cluster = Arc::new(cluster);

    let load = CallerLoad::start(&cluster, &[1, 2], CALLERS);
    wait_for_takeover(&cluster, 1, "daemon-0").await;
    let results = load.finish().await;

    let wrong = unexpected_results(&results, |_| false);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(results.len() >= 2 * CALLERS);
    let first_owned_all = owners_before
        .as_object()
        .is_some_and(|owners| owners.values().all(|owner| owner == "daemon-0"));
    assert!(first_owned_all, "{owners_before}");
}

/// Guards against plain calls that depend on the store.
#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_continue_without_the_store() {
    let cluster = Arc::new(TestCluster::start(3).await);
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });

    let load = CallerLoad::start(&cluster, &[0, 1, 2], CALLERS);
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.platform.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let results = load.finish().await;

    let wrong = unexpected_results(&results, |_| false);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert!(!results.is_empty());
}

/// Guards against a crash under load that loses or doubles calls of others, or
/// ends a response early. The victim owns all shards, or is an entry only.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_under_load_harms_only_the_calls_of_its_daemon() {
    for victim in [0, 2] {
        let mut cluster = TestCluster::start_with_one_owner(3).await;
        wait_for_no_suspicion(&cluster).await;
        let mut killed = cluster.daemons.remove(victim);
        let cluster = Arc::new(cluster);
        let others = CallerLoad::start(&cluster, &[0, 1], CALLERS);
        let book = Arc::new(Mutex::new(vec![killed.address]));
        let own = CallerLoad::start_with_book(&cluster, &book, &[0], CALLERS);
        tokio::time::sleep(Duration::from_millis(300)).await;

        killed.child.kill().expect("the daemon runs");
        let own = own.finish().await;
        wait_for_takeover(&cluster, 1, &format!("daemon-{victim}")).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let others = others.finish().await;

        let wrong = unexpected_results(&others, |_| false);
        assert_eq!(wrong, Vec::<&CallResult>::new(), "victim {victim}");
        let cut = unexpected_results(&own, is_no_answer);
        assert_eq!(cut, Vec::<&CallResult>::new(), "victim {victim}");
        assert_eq!(cluster.runner_faults(), RunnerFaults::default());
    }
}

/// Guards against a request that arrived while the daemon was paused and loses
/// its connection to the header timeout when the daemon resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_longer_than_the_header_timeout_resets_no_request() {
    let mut cluster = TestCluster::start(1).await;
    let paused = cluster.start_daemon(1, &["--header-timeout-ms", "300"]);
    cluster.wait_until_answering(paused.address).await;
    cluster.daemons.push(paused);
    let calls = || join_all((0..MANY_CALLERS).map(|_| cluster.call(1, "token")));

    for pause in 0..3 {
        let first = calls().await;
        cluster.daemons[1].pause();
        let second = async {
            tokio::time::sleep(Duration::from_millis(700)).await;
            cluster.daemons[1].resume();
        };
        let (second, ()) = tokio::join!(calls(), second);

        assert_eq!(first, vec![done("token"); MANY_CALLERS], "pause {pause}");
        assert_eq!(second, vec![done("token"); MANY_CALLERS], "pause {pause}");
    }
}

/// Lets an owner that was replaced grant slots for a while: it is cut off from
/// its peers, and no watch of the store tells it.
async fn keep_a_replaced_owner_granting(cluster: &Arc<TestCluster>) -> Vec<CallResult> {
    wait_for_no_suspicion(cluster).await;
    cluster.platform.set_faults(StoreFaults {
        silent_watches: true,
        ..StoreFaults::default()
    });
    // More calls than the other zones have slots, so that the successor lends
    // slots of the first zone under its epoch.
    let load = CallerLoad::start(cluster, &[0, 1, 2], MANY_CALLERS);
    cluster.network.isolate(0, &[1, 2]);
    wait_for_takeover(cluster, 1, "daemon-0").await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.platform.set_faults(StoreFaults::default());
    cluster.network.unblock_all();
    wait_for_no_suspicion(cluster).await;
    load.finish().await
}

/// Guards against starts under the epoch of an owner that was replaced. The
/// runners' rejections show that there were such attempts.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_does_not_know_its_successor_is_fenced() {
    let cluster = Arc::new(TestCluster::start_with_proxies(3).await);

    let results = keep_a_replaced_owner_granting(&cluster).await;

    let wrong = unexpected_results(&results, is_not_run);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(cluster.runner_faults(), RunnerFaults::default());
    assert!(cluster.fenced_calls() > 0);
}

/// Shows that the check of epochs at the runners is what prevents such starts.
#[tokio::test(flavor = "multi_thread")]
async fn runners_that_ignore_epochs_serve_a_replaced_owner() {
    let cluster = Arc::new(TestCluster::start_with_proxies(3).await);
    for runner in &cluster.runners {
        runner.lock().behaviour.ignore_epochs = true;
    }

    keep_a_replaced_owner_granting(&cluster).await;

    assert!(!cluster.runner_faults().outdated_starts.is_empty());
}

/// What callers and operators got while an owner was paused.
struct PauseResults {
    calls: Vec<CallResult>,
    /// A publication at another daemon during the pause.
    applied: CallResult,
    /// A publication at the paused daemon, on the version before that one.
    stale: CallResult,
}

/// Pauses the owner of all shards past all leases while calls arrive, and waits
/// until it has found its place among its peers again.
async fn pause_the_owner(cluster: &Arc<TestCluster>) -> PauseResults {
    let load = CallerLoad::start(cluster, &[0, 1, 2], MANY_CALLERS);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.daemons[0].pause();
    wait_for_takeover(cluster, 1, "daemon-0").await;
    let applied = cluster.apply(1, 1, 3_000).await;
    tokio::time::sleep(LONGEST_LEASE + Duration::from_secs(1)).await;
    let resume = async {
        tokio::task::yield_now().await;
        cluster.daemons[0].resume();
    };
    let (stale, ()) = tokio::join!(cluster.apply(0, 1, 4_000), resume);
    wait_for_version(cluster, &[0, 1, 2], 2).await;
    wait_for_takeover(cluster, 0, "daemon-0").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    PauseResults {
        calls: load.finish().await,
        applied,
        stale,
    }
}

/// Guards against an owner that goes on granting and publishing after a pause
/// longer than all leases, and against a version that goes back there.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_is_fenced() {
    let cluster = Arc::new(TestCluster::start_with_one_owner(3).await);
    let versions = VersionWatch::start(&cluster);

    let results = pause_the_owner(&cluster).await;
    let reverts = versions.finish().await;

    let wrong = unexpected_results(&results.calls, is_not_run);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(cluster.runner_faults(), RunnerFaults::default());
    let PauseResults { applied, stale, .. } = results;
    assert!(is_status(&applied, StatusCode::OK), "{applied:?}");
    assert!(is_status(&stale, StatusCode::CONFLICT), "{stale:?}");
    assert_eq!(reverts, Vec::new());
}

/// Guards against a takeover, or a lost call, when only two daemons cannot reach
/// each other or one hears nobody while all hear it; and against calls that wait
/// for the end of a partition, or slots that are lost, although a third daemon
/// reaches both sides.
#[tokio::test(flavor = "multi_thread")]
async fn a_partition_seen_by_a_minority_changes_no_owner() {
    let partitions = [
        (vec![(0, 1), (1, 0)], 3 * CALLERS),
        (vec![(1, 0)], 3 * CALLERS),
        (vec![(1, 0), (2, 0)], 0),
    ];
    for (links, relayed) in partitions {
        let cluster = Arc::new(TestCluster::start_with_proxies(3).await);
        wait_for_no_suspicion(&cluster).await;
        let load = CallerLoad::start(&cluster, &[0, 1, 2], CALLERS);

        for (from, to) in &links {
            cluster.network.block(*from, *to);
        }
        wait_for_suspicion(&cluster, 0, "daemon-1").await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let relayed = join_all((0..relayed).map(|_| cluster.call(1, "relayed"))).await;
        let owners = cluster.owners(2).await;
        cluster.network.unblock_all();
        let results = load.finish().await;

        let names = owners.as_object().expect("an owner for each shard");
        assert!(names.values().all(|owner| owner == "daemon-0"), "{owners}");
        assert!(relayed.iter().all(|result| *result == done("relayed")));
        let wrong = unexpected_results(&results, |_| false);
        assert_eq!(wrong, Vec::<&CallResult>::new(), "{links:?}");
        assert_eq!(cluster.runner_faults(), RunnerFaults::default());
    }
}

/// Guards against an owner that stays in place although nobody hears it, against
/// calls that run twice meanwhile, and against a partition that outlasts its end.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_nobody_hears_is_replaced() {
    for both_ways in [true, false] {
        let cluster = Arc::new(TestCluster::start_with_proxies(3).await);
        wait_for_no_suspicion(&cluster).await;
        let versions = VersionWatch::start(&cluster);
        let load = CallerLoad::start(&cluster, &[0, 1, 2], CALLERS);

        if both_ways {
            cluster.network.isolate(0, &[1, 2]);
        } else {
            cluster.network.block(0, 1);
            cluster.network.block(0, 2);
        }
        wait_for_takeover(&cluster, 1, "daemon-0").await;
        let applied = cluster.apply(2, 1, 3_000).await;
        wait_for_version(&cluster, &[0, 1, 2], 2).await;
        cluster.network.unblock_all();
        wait_for_no_suspicion(&cluster).await;
        let results = load.finish().await;
        let reverts = versions.finish().await;

        let wrong = unexpected_results(&results, is_not_run);
        assert_eq!(wrong, Vec::<&CallResult>::new(), "{both_ways}");
        assert_eq!(cluster.runner_faults(), RunnerFaults::default());
        assert!(is_status(&applied, StatusCode::OK), "{applied:?}");
        assert_eq!(reverts, Vec::new());
    }
}

/// Guards against a daemon that needs the store for its first configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_without_the_store_asks_its_peers() {
    let mut cluster = TestCluster::start_with_one_owner(3).await;
    cluster.daemons[2].child.kill().expect("the daemon runs");
    cluster.platform.set_faults(StoreFaults {
        unavailable: true,
        ..StoreFaults::default()
    });
    let peer = cluster.daemons[1].peer_address.to_string();

    cluster.daemons[2] = cluster.start_daemon(2, &["--peers", &peer]);
    wait_for_version(&cluster, &[2], 1).await;
    let result = cluster.call(2, "token").await;
    cluster.platform.set_faults(StoreFaults::default());
    let applied = cluster.apply(2, 1, 3_000).await;
    wait_for_version(&cluster, &[0, 1, 2], 2).await;

    assert_eq!(result, done("token"));
    assert!(is_status(&applied, StatusCode::OK), "{applied:?}");
}

/// Guards against a version that is published twice, or reported as failed,
/// because the response of its write was lost.
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
        let deadline = 3_000 + u32::try_from(base).expect("a small number");
        results.push(cluster.apply(0, base, deadline).await);
        wait_for_version(&cluster, &[0, 1, 2], base + 1).await;
    }
    let reverts = versions.finish().await;

    let refused = results
        .iter()
        .find(|result| !is_status(result, StatusCode::OK));
    assert_eq!(refused, None);
    assert_eq!(cluster.platform.lock().faults.lose_responses, 0);
    assert_eq!(reverts, Vec::new());
}

/// Guards against two operators who both publish over the same version, and
/// against one who is not told of it.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_wins() {
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
                .filter(|result| is_status(result, status))
                .count()
        };
        assert_eq!(count(StatusCode::OK), 1, "{results:?}");
        assert_eq!(count(StatusCode::CONFLICT), 1, "{results:?}");
    }

    assert_eq!(versions.finish().await, Vec::new());
}

/// Guards against a short response, or one that hangs, when a runner dies in the
/// middle of it, and against a later call that is reported as possibly run.
#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_dies_is_an_error_for_the_caller() {
    let cluster = Arc::new(TestCluster::start(1).await);
    cluster.runners[0].lock().behaviour.chunks = STREAMED_CHUNKS;
    let load = CallerLoad::start(&cluster, &[0], CALLERS);
    tokio::time::sleep(Duration::from_millis(300)).await;

    cluster.kill_runner(0);
    let results = load.finish().await;
    let after = cluster.call(0, "after").await;

    let short = unexpected_results(&results, is_no_answer);
    assert_eq!(short, Vec::<&CallResult>::new());
    let broken = |result: &&CallResult| matches!(result, CallResult::Incomplete(_));
    assert!(results.iter().filter(broken).count() >= CALLERS);
    assert!(is_not_run(&after), "{after:?}");
}

/// Guards against new calls to a runner whose host is leaving, and against the
/// loss of those that it still answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_call() {
    let cluster = Arc::new(TestCluster::start(2).await);
    for runner in &cluster.runners {
        runner.lock().behaviour.chunks = STREAMED_CHUNKS;
    }
    let load = CallerLoad::start(&cluster, &[0, 1], CALLERS);
    tokio::time::sleep(Duration::from_millis(300)).await;

    cluster.platform.lock().hosts[0]["state"] = "leaving".into();
    tokio::time::sleep(LEAVING_TIME).await;
    let after = cluster.runners[0].lock().starts().len();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let later = cluster.runners[0].lock().starts().len();
    let results = load.finish().await;

    assert_eq!(later, after);
    let wrong = unexpected_results(&results, is_not_run);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(cluster.runner_faults(), RunnerFaults::default());
}

/// Guards against a rolling restart that cuts or loses a call.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_loses_no_call() {
    let mut cluster = TestCluster::start(3).await;
    let book = cluster.address_book();
    let mut daemons = std::mem::take(&mut cluster.daemons);
    let cluster = Arc::new(cluster);
    let load = CallerLoad::start_with_book(&cluster, &book, &[0, 1, 2], CALLERS);

    let mut codes = Vec::new();
    for (index, daemon) in daemons.iter_mut().enumerate() {
        daemon.terminate();
        codes.push(daemon.wait_for_exit_async().await);
        *daemon = cluster.start_daemon(index, &[]);
        cluster.wait_until_answering(daemon.address).await;
        book.lock().expect("no caller panics")[index] = daemon.address;
    }
    let results = load.finish().await;

    let wrong = unexpected_results(&results, |_| false);
    assert_eq!(wrong, Vec::<&CallResult>::new());
    assert_eq!(codes, vec![Some(0); 3]);
    assert_eq!(cluster.runner_faults(), RunnerFaults::default());
}

/// Guards against a short response that looks whole, with and without a length.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_response_is_an_error_for_the_caller() {
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

/// Guards against a refused call that is reported as possibly run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_stream_is_not_run() {
    let cluster = TestCluster::start(1).await;
    cluster.runners[0].lock().behaviour.refuse_stream = true;

    let result = cluster.call(0, "token").await;

    assert!(is_not_run(&result), "{result:?}");
}

/// Guards against a request identifier that is dropped on the way to the runner,
/// and against one that is passed on without a check.
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

    assert_eq!(result, done("token"));
    assert!(matches!(
        rejected,
        CallResult::Answered(StatusCode::BAD_REQUEST, _, _)
    ));
    let starts = cluster.runners[0].lock().starts().to_vec();
    assert_eq!(starts.last().map(|start| start.request.as_str()), Some(ID));
}

/// Guards against heads that exhaust the memory of a daemon, and against an
/// ending of the daemon or of other connections by malformed HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn bad_heads_are_rejected_and_calls_continue() {
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
    assert_eq!(result, done("token"));
}
