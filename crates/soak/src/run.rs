//! One run: the cell, its load, its faults and the time after them.

use std::{
    fs,
    path::PathBuf,
    time::{Duration, Instant},
};

use auburnsaddle_platform_standin::{StoreStandin, WorkerStandin};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::{
    callers::{QUEUE_PREFIX, SoakCallers},
    checks::{BrokenPromise, check_history},
    error::SoakError,
    history::{JobId, RunRecord, SoakHistory, SubmitOutcome, TimeSpan},
    plan::{LinkState, PlannedFault, SoakFault, SoakSize, draw_plan},
    process::DaemonProcess,
    proxy::LinkProxy,
};

/// Run time of each task.
const TASK_TIME: Duration = Duration::from_millis(250);

/// Tasks of one core for which a worker has room.
const WORKER_TASKS: usize = 4;

/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(60);

/// Time between looks at what is due.
const LOOP_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the last fault by which cancelled work must have ended: a lease of a
/// worker, and the takeover by another daemon.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Time after the last fault by which all accepted work must be over. A successor
/// waits 19 s for a worker that it has not reached.
const FINISH_TIME: Duration = Duration::from_mins(1);

/// A run of the soak.
#[derive(Clone, Debug)]
pub struct SoakRun {
    /// The program of the daemon.
    pub daemon_path: PathBuf,
    /// Where settings and logs go.
    pub output_dir: PathBuf,
    /// The seed of the faults and the jobs.
    pub seed: u64,
    /// The sizes.
    pub size: SoakSize,
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Promises that were not kept.
    pub broken_promises: Vec<BrokenPromise>,
    /// Jobs that were handed in, whatever the answer.
    pub submitted_jobs: usize,
    /// Jobs that were accepted.
    pub accepted_jobs: usize,
    /// Runs of tasks.
    pub task_runs: usize,
}

struct DaemonSlot {
    name: String,
    store: LinkProxy,
    process: Option<DaemonProcess>,
    /// Since when the process is asked to stop.
    stopping: Option<Instant>,
}

struct WorkerSlot {
    worker: WorkerStandin,
    proxy: LinkProxy,
}

struct SoakCell {
    run: SoakRun,
    store: StoreStandin,
    workers: Vec<WorkerSlot>,
    daemons: Vec<DaemonSlot>,
    callers: SoakCallers,
    version: u64,
    history: SoakHistory,
    generator: ChaCha8Rng,
}

impl SoakRun {
    /// Plays the run and checks what was seen.
    ///
    /// # Errors
    ///
    /// Returns an error if the run could not be made.
    pub async fn execute(self) -> Result<SoakReport, SoakError> {
        fs::create_dir_all(&self.output_dir)?;
        let plan = draw_plan(self.seed, &self.size);
        let mut cell = SoakCell::start(self).await?;
        cell.load(&plan).await?;
        cell.settle().await?;
        Ok(cell.report())
    }
}

impl SoakCell {
    async fn start(run: SoakRun) -> Result<Self, SoakError> {
        let store = StoreStandin::start().await;
        let mut workers = Vec::new();
        for index in 0..run.size.workers {
            let worker = WorkerStandin::start(&format!("worker-{index}"), TASK_TIME).await;
            let proxy = LinkProxy::start(worker.address()).await?;
            let (key, value) = worker.registration_at("sales", proxy.address());
            store.write(&key, &value);
            workers.push(WorkerSlot { worker, proxy });
        }
        let mut cell = Self {
            callers: SoakCallers::new(run.size.daemons),
            generator: ChaCha8Rng::seed_from_u64(run.seed),
            store,
            workers,
            daemons: Vec::new(),
            version: 0,
            history: SoakHistory::default(),
            run,
        };
        cell.publish_manifest();
        let target = cell.store.socket();
        for index in 0..cell.run.size.daemons {
            cell.daemons.push(DaemonSlot {
                name: format!("daemon-{index}"),
                store: LinkProxy::start(target).await?,
                process: None,
                stopping: None,
            });
            cell.launch(index)?;
            tokio::spawn(cell.callers.clone().follow_manifest(index));
        }
        Ok(cell)
    }

    fn launch(&mut self, daemon: usize) -> Result<(), SoakError> {
        let slot = &mut self.daemons[daemon];
        let store = slot.store.address().to_string();
        let output_dir = &self.run.output_dir;
        let process = DaemonProcess::launch(&self.run.daemon_path, &slot.name, &store, output_dir)?;
        self.callers.set_daemon(daemon, Some(process.port));
        slot.process = Some(process);
        slot.stopping = None;
        Ok(())
    }

