//! Gauges whose values are collected when the metrics are requested.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;
use auburnsaddle_core::{ConfigVersion, QueueView, ServiceId};
use opentelemetry::{KeyValue, metrics::Meter};

/// Load of an owned pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct PoolLoad {
    /// Tasks that wait for placement.
    pub(crate) waiting: u64,
    /// Tasks that occupy resources of a worker.
    pub(crate) placed: u64,
}

/// Statistics that the control thread reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlStats {
    /// State of the owned call queues, by shard.
    pub(crate) calls: BTreeMap<String, QueueView>,
    /// Load of the owned pools, by shard.
    pub(crate) pools: BTreeMap<String, PoolLoad>,
    /// Number of shards taken over from another owner since the start.
    pub(crate) takeovers: u64,
}

/// Statistics of the whole process at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProcessStats {
    /// Statistics of the control thread.
    pub(crate) control: ControlStats,
    /// Configuration version in force.
    pub(crate) config_version: ConfigVersion,
    /// Events queued for the control thread.
    pub(crate) queue_depth: usize,
    /// Number of shards that this daemon owns.
    pub(crate) owned_shards: usize,
    /// Number of owned shards whose journals cannot be replayed.
    pub(crate) unavailable_shards: usize,
    /// Retries that each service may currently make.
    pub(crate) retry_budgets: BTreeMap<ServiceId, u64>,
}

/// The latest statistics, which the gauge callbacks read.
pub(super) type SharedStats = Arc<ArcSwap<ProcessStats>>;

type ProcessGauge = (&'static str, fn(&ProcessStats) -> u64);
type CallGauge = (&'static str, fn(&QueueView) -> u64);
type PoolGauge = (&'static str, fn(&PoolLoad) -> u64);

const PROCESS_GAUGES: [ProcessGauge; 4] = [
    ("auburnsaddle_config_version", |process| {
        process.config_version
    }),
    ("auburnsaddle_control_queue_depth", |process| {
        process.queue_depth as u64
    }),
    ("auburnsaddle_owned_shards", |process| {
        process.owned_shards as u64
    }),
    ("auburnsaddle_unavailable_shards", |process| {
        process.unavailable_shards as u64
    }),
];

const CALL_GAUGES: [CallGauge; 5] = [
    ("auburnsaddle_waiting_calls", |queue| queue.waiting as u64),
    ("auburnsaddle_slots_in_use", |queue| queue.in_use as u64),
    ("auburnsaddle_slots_free", |queue| queue.free.into()),
    ("auburnsaddle_slots_lent", |queue| queue.lent.into()),
    ("auburnsaddle_slots_borrowed", |queue| queue.borrowed.into()),
];

const POOL_GAUGES: [PoolGauge; 2] = [
    ("auburnsaddle_waiting_tasks", |pool| pool.waiting),
    ("auburnsaddle_placed_tasks", |pool| pool.placed),
];

/// Registers the gauges. Only its owner exports the values of a shard.
pub(super) fn register_gauges(meter: &Meter, stats: &SharedStats) {
    for (name, read) in PROCESS_GAUGES {
        let stats = Arc::clone(stats);
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| observer.observe(read(&stats.load()), &[]))
            .build();
    }
    for (name, read) in CALL_GAUGES {
        register_shard_gauge(meter, name, stats, move |process| {
            let queues = process.control.calls.iter();
            queues
                .map(|(shard, queue)| (shard.clone(), read(queue)))
                .collect()
        });
    }
    for (name, read) in POOL_GAUGES {
        register_shard_gauge(meter, name, stats, move |process| {
            let pools = process.control.pools.iter();
            pools
                .map(|(shard, pool)| (shard.clone(), read(pool)))
                .collect()
        });
    }
    let shared = Arc::clone(stats);
    meter
        .u64_observable_gauge("auburnsaddle_retry_budget")
        .with_callback(move |observer| {
            for (service, retries) in &shared.load().retry_budgets {
                let label = KeyValue::new("service", service.to_string());
                observer.observe(*retries, &[label]);
            }
        })
        .build();
    let shared = Arc::clone(stats);
    meter
        .u64_observable_counter("auburnsaddle_takeovers")
        .with_callback(move |observer| observer.observe(shared.load().control.takeovers, &[]))
        .build();
}

fn register_shard_gauge<F>(meter: &Meter, name: &'static str, stats: &SharedStats, read: F)
where
    F: Fn(&ProcessStats) -> Vec<(String, u64)> + Send + Sync + 'static,
{
    let stats = Arc::clone(stats);
    meter
        .u64_observable_gauge(name)
        .with_callback(move |observer| {
            for (shard, value) in read(&stats.load()) {
                observer.observe(value, &[KeyValue::new("shard", shard)]);
            }
        })
        .build();
}
