//! Execution of one run: start of the cell, load with faults, and completion of the jobs.

use std::{
    fs,
    path::PathBuf,
    time::{Duration, Instant},
};

use auburnsaddle_platform_standin::{
    FIRST_KIND, HostClock, StoreStandin, WorkerSetup, WorkerStandin,
};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::{
    callers::{CAPPED_KEY, QUEUE_PREFIX, SoakCallers, UNCAPPED_KEY},
    checks::{BrokenPromise, CANCEL_TIME, RESTORE_BOUND, check_history},
    error::SoakError,
    history::{FaultSpan, JobId, JobRecord, RunRecord, SoakHistory, SubmitOutcome},
    plan::{InstanceClock, LinkState, PlannedFault, SoakFault, SoakSize, generate_plan},
    process::DaemonProcess,
    proxy::LinkProxy,
};

/// Time for which a worker runs each task.
const TASK_RUN_TIME: Duration = Duration::from_millis(250);

/// Processor capacity of a worker, in thousandths of a core.
const WORKER_CPU: usize = 4_000;

/// Processor request of a task. A worker can run four at a time.
const TASK_CPU: usize = 1_000;

/// The same in a run with restarts. A worker has room for four and for some small tasks.
const REDUCED_TASK_CPU: usize = 950;

/// Processor request of a small task.
const SMALL_TASK_CPU: usize = 10;

/// Number of tasks that the cap of a team admits at a time.
const CAPPED_TASKS: usize = 3;

/// Number of jobs with small tasks that last in a run with restarts. They are submitted at
/// restarts, so that a new instance gets orders for its former one whose tasks are at work when
/// its lease lapses. With three for a worker, all fit on the workers that are left.
const SMALL_JOB_COUNT: u64 = 5;

/// Largest number of small tasks of a job on one worker.
const MAX_SMALL_PER_WORKER: usize = 3;

/// Identifier of the first job with small tasks, above those of the other jobs.
const FIRST_SMALL_JOB: JobId = 0x1_0000;

/// Time from the submission of a job with small tasks in which no other job is submitted. An order
/// that has no response tells the owner as much as a lost renewal, so the workers that are cut off
/// after a restart must get no orders then.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Time between the submissions of two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(60);

/// The same in a run with tasks that last, which need the room.
const SPARSE_JOB_INTERVAL: Duration = Duration::from_millis(120);

/// Time from which jobs with tasks that last are submitted: the daemons have read the manifest.
const LASTING_JOBS_AT: Duration = Duration::from_millis(1_500);

/// Largest number of tasks of a job with tasks that last.
const MAX_LASTING_COUNT: usize = 2;

/// Time from the loss of a worker until the platform removes its entry: three heartbeat intervals
/// of 1.5 s.
const ENTRY_REMOVAL_DELAY: Duration = Duration::from_millis(4_500);

/// Reading of the clocks of the workers at the start of a run with restarts, so that a later
/// clock can be behind: half of the longest time by which one is.
const FIRST_CLOCK: Duration = Duration::from_hours(12);

/// In a run with restarts, one of this many jobs requires a label.
const LABELLED_JOB_INTERVAL: u64 = 4;

/// Key of the entry that names the owner of the service.
const OWNER_KEY: &str = "auburnsaddle/pub/owner/sales";

/// Time after the last fault at which the jobs with tasks that last are cancelled. It covers
/// the bound for their return.
const LASTING_WATCH_TIME: Duration = RESTORE_BOUND.saturating_add(Duration::from_millis(500));

/// Time between two checks for faults that start or end, jobs to submit and daemons that
/// have exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the last fault by which the tasks of cancelled jobs must have stopped. It
/// covers the lease of a worker and a takeover by another daemon.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Time after the last fault by which all accepted jobs must have ended. A daemon that
/// takes over a service waits 19 s for a worker that it has not reached.
const FINISH_TIMEOUT: Duration = Duration::from_mins(1);

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct SoakRun {
    /// Path of the daemon binary.
    pub daemon_path: PathBuf,
    /// Directory for the settings files and the logs of the daemons. Created if missing.
    pub output_dir: PathBuf,
    /// Seed of the random number generators for faults and jobs.
    pub seed: u64,
    /// Number of daemons and workers, and duration of the load.
    pub size: SoakSize,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Violations of promises, sorted.
    pub broken_promises: Vec<BrokenPromise>,
    /// Number of jobs that callers tried to submit, with any outcome.
    pub submitted_jobs: usize,
    /// Number of jobs that a daemon accepted.
    pub accepted_jobs: usize,
    /// Number of runs of tasks on all workers.
    pub task_runs: usize,
    /// Number of those of tasks that last.
    pub lasting_runs: usize,
}