    /// Publishes the next version, which has a queue of its own.
    fn publish_manifest(&mut self) {
        self.version += 1;
        let prefixes = (1..=self.version).map(|version| format!("/v{version}/"));
        let prefixes = prefixes.chain([QUEUE_PREFIX.to_owned()]);
        let routes = prefixes.map(|prefix| {
            json!({
                "name": format!("queue{prefix}"), "host": "jobs.test", "prefix": prefix,
                "service": "sales", "priority": 1, "max-attempts": 3, "stretch": 3.0,
                "target-latency-ms": 1_000, "kind": "unsafe", "timeout-ms": 3_000,
            })
        });
        let routes: Vec<Value> = routes.collect();
        let manifest =
            json!({"version": self.version, "routes": routes, "services": [], "limits": {}});
        self.store.write("op/config", &manifest);
    }

    async fn load(&mut self, plan: &[PlannedFault]) -> Result<(), SoakError> {
        let started_at = Instant::now();
        let mut next = plan.iter().peekable();
        let mut open: Vec<(Duration, SoakFault)> = Vec::new();
        let mut next_job = Duration::ZERO;
        let mut id: JobId = 0;
        while started_at.elapsed() < self.run.size.load_duration {
            let now = started_at.elapsed();
            while let Some(row) = next.next_if(|row| row.at <= now) {
                self.begin(row)?;
                open.push((row.at + row.lasts, row.fault));
            }
            let (due, rest) = open.into_iter().partition(|(end, _)| *end <= now);
            open = rest;
            for (_, fault) in due {
                self.end(fault)?;
            }
            self.relaunch_stopped().await?;
            while next_job <= now {
                next_job += JOB_INTERVAL;
                id += 1;
                let count = self.generator.random_range(1..3);
                let steps = (0..count).map(|_| self.generator.random_range(1..5));
                let steps = steps.collect();
                tokio::spawn(self.callers.clone().run_job(id, steps));
            }
            tokio::time::sleep(LOOP_INTERVAL).await;
        }
        Ok(())
    }

    fn begin(&mut self, row: &PlannedFault) -> Result<(), SoakError> {
        let from = Instant::now();
        let span = |target: usize| TimeSpan {
            target,
            from,
            to: from + row.lasts + LOOP_INTERVAL * 2,
        };
        match row.fault {
            SoakFault::Kill(daemon) => self.kill(daemon, span(daemon)),
            SoakFault::KillAll => {
                for daemon in 0..self.daemons.len() {
                    self.kill(daemon, span(daemon));
                }
            }
            SoakFault::Stop(daemon) => {
                let slot = &mut self.daemons[daemon];
                if let (Some(process), None) = (&slot.process, slot.stopping) {
                    process.signal(Signal::SIGTERM)?;
                    slot.stopping = Some(from);
                }
            }
            SoakFault::Pause(daemon) => {
                self.history.daemon_faults.push(span(daemon));
                if let Some(process) = &self.daemons[daemon].process {
                    process.signal(Signal::SIGSTOP)?;
                }
            }
            SoakFault::StoreLink(daemon, state) => {
                self.history.daemon_faults.push(span(daemon));
                self.daemons[daemon].store.set(state);
            }
            SoakFault::WorkerLink(worker, state) => {
                self.history.worker_faults.push(span(worker));
                self.workers[worker].proxy.set(state);
            }
            SoakFault::LateStarts(worker, late_by) => {
                self.history.worker_faults.push(span(worker));
                self.workers[worker].worker.delay_starts(2, late_by);
            }
            SoakFault::StoreAway => self.store.set_away(true),
            SoakFault::LostAnswers(count) => self.store.lose_answers(count),
            SoakFault::RevokedLeases => self.store.revoke_leases(),
            SoakFault::Manifest => self.publish_manifest(),
            SoakFault::Hangup(daemon) => {
                let slot = &self.daemons[daemon];
                if let Some(process) = &slot.process {
                    let store = slot.store.address().to_string();
                    process.rewrite_settings(&slot.name, &store)?;
                    process.signal(Signal::SIGHUP)?;
                }
            }
            SoakFault::Cancellations(percent) => {
                for (id, job) in self.callers.jobs() {
                    let is_open = job.outcomes.contains(&SubmitOutcome::Accepted)
                        && !job.is_cancelled
                        && job.state.is_none();
                    if is_open && self.generator.random_range(0..100) < percent {
                        tokio::spawn(self.callers.clone().cancel(id));
                    }
                }
            }
        }
        Ok(())
    }

