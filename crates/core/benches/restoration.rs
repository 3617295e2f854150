//! Time without a run of long-running tasks that lose their worker, while short urgent jobs load
//! the service.
//!
//! Load pattern: long-running tasks occupy a fifth of the service, and their queue needs slow
//! advice that allows a third of the workers. Workers are restarted one after the other. Urgent
//! jobs bring the load to between 0.7 and 1.3 times the capacity.

#![expect(
    clippy::cast_precision_loss,
    reason = "the sums are far below the precision of a float"
)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    AdviceOrder, AdvicePolicy, AdviceReport, EndedRun, ObservedRun, PipelineAction, PipelineConfig,
    PipelineEvent, PipelineId, PipelineSpec, PipelineState, ProgressCommit, QueuePolicy,
    RenewalFailure, RenewalOrder, RenewalReport, RenewalStamp, ResourceVector, RunEnd, RunKey,
    StartAnswer, StartOrder, StartResult, StepSpec, TaskKey, WorkerId, WorkerListing,
};
use hdrhistogram::Histogram;
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use support::{EventClock, sample_exponential, sample_lognormal, table::BoundTable};

mod support;

/// Target of the users: a task that lasts is at work again within this time of its last run.
const RESTORATION_TARGET: Duration = Duration::from_secs(6);

/// Part of the CPU of the service that urgent jobs get above capacity at least, in percent, as
/// lost tasks leave it to them.
const URGENT_CPU_PERCENT: f64 = 25.0;

const SEEDS: [u64; 2] = [20_261_206, 1];

/// Demand in relation to the CPU of the service, in percent.
const LOADS: [u32; 5] = [70, 85, 100, 115, 130];

const WORKER_COUNT: usize = 40;
const WORKER_CPU_MILLI: u64 = 16_000;
const LASTING_JOB_COUNT: u64 = 6;
const LASTING_TASK_COUNT: u32 = 5;
const LASTING_CPU_MILLI: u64 = 4_000;
const URGENT_TASK_COUNT: u32 = 4;
const URGENT_CPU_MILLI: u64 = 2_700;
const URGENT_RUN_TIME: Duration = Duration::from_millis(560);

/// Part of the workers that the advice service allows a long-running job, in percent.
const ALLOWED_PERCENT: u64 = 33;

const RUN_TIME: Duration = Duration::from_secs(40);

/// Time in which the long-running tasks start on an idle service.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Time in which the service becomes full before workers are restarted.
const FILLING_TIME: Duration = Duration::from_secs(6);

/// Time between the restarts of two workers.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time for which a restarted worker does not answer.
const RESTART_TIME: Duration = Duration::from_millis(600);

/// Maximum number of times that a task loses its worker. After three crashes under it its job would
/// be given up.
const MAX_TASK_LOSSES: u32 = 2;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const TRANSIT_TIME: Duration = Duration::from_millis(5);

/// Time until the sender of an order without an answer gives it up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);

const WALL_MS: u64 = 1_700_000_000_000;
const INSTANCE_STARTED_MS: u64 = 1_600_000_000_000;

/// Something that happens at its time.
enum ServiceEvent {
    Owner(PipelineEvent),
    Start(StartOrder),
    Renew(RenewalOrder, Duration),
    /// The longest wait of a renewal is over.
    AnswerRenewal(WorkerId, u64),
    Advice(AdviceOrder),
    Commit(ProgressCommit),
    EndRun(WorkerId, u64, RunKey),
    Restart,
    Arrival,
    Tick,
}

struct WorkerHost {
    /// Number of restarts.
    instance: u64,
    up_at: Duration,
    runs: BTreeMap<RunKey, u64>,
    ended: Vec<EndedRun>,
    end_count: u64,
    /// Renewal that waits for an end, and its number.
    renewal: Option<(RenewalOrder, Duration)>,
    renewal_count: u64,
}