/// A daemon of the cell and the proxy between it and the store.
struct DaemonHandle {
    name: String,
    proxy: LinkProxy,
    /// `None` from a kill to the restart.
    process: Option<DaemonProcess>,
    /// Whether the daemon was killed for good.
    is_lost: bool,
    /// Time at which SIGTERM was sent to the process, if it is shutting down.
    stop_requested_at: Option<Instant>,
}

/// Whether a worker runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WorkerStatus {
    Up,
    Restarting,
    Lost,
}

/// A worker stand-in and the proxy between it and the daemons.
struct WorkerHandle {
    worker: WorkerStandin,
    proxy: LinkProxy,
    status: WorkerStatus,
    /// Number of cuts from all daemons in progress, which can overlap.
    cut_count: usize,
}

impl WorkerHandle {
    /// Writes the worker's entry to the store, with the address of the proxy.
    fn register(&self, store: &StoreStandin) {
        let address = self.proxy.address();
        let (key, value) = self.worker.registration_with_address("sales", address);
        store.write(&key, &value);
    }

    /// Starts the worker again if it is restarting, and reopens its connections unless it is
    /// lost.
    fn recover(&mut self, store: &StoreStandin) {
        if self.status == WorkerStatus::Restarting {
            self.worker.restart();
            self.status = WorkerStatus::Up;
            self.register(store);
        }
        if self.status == WorkerStatus::Up {
            self.proxy.set(LinkState::Open);
        }
    }

    /// Restarts the worker at once, unless it is lost or restarting. Orders that wait in
    /// connections to the former instance are lost with it: only those of
    /// [`SoakFault::LateOrders`] are known to be late.
    fn restart_instance(&self, clock: InstanceClock, kind: &str) {
        if self.status != WorkerStatus::Up {
            return;
        }
        self.proxy.drop_waiting_bytes();
        let former_clock = self.worker.clock();
        let clock = match clock {
            InstanceClock::Behind(time) => former_clock.saturating_sub(time),
            InstanceClock::Ahead(time) => former_clock + time,
            InstanceClock::At(reading) => reading,
        };
        self.worker.restart_as_kind(clock, kind);
    }

    /// Returns the number of tasks that last and run on the worker.
    fn lasting_count(&self) -> usize {
        let starts = self.worker.starts().into_iter();
        let running = starts.filter(|start| start.is_lasting && start.ended.is_none());
        running.count()
    }
}

/// The processes, stand-ins and callers of one run, with its history.
struct SoakCell {
    run: SoakRun,
    store: StoreStandin,
    workers: Vec<WorkerHandle>,
    daemons: Vec<DaemonHandle>,
    callers: SoakCallers,
    /// Latest version that was published.
    manifest_version: u64,
    /// Number of jobs with small tasks so far, and the time of the latest.
    small_job_count: u64,
    last_small_job_at: Option<Instant>,
    history: SoakHistory,
    rng: ChaCha8Rng,
}

impl SoakRun {
    /// Executes the run and checks its history.
    ///
    /// # Errors
    ///
    /// Returns an error if a file, a socket or a daemon process cannot be created, or if a
    /// signal cannot be sent. Broken promises are part of the report.
    pub async fn execute(self) -> Result<SoakReport, SoakError> {
        fs::create_dir_all(&self.output_dir)?;
        let plan = generate_plan(self.seed, &self.size);
        let mut cell = SoakCell::start(self).await?;
        cell.apply_load(&plan).await?;
        cell.finish_jobs().await?;
        Ok(cell.into_report())
    }
}