    fn kill(&mut self, daemon: usize, span: TimeSpan) {
        self.history.daemon_faults.push(span);
        self.callers.set_daemon(daemon, None);
        let slot = &mut self.daemons[daemon];
        slot.process = None;
        slot.stopping = None;
    }

    fn end(&mut self, fault: SoakFault) -> Result<(), SoakError> {
        match fault {
            SoakFault::Kill(daemon) => self.revive(daemon)?,
            SoakFault::KillAll => {
                for daemon in 0..self.daemons.len() {
                    self.revive(daemon)?;
                }
            }
            SoakFault::Pause(daemon) => {
                if let Some(process) = &self.daemons[daemon].process {
                    process.signal(Signal::SIGCONT)?;
                }
            }
            SoakFault::StoreLink(daemon, _) => self.daemons[daemon].store.set(LinkState::Open),
            SoakFault::WorkerLink(worker, _) => self.workers[worker].proxy.set(LinkState::Open),
            SoakFault::StoreAway => self.store.set_away(false),
            _ => {}
        }
        Ok(())
    }

    fn revive(&mut self, daemon: usize) -> Result<(), SoakError> {
        match self.daemons[daemon].process {
            Some(_) => Ok(()),
            None => self.launch(daemon),
        }
    }

    /// Starts daemons again that have ended after SIGTERM.
    async fn relaunch_stopped(&mut self) -> Result<(), SoakError> {
        for daemon in 0..self.daemons.len() {
            let slot = &mut self.daemons[daemon];
            let (Some(process), Some(from)) = (&mut slot.process, slot.stopping) else {
                continue;
            };
            let has_ended = tokio::time::timeout(Duration::ZERO, process.ended()).await;
            if has_ended.is_ok() {
                self.history.stops.push(TimeSpan {
                    target: daemon,
                    from,
                    to: Instant::now(),
                });
                self.launch(daemon)?;
            }
        }
        Ok(())
    }

    /// Ends all faults and waits until all accepted work is over.
    async fn settle(&mut self) -> Result<(), SoakError> {
        self.store.set_away(false);
        self.store.lose_answers(0);
        for slot in &self.workers {
            slot.proxy.set(LinkState::Open);
        }
        for daemon in 0..self.daemons.len() {
            self.daemons[daemon].store.set(LinkState::Open);
            if let Some(process) = &self.daemons[daemon].process {
                process.signal(Signal::SIGCONT)?;
            }
            self.revive(daemon)?;
        }
        let healed_at = Instant::now();
        self.history.settled_at = Some(healed_at + SETTLE_TIME);
        while healed_at.elapsed() < FINISH_TIME {
            self.relaunch_stopped().await?;
            let jobs = self.callers.jobs();
            let open = jobs.iter().filter(|(_, job)| {
                let is_over = matches!(job.state.as_deref(), Some("completed" | "cancelled"));
                job.outcomes.contains(&SubmitOutcome::Accepted) && !is_over
            });
            let open: Vec<JobId> = open.map(|(id, _)| *id).collect();
            if open.is_empty() && healed_at.elapsed() > SETTLE_TIME {
                break;
            }
            for id in open {
                self.callers.look(id).await;
            }
            tokio::time::sleep(LOOP_INTERVAL * 10).await;
        }
        Ok(())
    }

    fn report(mut self) -> SoakReport {
        for (worker, slot) in self.workers.iter().enumerate() {
            let starts = slot.worker.starts();
            let runs = starts.iter().filter_map(|start| {
                Some(RunRecord {
                    worker,
                    task: parse_task(&start.task)?,
                    began_at: start.began_at,
                    ended: start.ended,
                })
            });
            self.history.runs.extend(runs);
        }
        self.history.jobs = self.callers.jobs();
        self.history.broken = self.callers.broken();
        self.history.reverted = self.callers.reverted();
        let outcomes = self.history.jobs.values().map(|job| &job.outcomes);
        let accepted = outcomes.filter(|rows| rows.contains(&SubmitOutcome::Accepted));
        SoakReport {
            accepted_jobs: accepted.count(),
            broken_promises: check_history(&self.history, WORKER_TASKS),
            submitted_jobs: self.history.jobs.len(),
            task_runs: self.history.runs.len(),
        }
    }
}

/// Reads a task's name: job, occurrence, step and index.
fn parse_task(name: &str) -> Option<(JobId, u32, u32)> {
    let mut parts = name.split('.');
    let id = JobId::from_str_radix(parts.next()?, 16).ok()?;
    let step = parts.nth(1)?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((id, step, index))
}
