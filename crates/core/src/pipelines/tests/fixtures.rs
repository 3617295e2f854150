//! An owner whose workers, store and clock are simulated by the test.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    AdvicePolicy, AdviceReport, EndedRun, ObservedRun, PipelineAction, PipelineConfig,
    PipelineEvent, PipelineId, PipelinePhase, PipelineProgress, PipelineSpec, PipelineState,
    QueuePolicy, RenewalReport, RenewalStamp, ResourceVector, RunEnd, RunKey, StartAnswer,
    StartOrder, StartResult, StepKey, StepSpec, StopOrder, WorkerId, WorkerListing, types::Epoch,
};

/// Wall clock of the fixtures at time zero, in ms since 1970.
pub(super) const WALL_MS: u64 = 1_700_000_000_000;

/// Start time of each worker instance, in ms since 1970.
pub(super) const INSTANCE_STARTED_MS: u64 = 1_600_000_000_000;

/// An owner, and the actions that it has returned and the test has not taken yet.
pub(super) struct OwnerFixture {
    pub(super) state: PipelineState,
    pub(super) now: Duration,
    pub(super) actions: Vec<PipelineAction>,
    /// Durable progress of the jobs that are not retired.
    pub(super) durable: BTreeMap<PipelineId, PipelineProgress>,
    /// Durable phases of all jobs.
    pub(super) phases: BTreeMap<PipelineId, PipelinePhase>,
}

/// Returns an owner that has claimed its workers.
pub(super) fn owner(workers: &[&str]) -> OwnerFixture {
    let mut owner = unclaimed_owner(1, workers);
    for worker in workers {
        owner.report(worker, Vec::new(), Vec::new());
    }
    owner.actions.clear();
    owner
}

/// Returns an owner that has claimed this many workers, named `w000`, `w001` and so on.
pub(super) fn owner_of_workers(count: usize) -> OwnerFixture {
    let names: Vec<String> = (0..count).map(|index| format!("w{index:03}")).collect();
    let workers: Vec<&str> = names.iter().map(String::as_str).collect();
    owner(&workers)
}

/// Returns the key of the first step of a job without a schedule.
pub(super) const fn first_step(pipeline: PipelineId) -> StepKey {
    StepKey {
        pipeline,
        occurrence: 0,
        step: 0,
    }
}

/// Returns an owner whose workers are listed and have not answered a renewal.
pub(super) fn unclaimed_owner(epoch: u64, workers: &[&str]) -> OwnerFixture {
    unclaimed_owner_with(pipeline_config(), epoch, workers)
}

/// Returns the settings of the fixtures.
pub(super) const fn pipeline_config() -> PipelineConfig {
    PipelineConfig {
        lease: Duration::from_secs(5),
        max_lease: Duration::from_secs(6),
        inherited_lease: Duration::from_secs(6),
        listing_interval: Duration::from_millis(1_500),
        renewal_wait: Duration::from_secs(1),
        manages_scarcity: false,
    }
}

/// Returns an owner with these settings whose workers are listed and have not answered a renewal.
pub(super) fn unclaimed_owner_with(
    config: PipelineConfig,
    epoch: u64,
    workers: &[&str],
) -> OwnerFixture {
    let now = Duration::from_secs(100);
    let mut owner = OwnerFixture {
        state: PipelineState::new(config, epoch, now),
        now,
        actions: Vec::new(),
        durable: BTreeMap::new(),
        phases: BTreeMap::new(),
    };
    let confirmed_until = now + Duration::from_hours(1);
    owner.handle_event(PipelineEvent::OwnershipConfirmed(confirmed_until));
    owner.handle_event(PipelineEvent::ExtensionsPermitted(confirmed_until));
    owner.handle_event(PipelineEvent::Tick(WALL_MS));
    for worker in workers {
        owner.handle_event(PipelineEvent::Listed(listing(worker)));
    }
    owner
}

/// Returns the listing of a worker with four cores.
pub(super) fn listing(worker: &str) -> WorkerListing {
    WorkerListing {
        worker: worker.into(),
        address: format!("{worker}:1"),
        capacity: ResourceVector::new(4_000, 4_096, 4),
        labels: vec!["a".to_owned()],
        rack: Some("r1-1".into()),
        is_draining: false,
        leaves_in: None,
        started_unix_ms: None,
    }
}

