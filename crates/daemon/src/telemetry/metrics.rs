//! Metrics of the process, exported in the Prometheus text format.

use std::{collections::BTreeMap, fmt::Display, sync::Arc, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::stats::{ProcessStats, SharedStats, register_gauges};
use crate::{peers::PeerTraffic, store::StoreCounts};

/// Upper bounds of the histogram buckets for durations, from well below the
/// duration of a call to a task that waits for an hour.
const BUCKET_BOUNDS_SECONDS: [f64; 13] = [
    0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 600.0, 3_600.0,
];

/// Metric instruments of the process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessMetrics {
    registry: Registry,
    // The instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    call_seconds: Histogram<f64>,
    slot_grants: Counter<u64>,
    slot_wait_seconds: Histogram<f64>,
    retries: Counter<u64>,
    rejections: Counter<u64>,
    task_wait_seconds: Histogram<f64>,
    commit_seconds: Histogram<f64>,
    stats: SharedStats,
    store_counts: Arc<StoreCounts>,
}

impl ProcessMetrics {
    /// Registers all instruments with a new registry.
    ///
    /// # Panics
    ///
    /// Panics if the new registry rejects the exporter.
    pub(crate) fn new(store_counts: Arc<StoreCounts>, peer_traffic: &PeerTraffic) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("auburnsaddle");
        let observed = Arc::clone(&store_counts);
        meter
            .u64_observable_counter("auburnsaddle_store_calls")
            .with_callback(move |observer| {
                for (kind, calls) in observed.by_kind() {
                    observer.observe(calls, &[KeyValue::new("kind", kind)]);
                }
            })
            .build();
        let traffic = peer_traffic.clone();
        meter
            .u64_observable_counter("auburnsaddle_peer_bytes_written")
            .with_callback(move |observer| observer.observe(traffic.bytes(), &[]))
            .build();
        let traffic = peer_traffic.clone();
        meter
            .u64_observable_counter("auburnsaddle_heartbeats_sent")
            .with_callback(move |observer| observer.observe(traffic.heartbeats(), &[]))
            .build();
        let stats = SharedStats::default();
        register_gauges(&meter, &stats);
        Self {
            calls: meter.u64_counter("auburnsaddle_calls").build(),
            call_seconds: duration_histogram(&meter, "auburnsaddle_call_seconds"),
            slot_grants: meter.u64_counter("auburnsaddle_slot_grants").build(),
            slot_wait_seconds: duration_histogram(&meter, "auburnsaddle_slot_wait_seconds"),
            retries: meter.u64_counter("auburnsaddle_call_retries").build(),
            rejections: meter.u64_counter("auburnsaddle_rejections").build(),
            task_wait_seconds: duration_histogram(&meter, "auburnsaddle_task_wait_seconds"),
            commit_seconds: duration_histogram(&meter, "auburnsaddle_commit_seconds"),
            stats,
            registry,
            _provider: provider,
            store_counts,
        }
    }

    /// Records the outcome of a call and the time until the head of its response.
    pub(crate) fn record_call(&self, outcome: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.calls.add(1, &labels);
        self.call_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Records a granted slot and how long the call waited for it.
    pub(crate) fn record_grant(&self, is_borrowed: bool, waited: Duration) {
        let labels = [KeyValue::new("borrowed", is_borrowed)];
        self.slot_grants.add(1, &labels);
        self.slot_wait_seconds.record(waited.as_secs_f64(), &labels);
    }

    /// Records a retry of a call.
    pub(crate) fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Records a rejected request; `kind` is `call` or `task`.
    pub(crate) fn record_rejection(&self, kind: &'static str, reason: impl Display) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("reason", reason.to_string()),
        ];
        self.rejections.add(1, &labels);
    }

    /// Records the first start of a task and the time since its acceptance.
    pub(crate) fn record_task_start(&self, waited: Duration) {
        self.task_wait_seconds.record(waited.as_secs_f64(), &[]);
    }

    /// Records the result of committing a batch of records and the time it took.
    pub(crate) fn record_commit(&self, result: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("result", result)];
        self.commit_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Returns the store calls since the start of the process, by kind.
    pub(crate) fn store_calls(&self) -> BTreeMap<&'static str, u64> {
        self.store_counts.by_kind()
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self, stats: ProcessStats) -> String {
        self.stats.store(Arc::new(stats));
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

fn duration_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name);
    histogram
        .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
        .build()
}
