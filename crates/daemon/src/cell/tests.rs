use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{PipelineConfig, ResourceVector, StepSpec, WorkerListing};
use auburnsaddle_platform::{ItemChange, KeyLease, StoreItem};
use proptest::prelude::*;
use serde_json::{Value, json};
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot},
};

use super::{
    CellMetrics,
    control::{CellControl, ControlSettings, relay_order},
    effects::CellEffects,
    messages::CellEvent,
};
use crate::{
    pipelines::{
        AcquireOutcome, CellKey, LoadedShard, MemberEntry, NoticeSender, ShardSettings,
        encode_value, tests::empty_shard,
    },
    session::{CellStore, LeaseUpdate, PrefixUpdate, StoreRoute},
    telemetry::BootClock,
    witness::EpochNotice,
};

/// Address at which nothing listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// Returns the control state of a daemon whose calls all fail. Its events are lost.
fn isolated_control() -> CellControl {
    let route = StoreRoute::new(CLOSED_ADDRESS);
    let store = CellStore::new(route.clone());
    let effects = CellEffects {
        runtime: Handle::current(),
        events: mpsc::channel(1).0,
        clock: BootClock::start(),
        metrics: CellMetrics::new(store.counters()),
        store,
        route,
        advice: None,
        notices: NoticeSender::new().0,
    };
    let settings = ControlSettings {
        daemon: "daemon-0".to_owned(),
        shard: ShardSettings {
            config: PipelineConfig {
                lease: Duration::from_secs(5),
                max_lease: Duration::from_secs(6),
                inherited_lease: Duration::from_secs(6),
                listing_interval: Duration::from_millis(1_500),
                renewal_wait: Duration::from_secs(1),
                manages_scarcity: false,
            },
            summary_retention: Duration::from_mins(2),
            max_value_bytes: 1 << 20,
            enforces_caps: false,
        },
        cpu_milli: 500,
    };
    CellControl::new(settings, effects, Arc::default())
}

fn lease(id: u64) -> CellEvent {
    let lease = KeyLease {
        id,
        ttl: Duration::from_secs(2),
    };
    CellEvent::Lease(LeaseUpdate::Granted(lease, 30 + id))
}

/// Returns what a takeover of a service with one worker reads.
fn loaded_shard() -> Box<LoadedShard> {
    let worker = WorkerListing {
        worker: "w1".into(),
        address: CLOSED_ADDRESS.to_owned(),
        capacity: ResourceVector::default(),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        leaves_in: None,
        started_unix_ms: None,
    };
    Box::new(LoadedShard {
        workers: vec![worker],
        ..empty_shard()
    })
}

/// Returns the owned services in the dump.
fn owned_services(control: &CellControl) -> Vec<Value> {
    let dump: Value = serde_json::from_str(&control.dump()).unwrap();
    dump["owned"].as_array().unwrap().clone()
}

/// Guards against a daemon that acts as the owner although the lease of its takeover ended
/// while it read the state of the service.
#[tokio::test]
async fn a_takeover_under_a_lease_that_has_ended_has_no_effect() {
    let mut control = isolated_control();
    let acquired = |lease| {
        let outcome = AcquireOutcome::Acquired(loaded_shard());
        CellEvent::Acquired("sales".into(), lease, outcome)
    };

    control.handle(lease(1));
    control.handle(CellEvent::Lease(LeaseUpdate::Lost));
    control.handle(lease(2));
    control.handle(acquired(1));
    let after_old_lease = owned_services(&control);
    control.handle(acquired(2));

    assert_eq!(after_old_lease, Vec::<Value>::new());
    assert_eq!(owned_services(&control).len(), 1);
}

/// Guards against a service without an owner until the restart of all daemons: one announcement
/// with an epoch that no takeover has had makes each later owner release it at once.
#[tokio::test]
async fn an_announcement_with_an_impossible_epoch_does_not_block_a_service() {
    let mut control = isolated_control();
    control.handle(lease(1));
    let notice = EpochNotice {
        service: "sales".into(),
        epoch: u64::MAX,
    };

    control.handle(CellEvent::EpochAnnounced(notice, oneshot::channel().0));
    let outcome = AcquireOutcome::Acquired(loaded_shard());
    control.handle(CellEvent::Acquired("sales".into(), 1, outcome));

    assert_eq!(owned_services(&control).len(), 1);
}

/// Returns the registration of a daemon in the store.
fn member_item(daemon: &str, revision: u64) -> StoreItem {
    let member = MemberEntry {
        address: CLOSED_ADDRESS.to_owned(),
        cpu_milli: 500,
    };
    StoreItem {
        key: CellKey::Member(daemon.to_owned()).path(),
        value: encode_value(&member),
        revision,
    }
}

/// Guards against an owner without witnesses, whose successor waits for the longest time: the other
/// daemons joined while the service was taken over.
#[tokio::test]
async fn daemons_that_join_during_a_takeover_become_witnesses() {
    let mut control = isolated_control();
    control.handle(lease(1));
    let joined = ItemChange::Put(member_item("daemon-1", 35));

    control.handle(CellEvent::Membership(PrefixUpdate::Changes(vec![joined])));
    let outcome = AcquireOutcome::Acquired(loaded_shard());
    control.handle(CellEvent::Acquired("sales".into(), 1, outcome));

    let now = control.effects.clock.now() + Duration::from_secs(2);
    let shard = &control.shards["sales"].shard;
    assert!(shard.is_witness_change_due(now));
}