struct ServiceModel {
    clock: EventClock<ServiceEvent>,
    random: ChaCha8Rng,
    owner: PipelineState,
    hosts: BTreeMap<WorkerId, WorkerHost>,
    specs: BTreeMap<PipelineId, Arc<PipelineSpec>>,
    has_pending_commit: bool,
    next_job: PipelineId,
    urgent_jobs_per_s: f64,
    /// Long-running tasks without a run, and since when.
    away_since: BTreeMap<TaskKey, Duration>,
    away_times: Histogram<u64>,
    /// Number of times that each long-running task has lost its worker.
    losses: BTreeMap<TaskKey, u32>,
    /// CPU time of the urgent runs that started, in thousandths of a core times ms.
    urgent_work: u64,
}

fn spec(queue: &str, priority: u32, step: StepSpec, advice: Option<AdvicePolicy>) -> PipelineSpec {
    PipelineSpec {
        command: "run".to_owned(),
        steps: vec![step],
        schedule: None,
        policy: QueuePolicy {
            queue: queue.to_owned(),
            service: "sales".into(),
            priority,
            max_attempts: 2,
            stretch: 2.0,
            target_latency_ms: 500,
            advice,
        },
        accepted_unix_ms: WALL_MS,
        team: None,
    }
}

fn lasting_spec() -> PipelineSpec {
    let step = StepSpec {
        count: LASTING_TASK_COUNT,
        demand: ResourceVector::new(LASTING_CPU_MILLI, 100, 0),
        estimate_ms: 620,
        long_running: true,
        ..StepSpec::default()
    };
    let advice = AdvicePolicy {
        decision_ms: 560.0,
        per_worker_ms: 8.0,
        valid_ms: 1_500,
    };
    spec("watch", 1, step, Some(advice))
}

fn urgent_spec(wall_ms: u64) -> PipelineSpec {
    let step = StepSpec {
        count: URGENT_TASK_COUNT,
        demand: ResourceVector::new(URGENT_CPU_MILLI, 100, 0),
        estimate_ms: 560,
        ..StepSpec::default()
    };
    PipelineSpec {
        accepted_unix_ms: wall_ms,
        ..spec("booking", 0, step, None)
    }
}

fn listing(worker: &str) -> WorkerListing {
    WorkerListing {
        worker: worker.into(),
        address: format!("{worker}:1"),
        capacity: ResourceVector::new(WORKER_CPU_MILLI, 65_536, 0),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        leaves_in: None,
        started_unix_ms: None,
    }
}

const fn pipeline_config() -> PipelineConfig {
    PipelineConfig {
        lease: Duration::from_secs(5),
        max_lease: Duration::from_secs(6),
        inherited_lease: Duration::from_secs(6),
        listing_interval: Duration::from_millis(1_500),
        renewal_wait: Duration::from_secs(1),
        manages_scarcity: false,
    }
}

/// Returns whether the advice service allows a worker to run a job.
fn is_allowed(id: PipelineId, worker: &str) -> bool {
    let hash = worker.bytes().fold(id * 31, |hash, byte| {
        hash.wrapping_mul(131).wrapping_add(u64::from(byte))
    });
    hash % 100 < ALLOWED_PERCENT
}

fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("the times of a run are short")
}

impl ServiceModel {
    fn new(seed: u64, load_percent: u32) -> Self {
        let names = (0..WORKER_COUNT).map(|index| format!("w{index:03}"));
        let hosts = names.map(|name| {
            let host = WorkerHost {
                instance: 0,
                up_at: Duration::ZERO,
                runs: BTreeMap::new(),
                ended: Vec::new(),
                end_count: 0,
                renewal: None,
                renewal_count: 0,
            };
            (WorkerId::from(name.as_str()), host)
        });
        let capacity = WORKER_COUNT as u64 * WORKER_CPU_MILLI;
        let lasting = LASTING_JOB_COUNT * u64::from(LASTING_TASK_COUNT) * LASTING_CPU_MILLI;
        let urgent = capacity * u64::from(load_percent) / 100 - lasting;
        let job_work = (u64::from(URGENT_TASK_COUNT) * URGENT_CPU_MILLI) as f64;
        let mut model = Self {
            clock: EventClock::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            owner: PipelineState::new(pipeline_config(), 1, Duration::ZERO),
            hosts: hosts.collect(),
            specs: BTreeMap::new(),
            has_pending_commit: false,
            next_job: 1,
            urgent_jobs_per_s: urgent as f64 / (job_work * URGENT_RUN_TIME.as_secs_f64()),
            away_since: BTreeMap::new(),
            losses: BTreeMap::new(),
            away_times: Histogram::new(3).expect("the precision is valid"),
            urgent_work: 0,
        };
        model.notify(PipelineEvent::Tick(WALL_MS));
        model.notify(PipelineEvent::OwnershipConfirmed(RUN_TIME * 2));
        model.notify(PipelineEvent::ExtensionsPermitted(RUN_TIME * 2));
        model.notify(PipelineEvent::AdvisorsCounted(1, 4));
        let workers: Vec<WorkerId> = model.hosts.keys().cloned().collect();
        for worker in workers {
            model.notify(PipelineEvent::Listed(listing(&worker)));
        }
        for _ in 0..LASTING_JOB_COUNT {
            model.submit(lasting_spec());
        }
        model
            .clock
            .schedule_after(Duration::ZERO, ServiceEvent::Tick);
        model.clock.schedule_after(IDLE_TIME, ServiceEvent::Arrival);
        let first_restart = IDLE_TIME + FILLING_TIME;
        model
            .clock
            .schedule_after(first_restart, ServiceEvent::Restart);
        model
    }

