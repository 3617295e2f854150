use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{PipelineConfig, ResourceVector, WorkerListing};
use auburnsaddle_platform::{ItemChange, KeyLease};
use serde_json::Value;
use tokio::{runtime::Handle, sync::mpsc};

use super::{
    CellMetrics,
    control::{CellControl, ControlSettings, relay_order},
    effects::CellEffects,
    messages::CellEvent,
};
use crate::{
    pipelines::{AcquireOutcome, LoadedShard, NoticeSender, tests::empty_shard},
    session::{CellStore, LeaseUpdate, PrefixUpdate, StoreRoute},
    telemetry::BootClock,
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
        config: PipelineConfig {
            lease: Duration::from_secs(5),
            max_lease: Duration::from_secs(6),
            renewal_wait: Duration::from_secs(1),
        },
        status_retention: Duration::from_mins(2),
        cpu_milli: 500,
    };
    CellControl::new(settings, effects, Arc::default())
}

fn lease(id: u64) -> CellEvent {
    CellEvent::Lease(LeaseUpdate::Granted(KeyLease {
        id,
        ttl: Duration::from_secs(2),
    }))
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