impl SoakCell {
    /// Starts the store, the workers and the daemons, each behind its proxy.
    async fn start(run: SoakRun) -> Result<Self, SoakError> {
        let store = StoreStandin::start().await;
        let mut workers = Vec::new();
        for index in 0..run.size.workers {
            let id = format!("worker-{index}");
            let clock = match run.size.restart_series {
                0 => Duration::ZERO,
                _ => FIRST_CLOCK,
            };
            let setup = WorkerSetup {
                run_time: TASK_RUN_TIME,
                initial_clock: clock,
                max_lease: run.size.max_lease(),
                // Wrong start times are to be compared with true ones.
                host_clock: (run.size.clock_steps > 0).then_some(HostClock::Ahead(Duration::ZERO)),
            };
            let worker = WorkerStandin::start_with(&id, setup).await;
            let proxy = LinkProxy::start(worker.address()).await?;
            let handle = WorkerHandle {
                worker,
                proxy,
                status: WorkerStatus::Up,
                cut_count: 0,
            };
            handle.register(&store);
            workers.push(handle);
        }
        let mut cell = Self {
            callers: SoakCallers::new(run.size.daemons),
            rng: ChaCha8Rng::seed_from_u64(run.seed),
            store,
            workers,
            daemons: Vec::new(),
            manifest_version: 0,
            small_job_count: 0,
            last_small_job_at: None,
            history: SoakHistory::default(),
            run,
        };
        cell.publish_manifest();
        let store_socket = cell.store.socket();
        for index in 0..cell.run.size.daemons {
            cell.daemons.push(DaemonHandle {
                name: format!("daemon-{index}"),
                proxy: LinkProxy::start(store_socket).await?,
                process: None,
                is_lost: false,
                stop_requested_at: None,
            });
            cell.launch_daemon(index)?;
            tokio::spawn(cell.callers.clone().poll_manifest_version(index));
        }
        Ok(cell)
    }

    /// Launches a daemon and gives its new port to the callers.
    fn launch_daemon(&mut self, daemon: usize) -> Result<(), SoakError> {
        let handle = &mut self.daemons[daemon];
        let store_address = handle.proxy.address().to_string();
        let output_dir = &self.run.output_dir;
        let process = DaemonProcess::launch(
            &self.run.daemon_path,
            &handle.name,
            &store_address,
            self.run.size.max_lease(),
            output_dir,
        )?;
        self.callers.set_daemon_port(daemon, Some(process.port));
        handle.process = Some(process);
        handle.stop_requested_at = None;
        Ok(())
    }

    /// Publishes the next manifest version, which adds a queue that no older version has.
    fn publish_manifest(&mut self) {
        self.manifest_version += 1;
        let prefixes = (1..=self.manifest_version).map(|version| format!("/v{version}/"));
        let prefixes = prefixes.chain([QUEUE_PREFIX.to_owned()]);
        let routes = prefixes.map(|prefix| {
            json!({
                "name": format!("queue{prefix}"), "host": "jobs.test", "prefix": prefix,
                "public": prefix != QUEUE_PREFIX, "service": "sales", "priority": 1, "max-attempts": 3, "stretch": 3.0,
                "target-latency-ms": 1_000, "kind": "unsafe", "timeout-ms": 3_000,
            })
        });
        let routes: Vec<Value> = routes.collect();
        let manifest = json!({
            "version": self.manifest_version, "routes": routes, "services": [], "limits": {},
            "tenants": [
                {
                    "name": "capped", "api-keys": [CAPPED_KEY], "weight": 100,
                    "cap": {"cpu": self.team_cap()},
                },
                {"name": "other", "api-keys": [UNCAPPED_KEY], "weight": 100},
            ],
        });
        self.store.write("op/config", &manifest);
    }

