//! Metrics of the daemon on the users' platform.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use arc_swap::ArcSwap;
use auburnsaddle_core::{PipelineLoad, ResourceVector, RunEnd, StartResult, TeamUsage};
use auburnsaddle_platform::StoreCounters;
use http::StatusCode;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// The load of each owned service, read by the gauges.
pub(crate) type LoadTable = Vec<(Arc<str>, PipelineLoad)>;

/// What each team uses of its cap in each owned service, read by the gauges.
pub(crate) type UsageTable = Vec<(Arc<str>, Arc<str>, TeamUsage)>;

/// The instruments of the process and the registry that exports them.
#[derive(Clone, Debug)]
pub(crate) struct CellMetrics {
    registry: Registry,
    // The instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    request_seconds: Histogram<f64>,
    refusals: Counter<u64>,
    shed_connections: Counter<u64>,
    starts: Counter<u64>,
    run_ends: Counter<u64>,
    orders: Counter<u64>,
    commit_seconds: Histogram<f64>,
    job_wait_seconds: Histogram<f64>,
    loads: Arc<ArcSwap<LoadTable>>,
    team_usage: Arc<ArcSwap<UsageTable>>,
}

/// Registers the gauges of what teams use of their caps; returns what they report.
fn register_team_usage(meter: &Meter) -> Arc<ArcSwap<UsageTable>> {
    let team_usage: Arc<ArcSwap<UsageTable>> = Arc::default();
    let observed = Arc::clone(&team_usage);
    meter
        .u64_observable_gauge("auburnsaddle_team_usage")
        .with_callback(move |observer| {
            for (service, team, usage) in observed.load().iter() {
                for (kind, amount) in [
                    ("used", usage.used),
                    ("allotted", usage.allotted),
                    ("lacking", usage.lacking),
                ] {
                    let ResourceVector {
                        cpu_milli,
                        memory_mib,
                        accelerators,
                    } = amount;
                    for (resource, value) in [
                        ("cpu_milli", cpu_milli),
                        ("memory_mib", memory_mib),
                        ("accelerators", accelerators),
                    ] {
                        let labels = [
                            KeyValue::new("service", service.to_string()),
                            KeyValue::new("team", team.to_string()),
                            KeyValue::new("kind", kind),
                            KeyValue::new("resource", resource),
                        ];
                        observer.observe(value, &labels);
                    }
                }
            }
        })
        .build();
    team_usage
}

impl CellMetrics {
    /// Registers all instruments.
    ///
    /// # Panics
    ///
    /// Panics if the new registry rejects the exporter.
    pub(crate) fn new(store: Arc<StoreCounters>) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("auburnsaddle");
        let histogram = |name: &'static str| {
            let histogram = meter.f64_histogram(name);
            histogram
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build()
        };
        let byte_counters = Arc::clone(&store);
        meter
            .u64_observable_counter("auburnsaddle_store_response_bytes")
            .with_callback(move |observer| {
                observer.observe(byte_counters.response_bytes.load(Ordering::Relaxed), &[]);
            })
            .build();
        meter
            .u64_observable_counter("auburnsaddle_store_calls")
            .with_callback(move |observer| {
                for (kind, count) in [
                    ("read", &store.reads),
                    ("write", &store.writes),
                    ("renewal", &store.renewals),
                    ("unanswered", &store.unanswered),
                    ("refused", &store.refused),
                ] {
                    let labels = [KeyValue::new("kind", kind)];
                    observer.observe(count.load(Ordering::Relaxed), &labels);
                }
            })
            .build();
        let loads: Arc<ArcSwap<LoadTable>> = Arc::default();
        let observed = Arc::clone(&loads);
        meter
            .u64_observable_gauge("auburnsaddle_service_load")
            .with_callback(move |observer| {
                for (service, load) in observed.load().iter() {
                    for (kind, value) in [
                        ("jobs", load.pipelines),
                        ("waiting_steps", load.ready_steps),
                        ("runs", load.runs),
                        ("workers", load.workers),
                        ("answering_workers", load.claimed_workers),
                        ("uncommitted_jobs", load.dirty),
                        ("examined_candidates", load.examined_candidates),
                        ("refreshed_steps", load.refreshed_steps),
                        ("visited_steps", load.visited_steps),
                        ("preempted_runs", load.preempted_runs),
                        ("deferred_steps", load.deferred_steps),
                        ("failing_tasks", load.failing_tasks),
                        ("workers_on_probation", load.workers_on_probation),
                    ] {
                        let service = KeyValue::new("service", service.to_string());
                        observer.observe(value, &[service, KeyValue::new("kind", kind)]);
                    }
                }
            })
            .build();
        let team_usage = register_team_usage(&meter);
        Self {
            team_usage,
            request_seconds: histogram("auburnsaddle_request_seconds"),
            commit_seconds: histogram("auburnsaddle_commit_seconds"),
            job_wait_seconds: histogram("auburnsaddle_job_wait_seconds"),
            refusals: meter.u64_counter("auburnsaddle_refusals").build(),
            shed_connections: meter.u64_counter("auburnsaddle_shed_connections").build(),
            starts: meter.u64_counter("auburnsaddle_starts").build(),
            run_ends: meter.u64_counter("auburnsaddle_run_ends").build(),
            orders: meter.u64_counter("auburnsaddle_orders").build(),
            loads,
            registry,
            _provider: provider,
        }
    }

    /// Records the status and the response time of a request of a caller.
    pub(crate) fn record_request(&self, method: &str, status: StatusCode, elapsed: Duration) {
        let labels = [
            KeyValue::new("method", method.to_owned()),
            KeyValue::new("status", i64::from(status.as_u16())),
        ];
        self.request_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts a request that was rejected for the given reason.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts connections of callers that were closed for the given reason.
    pub(crate) fn record_shed(&self, reason: &'static str, count: u64) {
        self.shed_connections
            .add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Counts the outcome of a start order.
    pub(crate) fn record_start(&self, result: StartResult) {
        self.starts
            .add(1, &[KeyValue::new("result", result.name())]);
    }

    /// Counts the end of a run; `None` means that no end was reported.
    pub(crate) fn record_run_end(&self, end: Option<RunEnd>) {
        let name = end.map_or("lost", RunEnd::name);
        self.run_ends.add(1, &[KeyValue::new("end", name)]);
    }

    /// Counts an order to a worker or a request to the advice service.
    pub(crate) fn record_order(&self, kind: &'static str) {
        self.orders.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records the time from the sending of a commit until it is durable.
    pub(crate) fn record_commit(&self, elapsed: Duration) {
        self.commit_seconds.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the time from the acceptance of a job until its first placement.
    pub(crate) fn record_job_wait(&self, waited: Duration) {
        self.job_wait_seconds.record(waited.as_secs_f64(), &[]);
    }

    /// Replaces the loads that the gauges report.
    pub(crate) fn set_loads(&self, loads: LoadTable) {
        self.loads.store(Arc::new(loads));
    }

    /// Replaces the usage of the teams that the gauges report.
    pub(crate) fn set_team_usage(&self, usage: UsageTable) {
        self.team_usage.store(Arc::new(usage));
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn encode_text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