    fn submit(&mut self, spec: PipelineSpec) {
        let (id, spec) = (self.next_job, Arc::new(spec));
        self.next_job += 1;
        self.specs.insert(id, Arc::clone(&spec));
        self.notify(PipelineEvent::Stored(id, spec, None));
    }

    fn notify(&mut self, event: PipelineEvent) {
        let actions = self.owner.handle(event, self.clock.now());
        self.perform(actions);
    }

    fn notify_after(&mut self, delay: Duration, event: PipelineEvent) {
        self.clock.schedule_after(delay, ServiceEvent::Owner(event));
    }

    fn perform(&mut self, actions: Vec<PipelineAction>) {
        for action in actions {
            let now = self.clock.now();
            match action {
                PipelineAction::Start(order) => self
                    .clock
                    .schedule_after(TRANSIT_TIME, ServiceEvent::Start(order)),
                PipelineAction::Renew(order) => self
                    .clock
                    .schedule_after(TRANSIT_TIME, ServiceEvent::Renew(order, now)),
                PipelineAction::Ask(order) => {
                    let count = u32::try_from(order.workers.len()).expect("requests are short");
                    let policy = order.policy;
                    let decision_ms = policy.decision_ms + policy.per_worker_ms * f64::from(count);
                    let delay = Duration::from_secs_f64(decision_ms / 1_000.0) + TRANSIT_TIME;
                    self.clock
                        .schedule_after(delay, ServiceEvent::Advice(order));
                }
                PipelineAction::Stop(_) | PipelineAction::Pace(_) | PipelineAction::Log(_) => {}
            }
        }
    }

    /// Plays the run. Returns when it is over.
    fn run(&mut self) {
        while self.clock.now() < RUN_TIME
            && let Some(event) = self.clock.pop()
        {
            self.handle(event);
            let actions = self.owner.schedule(self.clock.now());
            self.perform(actions);
            if !self.has_pending_commit
                && let Some(commit) = self.owner.take_commit(|_| true)
            {
                self.has_pending_commit = true;
                self.clock
                    .schedule_after(TRANSIT_TIME, ServiceEvent::Commit(commit));
            }
        }
        let now = self.clock.now();
        for since in std::mem::take(&mut self.away_since).into_values() {
            self.record_away(now.saturating_sub(since));
        }
    }

