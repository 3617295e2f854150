//! Metrics of the process, exported in the text format of Prometheus.

use std::{collections::BTreeMap, fmt::Display, sync::Arc, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::measures::{ProcessStats, SharedMeasures, register_gauges};
use crate::{peers::PeerTraffic, store::StoreCounts};

/// Bounds of the buckets of times in seconds: from far below the time of one
/// call to a task that waits for an hour.
const TIME_BOUNDS: [f64; 13] = [
    0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 600.0, 3_600.0,
];

/// The instruments of the process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessMetrics {
    registry: Registry,
    // The instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    call_seconds: Histogram<f64>,
    grants: Counter<u64>,
    slot_seconds: Histogram<f64>,
    retries: Counter<u64>,
    rejections: Counter<u64>,
    task_seconds: Histogram<f64>,
    commit_seconds: Histogram<f64>,
    measures: SharedMeasures,
    store_counts: Arc<StoreCounts>,
}

impl ProcessMetrics {
    /// Registers all instruments.
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
        let measures = SharedMeasures::default();
        register_gauges(&meter, &measures);
        Self {
            calls: meter.u64_counter("auburnsaddle_calls").build(),
            call_seconds: time_histogram(&meter, "auburnsaddle_call_seconds"),
            grants: meter.u64_counter("auburnsaddle_slot_grants").build(),
            slot_seconds: time_histogram(&meter, "auburnsaddle_slot_wait_seconds"),
            retries: meter.u64_counter("auburnsaddle_call_retries").build(),
            rejections: meter.u64_counter("auburnsaddle_rejections").build(),
            task_seconds: time_histogram(&meter, "auburnsaddle_task_wait_seconds"),
            commit_seconds: time_histogram(&meter, "auburnsaddle_commit_seconds"),
            measures,
            registry,
            _provider: provider,
            store_counts,
        }
    }

    /// Notes the outcome of a call and the time to the head of its response.
    pub(crate) fn record_call(&self, outcome: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.calls.add(1, &labels);
        self.call_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Notes a granted slot and how long its call waited for it.
    pub(crate) fn record_grant(&self, is_borrowed: bool, waited: Duration) {
        let labels = [KeyValue::new("borrowed", is_borrowed)];
        self.grants.add(1, &labels);
        self.slot_seconds.record(waited.as_secs_f64(), &labels);
    }

    /// Notes a call that is tried again.
    pub(crate) fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Notes a request of a kind that was rejected.
    pub(crate) fn record_rejection(&self, kind: &'static str, reason: impl Display) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("reason", reason.to_string()),
        ];
        self.rejections.add(1, &labels);
    }

    /// Notes the first start of a task and how long it waited since its
    /// acceptance.
    pub(crate) fn record_task_start(&self, waited: Duration) {
        self.task_seconds.record(waited.as_secs_f64(), &[]);
    }

    /// Notes the answer to a batch of records, or that there was none.
    pub(crate) fn record_commit(&self, result: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("result", result)];
        self.commit_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Returns the calls to the store by kind.
    pub(crate) fn store_calls(&self) -> BTreeMap<&'static str, u64> {
        self.store_counts.by_kind()
    }

    /// Returns the page with all metrics.
    pub(crate) fn render(&self, measures: ProcessStats) -> String {
        self.measures.store(Arc::new(measures));
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

fn time_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name);
    histogram.with_boundaries(TIME_BOUNDS.to_vec()).build()
}