/// Returns a step whose tasks need one core each.
pub(super) fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        demand: ResourceVector::new(1_000, 100, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// Returns a job of a queue that allows two attempts.
pub(super) fn job(steps: Vec<StepSpec>) -> PipelineSpec {
    PipelineSpec {
        command: "run".to_owned(),
        steps,
        schedule: None,
        policy: QueuePolicy {
            queue: "tokens".to_owned(),
            service: "sales".into(),
            priority: 1,
            max_attempts: 2,
            stretch: 2.0,
            target_latency_ms: 500,
            advice: None,
        },
        accepted_unix_ms: WALL_MS,
        team: None,
    }
}

/// Returns a job whose single task lasts until it is cancelled.
pub(super) fn long_running_job() -> PipelineSpec {
    let mut spec = job(vec![step(1)]);
    spec.steps[0].long_running = true;
    spec
}

/// Returns the policy of a queue that requires tickets.
pub(super) fn advice(decision_ms: f64) -> AdvicePolicy {
    AdvicePolicy {
        decision_ms,
        per_worker_ms: 1.0,
        valid_ms: 2_000,
    }
}

/// Returns the report of a run that succeeded.
pub(super) fn done(number: u64, run: RunKey) -> EndedRun {
    ended(number, run, RunEnd::Done)
}

/// Returns the report of a run that ended, without a checkpoint.
pub(super) fn ended(number: u64, run: RunKey, end: RunEnd) -> EndedRun {
    EndedRun {
        number,
        run,
        end,
        checkpoint: String::new(),
    }
}

/// Returns the report of a run that is present and half done.
pub(super) fn observed(run: RunKey) -> ObservedRun {
    ObservedRun {
        run,
        checkpoint: String::new(),
        percent: 50,
        load: None,
    }
}

impl OwnerFixture {
    pub(super) fn handle_event(&mut self, event: PipelineEvent) {
        let actions = self.state.handle(event, self.now);
        self.actions.extend(actions);
    }

    /// Reports that no order of an earlier owner has been sent in the last minute.
    pub(super) fn end_predecessors_long_ago(&mut self) {
        let ended_at = self.now.saturating_sub(Duration::from_mins(1));
        self.handle_event(PipelineEvent::PredecessorsEnded(ended_at));
    }

    /// Adds a job and runs a placement pass.
    pub(super) fn submit(&mut self, id: PipelineId, spec: PipelineSpec) {
        self.handle_event(PipelineEvent::Stored(id, Arc::new(spec), None));
        self.run_placement_pass();
    }

    pub(super) fn run_placement_pass(&mut self) {
        let actions = self.state.schedule(self.now);
        self.actions.extend(actions);
    }

    /// Makes all changes durable and completes their commits.
    pub(super) fn commit(&mut self) {
        while let Some(commit) = self.state.take_commit(|_| true) {
            for entry in &commit.entries {
                self.phases.insert(entry.pipeline, entry.phase);
                match &entry.progress {
                    Some(progress) => self.durable.insert(entry.pipeline, progress.clone()),
                    None => self.durable.remove(&entry.pipeline),
                };
            }
            let actions = self.state.complete_commit(commit, self.now);
            self.actions.extend(actions);
        }
    }

    /// Runs a placement pass, commits, and answers all new start orders as carried out.
    pub(super) fn start_all(&mut self) -> Vec<StartOrder> {
        self.run_placement_pass();
        self.commit();
        let starts = self.take_starts();
        for start in &starts {
            let worker = start.worker.clone();
            let answer = StartAnswer {
                result: StartResult::Started,
                sent_at: self.now,
                clock_ms: Some(u64::try_from(self.now.as_millis()).unwrap()),
            };
            self.handle_event(PipelineEvent::StartAnswered(worker, start.run, answer));
        }
        starts
    }

    /// Answers a renewal with the runs of a worker.
    pub(super) fn report(&mut self, worker: &str, running: Vec<ObservedRun>, ended: Vec<EndedRun>) {
        self.report_as_instance(worker, INSTANCE_STARTED_MS, running, ended);
    }

    /// Answers a renewal as the instance of a worker that started at the given time.
    pub(super) fn report_as_instance(
        &mut self,
        worker: &str,
        started_unix_ms: u64,
        running: Vec<ObservedRun>,
        ended: Vec<EndedRun>,
    ) {
        self.handle_report(
            worker,
            RenewalReport {
                started_unix_ms,
                clock_ms: u64::try_from(self.now.as_millis()).unwrap(),
                running,
                ended,
                has_more_ends: false,
            },
        );
    }

    /// Answers a renewal with part of the ends of a worker.
    pub(super) fn report_with_more_ends(
        &mut self,
        worker: &str,
        running: Vec<ObservedRun>,
        ended: Vec<EndedRun>,
    ) {
        self.handle_report(
            worker,
            RenewalReport {
                started_unix_ms: INSTANCE_STARTED_MS,
                clock_ms: u64::try_from(self.now.as_millis()).unwrap(),
                running,
                ended,
                has_more_ends: true,
            },
        );
    }

    pub(super) fn handle_report(&mut self, worker: &str, report: RenewalReport) {
        let token = self.state.workers[worker].token(self.state.epoch);
        let stamp = RenewalStamp {
            token,
            sent_at: self.now,
        };
        let event = PipelineEvent::LeaseRenewed(worker.into(), stamp, report);
        self.handle_event(event);
    }

    /// Answers the advice request for a step: the named workers may run it.
    pub(super) fn grant_tickets(&mut self, step: StepKey, workers: &[&str]) {
        let tickets = workers
            .iter()
            .map(|worker| (WorkerId::from(*worker), "t".to_owned()));
        let report = AdviceReport {
            tickets: tickets.collect(),
            valid: Duration::from_secs(2),
        };
        let arrived_at = self.now;
        self.handle_event(PipelineEvent::AdviceAnswered(
            step,
            Some(report),
            arrived_at,
        ));
    }

    /// Advances the clock in steps of 50 ms, with a tick after each.
    pub(super) fn advance_clock(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(50));
            let since_start = self.now.checked_sub(Duration::from_secs(100)).unwrap();
            let wall_ms = WALL_MS + u64::try_from(since_start.as_millis()).unwrap();
            self.handle_event(PipelineEvent::Tick(wall_ms));
        }
    }

    pub(super) fn take_starts(&mut self) -> Vec<StartOrder> {
        let (starts, others) = std::mem::take(&mut self.actions)
            .into_iter()
            .partition(|action| matches!(action, PipelineAction::Start(_)));
        self.actions = others;
        let starts: Vec<PipelineAction> = starts;
        let starts = starts.into_iter().filter_map(|action| match action {
            PipelineAction::Start(order) => Some(order),
            _ => None,
        });
        starts.collect()
    }

    pub(super) fn stops(&self) -> Vec<&StopOrder> {
        let stops = self.actions.iter().filter_map(|action| match action {
            PipelineAction::Stop(order) => Some(order),
            _ => None,
        });
        stops.collect()
    }

    /// Returns the number of the end that the latest renewal of a worker acknowledges.
    pub(super) fn acked_end(&self, worker: &str) -> Option<u64> {
        let mut actions = self.actions.iter().rev();
        actions.find_map(|action| match action {
            PipelineAction::Renew(order) if *order.worker == *worker => Some(order.acked_end),
            _ => None,
        })
    }

    /// Returns the fencing token of the latest renewal of a worker.
    pub(super) fn renewal_token(&self, worker: &str) -> Option<Epoch> {
        let mut actions = self.actions.iter().rev();
        actions.find_map(|action| match action {
            PipelineAction::Renew(order) if *order.worker == *worker => Some(order.token),
            _ => None,
        })
    }

    /// Returns the step of each advice request, and the number of workers that it names.
    pub(super) fn advice_requests(&self) -> Vec<(StepKey, usize)> {
        let requests = self.actions.iter().filter_map(|action| match action {
            PipelineAction::Ask(order) => Some((order.step, order.workers.len())),
            _ => None,
        });
        requests.collect()
    }
}