    fn handle(&mut self, event: ServiceEvent) {
        let now = self.clock.now();
        match event {
            ServiceEvent::Owner(event) => self.notify(event),
            ServiceEvent::Start(order) => self.start(order),
            ServiceEvent::Renew(order, sent_at) => self.renew(order, sent_at),
            ServiceEvent::AnswerRenewal(worker, number) => {
                let host = self.hosts.get(&worker);
                if host.is_some_and(|host| host.renewal_count == number) {
                    self.answer_renewal(&worker);
                }
            }
            ServiceEvent::Advice(order) => {
                let allowed = order.workers.iter();
                let allowed = allowed.filter(|worker| is_allowed(order.step.pipeline, worker));
                let report = AdviceReport {
                    tickets: allowed
                        .map(|worker| (worker.clone(), "t".to_owned()))
                        .collect(),
                    valid: Duration::from_millis(order.policy.valid_ms),
                };
                self.notify(PipelineEvent::AdviceAnswered(order.step, Some(report), now));
            }
            ServiceEvent::Commit(commit) => {
                self.has_pending_commit = false;
                let actions = self.owner.complete_commit(commit, now);
                self.perform(actions);
            }
            ServiceEvent::EndRun(worker, instance, run) => self.end_run(&worker, instance, run),
            ServiceEvent::Restart => self.restart_worker(),
            ServiceEvent::Arrival => {
                self.submit(urgent_spec(WALL_MS + to_ms(now)));
                let delay = sample_exponential(&mut self.random, self.urgent_jobs_per_s);
                self.clock.schedule_after(delay, ServiceEvent::Arrival);
            }
            ServiceEvent::Tick => {
                self.notify(PipelineEvent::Tick(WALL_MS + to_ms(now)));
                self.clock.schedule_after(TICK_INTERVAL, ServiceEvent::Tick);
            }
        }
    }

    fn start(&mut self, order: StartOrder) {
        let now = self.clock.now();
        let step = self.specs[&order.run.task.step.pipeline].steps[0].clone();
        let host = self.hosts.get_mut(&order.worker).expect("known worker");
        let used: u64 = host.runs.values().sum();
        let (result, delay) = match () {
            () if now < host.up_at => (StartResult::Unanswered, ORDER_TIMEOUT),
            () if used + step.demand.cpu_milli > WORKER_CPU_MILLI => {
                (StartResult::NoRoom, TRANSIT_TIME)
            }
            () => (StartResult::Started, TRANSIT_TIME),
        };
        if result == StartResult::Started {
            host.runs.insert(order.run, step.demand.cpu_milli);
            if step.long_running {
                let since = self.away_since.remove(&order.run.task);
                if let Some(since) = since {
                    self.record_away(now.saturating_sub(since));
                }
            } else {
                let run_time = sample_lognormal(&mut self.random, URGENT_RUN_TIME, 0.5);
                let end = ServiceEvent::EndRun(order.worker.clone(), host.instance, order.run);
                self.clock.schedule_after(run_time, end);
                if now >= IDLE_TIME + FILLING_TIME {
                    self.urgent_work += step.demand.cpu_milli * to_ms(run_time);
                }
            }
        }
        let answer = StartAnswer {
            result,
            sent_at: now.saturating_sub(TRANSIT_TIME),
            clock_ms: (result != StartResult::Unanswered).then(|| to_ms(now)),
        };
        self.notify_after(
            delay,
            PipelineEvent::StartAnswered(order.worker, order.run, answer),
        );
    }

    fn end_run(&mut self, worker: &WorkerId, instance: u64, run: RunKey) {
        let host = self.hosts.get_mut(worker).expect("known worker");
        if host.instance != instance || host.runs.remove(&run).is_none() {
            return;
        }
        host.end_count += 1;
        host.ended.push(EndedRun {
            number: host.end_count,
            run,
            end: RunEnd::Done,
            checkpoint: String::new(),
        });
        self.answer_renewal(worker);
    }

    fn renew(&mut self, order: RenewalOrder, sent_at: Duration) {
        let now = self.clock.now();
        let worker = order.worker.clone();
        let host = self.hosts.get_mut(&worker).expect("known worker");
        if now < host.up_at {
            let event = PipelineEvent::RenewalFailed(worker, RenewalFailure::Unanswered);
            self.notify_after(ORDER_TIMEOUT, event);
            return;
        }
        host.ended.retain(|end| end.number > order.acked_end);
        host.renewal_count += 1;
        let (wait, has_ends) = (order.wait, !host.ended.is_empty());
        let number = host.renewal_count;
        host.renewal = Some((order, sent_at));
        if has_ends {
            self.answer_renewal(&worker);
        } else {
            let answer = ServiceEvent::AnswerRenewal(worker, number);
            self.clock.schedule_after(wait, answer);
        }
    }