/// Guards against confirmations of an owner after a later one has announced itself.
#[tokio::test]
async fn an_announcement_is_answered_with_the_latest_epoch_and_the_registration() {
    let mut control = isolated_control();
    control.handle(lease(1));
    let mut announce = |epoch| {
        let (reply, mut answer) = oneshot::channel();
        let service = "sales".into();
        let notice = EpochNotice { service, epoch };
        control.handle(CellEvent::EpochAnnounced(notice, reply));
        answer.try_recv().unwrap()
    };

    let replies = [announce(4), announce(6), announce(5)];

    assert_eq!(replies.clone().map(|reply| reply.epoch), [4, 6, 6]);
    assert!(
        replies
            .iter()
            .all(|reply| (reply.daemon.as_str(), reply.registration) == ("daemon-0", 31))
    );
}

/// Returns a strategy for numbers at the bounds of their types.
fn extreme_number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(41),
        Just(8_192),
        Just(u64::from(u32::MAX)),
        Just(u64::MAX),
    ]
}

/// Returns a request of a peer with notices about a job with these numbers.
fn notices_with(numbers: &[u64]) -> Value {
    let mut step = serde_json::to_value(StepSpec::default()).unwrap();
    step["count"] = json!(numbers[0]);
    step["demand"]["cpu_milli"] = json!(numbers[1]);
    step["demand"]["memory_mib"] = json!(numbers[2]);
    step["demand"]["accelerators"] = json!(numbers[3]);
    step["estimate_ms"] = json!(numbers[4]);
    step["after"] = json!([numbers[5]]);
    step["gang"] = json!(numbers[6] > 1);
    step["per_worker_limit"] = json!(numbers[7]);
    let spec = json!({
        "command": "run", "steps": [step.clone(), step], "schedule": {
            "first_unix_ms": numbers[8], "interval_ms": numbers[9], "occurrences": 1,
        },
        "policy": {
            "queue": "tokens", "service": "sales", "priority": numbers[10],
            "max_attempts": numbers[11], "stretch": 1.5, "target_latency_ms": numbers[12],
            "advice": null,
        },
        "accepted_unix_ms": numbers[13],
    });
    let (id, revision) = (numbers[14], numbers[15]);
    json!([
        {"service": "sales", "id": id, "revision": revision, "change": {"accepted": spec}},
        {"service": "sales", "id": id, "revision": revision, "change": "cancelled"},
    ])
}

/// Returns whether the control thread has handled a request of a peer with notices; `false` if
/// it cannot be decoded.
fn handle_notices(request: &Value) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let _context = runtime.enter();
    let Ok(notices) = serde_json::from_value(request.clone()) else {
        return false;
    };
    let mut control = isolated_control();
    control.handle(lease(1));
    let outcome = AcquireOutcome::Acquired(loaded_shard());
    control.handle(CellEvent::Acquired("sales".into(), 1, outcome));
    control.handle(CellEvent::PeerNotices(notices));
    control.tick();
    control.run_due_passes();
    true
}

proptest! {
    /// Guards against a message of another daemon that ends the process of an owner: sums of its
    /// numbers overflow, or its sizes exhaust the memory.
    #[test]
    fn messages_of_peers_are_handled_without_a_panic(
        numbers in prop::collection::vec(extreme_number(), 16),
    ) {
        handle_notices(&notices_with(&numbers));
    }
}

/// Guards against a property test whose messages are all rejected by the decoder.
#[test]
fn notices_with_ordinary_numbers_are_handled() {
    assert!(handle_notices(&notices_with(&[50; 16])));
}

/// Guards against a worker that stays known to a new owner although its entry is removed
/// before it is written again.
#[tokio::test]
async fn a_worker_that_leaves_right_after_a_takeover_is_delisted() {
    let mut control = isolated_control();
    control.handle(lease(1));
    let outcome = AcquireOutcome::Acquired(loaded_shard());
    control.handle(CellEvent::Acquired("sales".into(), 1, outcome));
    let known = owned_services(&control)[0]["workers"].clone();

    let removed = ItemChange::Removed {
        key: "servers/w1".to_owned(),
        revision: 41,
    };
    let update = PrefixUpdate::Changes(vec![removed]);
    control.handle(CellEvent::Workers("sales".into(), 3, update));
    tokio::time::sleep(Duration::from_secs(3)).await;
    control.tick();

    assert_eq!(known, 1);
    assert_eq!(owned_services(&control)[0]["workers"], 0);
}

/// Guards against relaying all calls through the first daemon of the list, whatever
/// its processors, when many daemons lose the store at once.
#[test]
fn relayed_calls_are_spread_over_the_daemons_with_most_processors() {
    let strong = (0..6).map(|index| (format!("strong-{index}"), 500));
    let weak = (0..34).map(|index| (format!("weak-{index}"), 120));
    let cpu_by_daemon: BTreeMap<String, u64> = strong.chain(weak).collect();

    let orders = (0..34).map(|index| relay_order(&format!("weak-{index}"), &cpu_by_daemon));
    let orders: Vec<Vec<&str>> = orders.collect();

    assert!(orders.iter().all(|order| order.len() == 39));
    assert!(
        orders
            .iter()
            .all(|order| order[..6].iter().all(|row| row.starts_with("strong")))
    );
    let first: BTreeSet<&str> = orders.iter().map(|order| order[0]).collect();
    assert!(first.len() >= 5, "{first:?}");
}