    /// Submits jobs and injects the planned faults for the duration of the load.
    async fn apply_load(&mut self, plan: &[PlannedFault]) -> Result<(), SoakError> {
        let started_at = Instant::now();
        let mut upcoming = plan.iter().peekable();
        let mut active_faults: Vec<(Duration, SoakFault)> = Vec::new();
        let mut next_job_at = Duration::ZERO;
        let mut id: JobId = 0;
        let mut lasting_left = self.run.size.lasting_tasks;
        let has_restarts = self.run.size.restart_series > 0;
        let task_cpu = self.task_cpu();
        let job_interval = match lasting_left {
            0 => JOB_INTERVAL,
            _ => SPARSE_JOB_INTERVAL,
        };
        while started_at.elapsed() < self.run.size.load_duration {
            let now = started_at.elapsed();
            while let Some(planned) = upcoming.next_if(|planned| planned.at <= now) {
                let fault = self.resolve_fault(planned.fault);
                self.begin_fault(fault, planned.lasts)?;
                if let SoakFault::RestartInstance(..) = fault {
                    self.submit_small_job();
                }
                active_faults.push((planned.at + planned.lasts, fault));
            }
            let (due, rest) = active_faults.into_iter().partition(|(end, _)| *end <= now);
            active_faults = rest;
            for (_, fault) in due {
                self.end_fault(fault)?;
            }
            self.relaunch_stopped().await?;
            while next_job_at <= now {
                next_job_at += job_interval;
                id += 1;
                if self.is_quiet() {
                    continue;
                }
                if lasting_left > 0 && now >= LASTING_JOBS_AT {
                    let count = lasting_left.min(MAX_LASTING_COUNT);
                    lasting_left -= count;
                    let record = JobRecord {
                        tasks_per_step: vec![u32::try_from(count).unwrap_or(1)],
                        is_lasting: true,
                        cpu: task_cpu,
                        ..JobRecord::default()
                    };
                    tokio::spawn(self.callers.clone().submit_job(id, record));
                    continue;
                }
                let step_count = self.rng.random_range(1..3);
                let tasks_per_step = (0..step_count).map(|_| self.rng.random_range(1..5));
                let has_label = has_restarts && id.is_multiple_of(LABELLED_JOB_INTERVAL);
                let record = JobRecord {
                    tasks_per_step: tasks_per_step.collect(),
                    is_capped: id.is_multiple_of(2),
                    cpu: task_cpu,
                    required_label: has_label.then_some(FIRST_KIND),
                    ..JobRecord::default()
                };
                tokio::spawn(self.callers.clone().submit_job(id, record));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the CPU of each task but the small ones, in thousandths of a core.
    const fn task_cpu(&self) -> usize {
        if self.run.size.restart_series > 0 {
            REDUCED_TASK_CPU
        } else {
            TASK_CPU
        }
    }

    /// Returns the cap of the team that has one, in thousandths of a core.
    const fn team_cap(&self) -> usize {
        CAPPED_TASKS * self.task_cpu()
    }

    /// Returns whether a job with small tasks was submitted less than [`QUIET_TIME`] ago.
    fn is_quiet(&self) -> bool {
        self.last_small_job_at
            .is_some_and(|at| at.elapsed() < QUIET_TIME)
    }

    /// Submits a job with small tasks that last, twice as many as workers, unless one was submitted
    /// just now.
    fn submit_small_job(&mut self) {
        if self.is_quiet() || self.small_job_count == SMALL_JOB_COUNT {
            return;
        }
        let id = FIRST_SMALL_JOB + self.small_job_count;
        self.small_job_count += 1;
        self.last_small_job_at = Some(Instant::now());
        let record = JobRecord {
            tasks_per_step: vec![u32::try_from(self.workers.len() * 2).unwrap_or(1)],
            is_lasting: true,
            cpu: SMALL_TASK_CPU,
            max_per_worker: Some(MAX_SMALL_PER_WORKER),
            ..JobRecord::default()
        };
        tokio::spawn(self.callers.clone().submit_job(id, record));
    }

    /// Replaces the owner and the rank of a worker by the index of a daemon or a worker.
    fn resolve_fault(&self, fault: SoakFault) -> SoakFault {
        match fault {
            SoakFault::LoseOwner => SoakFault::LoseDaemon(self.find_owner()),
            SoakFault::KillOwner => SoakFault::Kill(self.find_owner()),
            SoakFault::PauseOwner => SoakFault::Pause(self.find_owner()),
            SoakFault::OwnerStoreLink(state) => SoakFault::StoreLink(self.find_owner(), state),
            SoakFault::LoseWorker(rank, state) => {
                SoakFault::LoseWorker(self.find_worker(rank), state)
            }
            SoakFault::RestartWorker(rank) => SoakFault::RestartWorker(self.find_worker(rank)),
            _ => fault,
        }
    }

    /// Returns the index of the daemon that owns the service, or of one that runs if the service
    /// has no owner.
    fn find_owner(&self) -> usize {
        let owner = self.store.value(OWNER_KEY).unwrap_or_default();
        let mut daemons = self.daemons.iter();
        let owner = daemons.position(|handle| owner.ends_with(handle.name.as_bytes()));
        let mut daemons = self.daemons.iter();
        let running = || daemons.position(|handle| handle.process.is_some());
        owner.or_else(running).unwrap_or(0)
    }

    /// Returns the index of the worker with this rank among those that are up, by their tasks
    /// that last.
    fn find_worker(&self, rank: usize) -> usize {
        let workers = self.workers.iter().enumerate();
        let workers = workers.filter(|(_, handle)| handle.status == WorkerStatus::Up);
        let mut ranked: Vec<(usize, usize)> = workers
            .map(|(index, handle)| (handle.lasting_count(), index))
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        let rank = rank % ranked.len().max(1);
        ranked.get(rank).map_or(0, |(_, index)| *index)
    }

    /// Injects a fault and records its span for the checks.
    fn begin_fault(&mut self, fault: SoakFault, lasts: Duration) -> Result<(), SoakError> {
        let from = Instant::now();
        let span = |index: usize| FaultSpan {
            index,
            from,
            // The fault ends at the first poll after its duration.
            to: from + lasts + POLL_INTERVAL * 2,
        };
        let moment = |index: usize| FaultSpan {
            index,
            from,
            to: from,
        };
        match fault {
            SoakFault::Kill(daemon) => self.kill_daemon(daemon, span(daemon)),
            SoakFault::KillAll => {
                for daemon in 0..self.daemons.len() {
                    self.kill_daemon(daemon, span(daemon));
                }
            }
            SoakFault::Stop(daemon) => {
                let handle = &mut self.daemons[daemon];
                if let (Some(process), None) = (&handle.process, handle.stop_requested_at) {
                    process.send_signal(Signal::SIGTERM)?;
                    handle.stop_requested_at = Some(from);
                }
            }
            SoakFault::Pause(daemon) => {
                self.history.daemon_faults.push(span(daemon));
                if let Some(process) = &self.daemons[daemon].process {
                    process.send_signal(Signal::SIGSTOP)?;
                }
            }
            SoakFault::StoreLink(daemon, state) => {
                self.history.daemon_faults.push(span(daemon));
                self.daemons[daemon].proxy.set(state);
            }
            SoakFault::LoseDaemon(daemon) => {
                self.daemons[daemon].is_lost = true;
                self.kill_daemon(daemon, moment(daemon));
            }
            SoakFault::WorkerLink(worker, _)
            | SoakFault::LateStarts(worker, _)
            | SoakFault::LateOrders(worker, ..)
            | SoakFault::LoseWorker(worker, _)
            | SoakFault::RestartWorker(worker)
            | SoakFault::RestartInstance(worker, ..)
            | SoakFault::CutWorker(worker) => {
                let is_loss = matches!(fault, SoakFault::LoseWorker(..));
                let span = if is_loss {
                    moment(worker)
                } else {
                    span(worker)
                };
                self.history.worker_faults.push(span);
                if let SoakFault::WorkerLink(..) | SoakFault::CutWorker(_) = fault {
                    self.history.worker_link_faults.push(span);
                }
                self.begin_worker_fault(worker, fault);
            }
            SoakFault::SetHostClock(worker, clock) => {
                self.workers[worker].worker.set_host_clock(clock);
            }
            SoakFault::StoreAway => {
                self.history.store_faults.push(span(0));
                self.store.set_unavailable(true);
            }
            SoakFault::LostAnswers(count) => {
                self.history.store_faults.push(span(0));
                self.store.drop_commit_responses(count);
            }
            SoakFault::RevokedLeases => {
                self.history.store_faults.push(moment(0));
                self.store.revoke_leases();
            }
            SoakFault::Manifest => self.publish_manifest(),
            SoakFault::Hangup(daemon) => {
                let handle = &self.daemons[daemon];
                if let Some(process) = &handle.process {
                    let store_address = handle.proxy.address().to_string();
                    process.rewrite_settings(&handle.name, &store_address)?;
                    process.send_signal(Signal::SIGHUP)?;
                }
            }
            SoakFault::Cancellations(percent) => {
                for (id, job) in self.callers.jobs() {
                    // Some tasks that last have to be left for the losses.
                    let is_kept = job.is_lasting && id % 2 == 0;
                    let can_cancel = !is_kept
                        && job.outcomes.contains(&SubmitOutcome::Accepted)
                        && job.cancel_requested_at.is_none()
                        && job.state.is_none();
                    if can_cancel && self.rng.random_range(0..100) < percent {
                        tokio::spawn(self.callers.clone().cancel_job(id));
                    }
                }
            }
            // Resolved to a fault of the daemon that is the owner.
            SoakFault::LoseOwner
            | SoakFault::KillOwner
            | SoakFault::PauseOwner
            | SoakFault::OwnerStoreLink(_) => {}
        }
        Ok(())
    }

    /// Injects a fault of one worker or of the connections to it.
    fn begin_worker_fault(&mut self, worker: usize, fault: SoakFault) {
        let handle = &mut self.workers[worker];
        match fault {
            SoakFault::WorkerLink(_, state) => handle.proxy.set(state),
            SoakFault::LateStarts(_, late_by) => handle.worker.delay_starts(2, late_by),
            SoakFault::LateOrders(_, count, late_by) => {
                handle.worker.deliver_starts_late(count, late_by);
            }
            SoakFault::LoseWorker(_, state) => self.lose_worker(worker, WorkerStatus::Lost, state),
            SoakFault::RestartWorker(_) => {
                self.lose_worker(worker, WorkerStatus::Restarting, LinkState::Reset);
            }
            SoakFault::RestartInstance(_, clock, kind) => handle.restart_instance(clock, kind),
            SoakFault::CutWorker(_) => {
                handle.cut_count += 1;
                handle.worker.cut_off();
            }
            _ => {}
        }
    }

    /// Ends the runs of a worker and sets the state of its connections. The entry of a worker
    /// that is lost for good is removed later.
    fn lose_worker(&mut self, worker: usize, status: WorkerStatus, state: LinkState) {
        let handle = &mut self.workers[worker];
        handle.status = status;
        handle.worker.lose();
        handle.proxy.set(state);
        if status == WorkerStatus::Lost {
            let (store, key) = (self.store.clone(), handle.worker.registration_key());
            tokio::spawn(async move {
                tokio::time::sleep(ENTRY_REMOVAL_DELAY).await;
                store.remove(&key);
            });
        }
    }

    /// Kills a daemon by dropping its process.
    fn kill_daemon(&mut self, daemon: usize, span: FaultSpan) {
        self.history.daemon_faults.push(span);
        self.callers.set_daemon_port(daemon, None);
        let handle = &mut self.daemons[daemon];
        handle.process = None;
        handle.stop_requested_at = None;
    }

    /// Ends a fault: restarts killed daemons, resumes paused ones and reopens connections.
    fn end_fault(&mut self, fault: SoakFault) -> Result<(), SoakError> {
        match fault {
            SoakFault::Kill(daemon) => self.ensure_running(daemon)?,
            SoakFault::KillAll => {
                for daemon in 0..self.daemons.len() {
                    self.ensure_running(daemon)?;
                }
            }
            SoakFault::Pause(daemon) => {
                if let Some(process) = &self.daemons[daemon].process {
                    process.send_signal(Signal::SIGCONT)?;
                }
            }
            SoakFault::StoreLink(daemon, _) => self.daemons[daemon].proxy.set(LinkState::Open),
            SoakFault::WorkerLink(worker, _) => {
                let handle = &self.workers[worker];
                if handle.status == WorkerStatus::Up {
                    handle.proxy.set(LinkState::Open);
                }
            }
            SoakFault::RestartWorker(worker) => self.workers[worker].recover(&self.store),
            SoakFault::RestartInstance(worker, ..) => {
                let handle = &self.workers[worker];
                if handle.status == WorkerStatus::Up {
                    handle.register(&self.store);
                }
            }
            SoakFault::CutWorker(worker) => {
                let handle = &mut self.workers[worker];
                handle.cut_count = handle.cut_count.saturating_sub(1);
                if handle.cut_count == 0 {
                    handle.worker.reconnect();
                }
            }
            SoakFault::StoreAway => self.store.set_unavailable(false),
            _ => {}
        }
        Ok(())
    }

    /// Launches a daemon that a fault has killed, unless it was launched since or is killed for
    /// good.
    fn ensure_running(&mut self, daemon: usize) -> Result<(), SoakError> {
        let handle = &self.daemons[daemon];
        match handle.process {
            None if !handle.is_lost => self.launch_daemon(daemon),
            _ => Ok(()),
        }
    }

    /// Restarts daemons that have exited after SIGTERM, and records their stops.
    async fn relaunch_stopped(&mut self) -> Result<(), SoakError> {
        for daemon in 0..self.daemons.len() {
            let handle = &mut self.daemons[daemon];
            let (Some(process), Some(from)) = (&mut handle.process, handle.stop_requested_at)
            else {
                continue;
            };
            let exit = tokio::time::timeout(Duration::ZERO, process.wait_for_exit()).await;
            if exit.is_ok() {
                self.history.planned_stops.push(FaultSpan {
                    index: daemon,
                    from,
                    to: Instant::now(),
                });
                self.launch_daemon(daemon)?;
            }
        }
        Ok(())
    }

    /// Ends all faults, cancels the jobs with tasks that last after [`LASTING_WATCH_TIME`], and
    /// waits until all accepted jobs have ended, up to [`FINISH_TIMEOUT`].
    async fn finish_jobs(&mut self) -> Result<(), SoakError> {
        self.store.set_unavailable(false);
        self.store.drop_commit_responses(0);
        for handle in &mut self.workers {
            handle.recover(&self.store);
            handle.worker.reconnect();
            handle.worker.delay_starts(0, Duration::ZERO);
            if handle.status == WorkerStatus::Up {
                handle.register(&self.store);
            }
        }
        for daemon in 0..self.daemons.len() {
            self.daemons[daemon].proxy.set(LinkState::Open);
            if let Some(process) = &self.daemons[daemon].process {
                process.send_signal(Signal::SIGCONT)?;
            }
            self.ensure_running(daemon)?;
        }
        let faults_ended_at = Instant::now();
        self.history.faults_ended_at = Some(faults_ended_at);
        self.history.settled_at = Some(faults_ended_at + SETTLE_TIME);
        let settle_time = match self.run.size.lasting_tasks {
            0 => SETTLE_TIME,
            _ => LASTING_WATCH_TIME + CANCEL_TIME,
        };
        let mut has_cancelled = false;
        while faults_ended_at.elapsed() < FINISH_TIMEOUT {
            self.relaunch_stopped().await?;
            let jobs = self.callers.jobs();
            if !has_cancelled && faults_ended_at.elapsed() > LASTING_WATCH_TIME {
                has_cancelled = true;
                for (id, _) in jobs.iter().filter(|(_, job)| job.is_lasting) {
                    tokio::spawn(self.callers.clone().cancel_job(*id));
                }
            }
            let open_jobs = jobs.iter().filter(|(_, job)| {
                let has_ended = matches!(job.state.as_deref(), Some("completed" | "cancelled"));
                job.outcomes.contains(&SubmitOutcome::Accepted) && !has_ended
            });
            let open_jobs: Vec<JobId> = open_jobs.map(|(id, _)| *id).collect();
            if open_jobs.is_empty() && faults_ended_at.elapsed() > settle_time {
                break;
            }
            for id in open_jobs {
                self.callers.query_job(id).await;
            }
            tokio::time::sleep(POLL_INTERVAL * 10).await;
        }
        Ok(())
    }

    /// Collects the records of workers and callers, and checks the history.
    fn into_report(mut self) -> SoakReport {
        for (worker, handle) in self.workers.iter().enumerate() {
            let starts = handle.worker.starts();
            let runs = starts.iter().filter_map(|start| {
                Some(RunRecord {
                    worker,
                    task: parse_task_name(&start.task)?,
                    began_at: start.began_at,
                    ended: start.ended,
                    kind: start.kind.clone(),
                    is_for_former_instance: start.is_for_former_instance,
                    renewed_at: start.renewed_at,
                })
            });
            self.history.runs.extend(runs);
        }
        self.history.team_cap = self.team_cap();
        self.history.jobs = self.callers.jobs();
        self.history.broken_requests = self.callers.broken_requests();
        self.history.manifest_reverts = self.callers.manifest_reverts();
        let outcomes = self.history.jobs.values().map(|job| &job.outcomes);
        let accepted = outcomes.filter(|rows| rows.contains(&SubmitOutcome::Accepted));
        let runs = self.history.runs.iter();
        let lasting_runs = runs.filter(|run| self.history.is_lasting(run));
        SoakReport {
            lasting_runs: lasting_runs.count(),
            accepted_jobs: accepted.count(),
            broken_promises: check_history(&self.history, WORKER_CPU),
            submitted_jobs: self.history.jobs.len(),
            task_runs: self.history.runs.len(),
        }
    }
}

/// Parses the name of a task, which has the form `job.occurrence.step.index`, with the job
/// in hexadecimal. Returns the job, the step and the index.
fn parse_task_name(name: &str) -> Option<(JobId, u32, u32)> {
    let mut parts = name.split('.');
    let id = JobId::from_str_radix(parts.next()?, 16).ok()?;
    let step = parts.nth(1)?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((id, step, index))
}
