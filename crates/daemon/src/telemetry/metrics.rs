//! Metrics of the process, exported in the text format of Prometheus.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{peers::PeerTraffic, store::StoreCounts};

/// Bounds of the buckets of call times in seconds: from far below the time of
/// one call to the longest deadline.
const TIME_BOUNDS: [f64; 10] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0];

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
    queue_depth: Gauge<u64>,
    owned_shards: Gauge<u64>,
    unavailable_shards: Gauge<u64>,
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
        Self {
            calls: meter.u64_counter("auburnsaddle_calls").build(),
            call_seconds: meter
                .f64_histogram("auburnsaddle_call_seconds")
                .with_boundaries(TIME_BOUNDS.to_vec())
                .build(),
            grants: meter.u64_counter("auburnsaddle_slot_grants").build(),
            slot_seconds: meter
                .f64_histogram("auburnsaddle_slot_wait_seconds")
                .with_boundaries(TIME_BOUNDS.to_vec())
                .build(),
            retries: meter.u64_counter("auburnsaddle_call_retries").build(),
            queue_depth: meter.u64_gauge("auburnsaddle_control_queue_depth").build(),
            owned_shards: meter.u64_gauge("auburnsaddle_owned_shards").build(),
            unavailable_shards: meter.u64_gauge("auburnsaddle_unavailable_shards").build(),
            registry,
            _provider: provider,
            store_counts,
        }
    }

    /// Notes the outcome of a call and the time to the head of its response.
    pub(crate) fn note_call(&self, outcome: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.calls.add(1, &labels);
        self.call_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Notes a granted slot and how long its call waited for it.
    pub(crate) fn note_grant(&self, is_borrowed: bool, waited: Duration) {
        let labels = [KeyValue::new("borrowed", is_borrowed)];
        self.grants.add(1, &labels);
        self.slot_seconds.record(waited.as_secs_f64(), &labels);
    }

    /// Notes a call that is tried again.
    pub(crate) fn note_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Returns the calls to the store by kind.
    pub(crate) fn store_calls(&self) -> BTreeMap<&'static str, u64> {
        self.store_counts.by_kind()
    }

    /// Returns the page with all metrics.
    pub(crate) fn page(
        &self,
        queue_depth: usize,
        owned_shards: usize,
        unavailable_shards: usize,
    ) -> String {
        self.queue_depth.record(queue_depth as u64, &[]);
        self.owned_shards.record(owned_shards as u64, &[]);
        self.unavailable_shards
            .record(unavailable_shards as u64, &[]);
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