    fn answer_renewal(&mut self, worker: &WorkerId) {
        let now = self.clock.now();
        let host = self.hosts.get_mut(worker).expect("known worker");
        let Some((order, sent_at)) = host.renewal.take() else {
            return;
        };
        let running = host.runs.keys().map(|run| ObservedRun {
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            load: None,
        });
        let report = RenewalReport {
            started_unix_ms: INSTANCE_STARTED_MS + host.instance,
            clock_ms: to_ms(now),
            running: running.collect(),
            ended: host.ended.clone(),
            has_more_ends: false,
        };
        let stamp = RenewalStamp {
            token: order.token,
            sent_at,
        };
        let event = PipelineEvent::LeaseRenewed(worker.clone(), stamp, report);
        self.notify_after(TRANSIT_TIME, event);
    }

    fn record_away(&mut self, time: Duration) {
        let recorded = self.away_times.record(to_ms(time));
        recorded.expect("the histogram grows with its values");
    }

    /// Restarts a worker with long-running tasks.
    fn restart_worker(&mut self) {
        let now = self.clock.now();
        let serving = self.hosts.iter().filter(|(_, host)| {
            let runs = host.runs.iter();
            let lasting = runs.filter(|(_, cpu_milli)| **cpu_milli == LASTING_CPU_MILLI);
            let losses = lasting.map(|(run, _)| self.losses.get(&run.task).copied().unwrap_or(0));
            let most_losses = losses.max();
            now >= host.up_at && most_losses.is_some_and(|losses| losses < MAX_TASK_LOSSES)
        });
        let serving: Vec<WorkerId> = serving.map(|(worker, _)| worker.clone()).collect();
        if !serving.is_empty() {
            let worker = serving[self.random.random_range(0..serving.len())].clone();
            let host = self.hosts.get_mut(&worker).expect("known worker");
            host.instance += 1;
            host.up_at = now + RESTART_TIME;
            host.ended.clear();
            host.end_count = 0;
            let lost = std::mem::take(&mut host.runs);
            let is_renewing = host.renewal.take().is_some();
            let lost = lost.into_iter();
            let lasting = lost.filter(|(_, cpu_milli)| *cpu_milli == LASTING_CPU_MILLI);
            let tasks: BTreeSet<TaskKey> = lasting.map(|(run, _)| run.task).collect();
            for task in tasks {
                *self.losses.entry(task).or_default() += 1;
                self.away_since.insert(task, now);
            }
            if is_renewing {
                let event = PipelineEvent::RenewalFailed(worker, RenewalFailure::Unanswered);
                self.notify_after(TRANSIT_TIME, event);
            }
        }
        // The tasks that are lost last have twice the time of the target.
        if now + RESTART_INTERVAL + RESTORATION_TARGET * 2 < RUN_TIME {
            self.clock
                .schedule_after(RESTART_INTERVAL, ServiceEvent::Restart);
        }
    }
}

fn main() {
    let mut table = BoundTable::start(&[
        "Time without a run of long-running tasks whose workers are restarted, and CPU of the",
        "urgent jobs, at a demand in percent of the CPU of the service.",
    ]);
    for seed in SEEDS {
        for load_percent in LOADS {
            let mut model = ServiceModel::new(seed, load_percent);
            model.run();
            let times = &model.away_times;
            let p99 = Duration::from_millis(times.value_at_quantile(0.99));
            table.at_most(
                &format!("load {load_percent} %: time without a run, p99, in s"),
                p99.as_secs_f64(),
                RESTORATION_TARGET.as_secs_f64(),
                seed,
            );
            table.note(
                &format!("load {load_percent} %: lost runs"),
                &times.len().to_string(),
                seed,
            );
            let measured = RUN_TIME.saturating_sub(IDLE_TIME + FILLING_TIME);
            let capacity = WORKER_COUNT as u64 * WORKER_CPU_MILLI * to_ms(measured);
            let urgent_percent = model.urgent_work as f64 * 100.0 / capacity as f64;
            table.at_least(
                &format!("load {load_percent} %: CPU of the urgent jobs, in percent"),
                urgent_percent,
                URGENT_CPU_PERCENT,
                seed,
            );
        }
    }
    table.finish();
}
