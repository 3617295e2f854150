//! Property test of the queue over random sequences of events, with simulated
//! workers.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;
use crate::tasks::{ReportedTask, TaskOutcome, TaskRecord, TaskState, WorkerReport};

const WORKER_COUNT: usize = 4;

/// One random event. Workers are given by number, and tasks and starts by an
/// index that is taken modulo their count.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Submits a job: tasks, cores, accelerators, policy, whether it is a gang.
    Submit(u128, u64, u64, RestartPolicy, bool),
    /// Makes the oldest records durable, up to a number.
    Commit(usize),
    /// Fails all records that are not durable.
    FailCommits,
    /// Delivers a start: index, whether the worker accepts it, whether the
    /// response arrives.
    Deliver(usize, bool, bool),
    /// Ends a running task: worker, index, whether it succeeds.
    Finish(usize, usize, bool),
    /// Sends the report of a worker.
    Report(usize),
    /// Disconnects a worker.
    Disconnect(usize),
    /// Reconnects and claims a worker.
    Claim(usize),
    /// Marks the host of a worker as leaving.
    Leaving(usize),
    /// Replaces the host of a worker by an empty one.
    Replace(usize),
    /// Cancels a task by index.
    Cancel(usize),
    /// Cancels all tasks by their label.
    CancelLabel,
    /// Advances the time by a number of seconds.
    Advance(u64),
    /// Replaces the owner, which restores the queue from the journal.
    TakeOver,
}

/// A simulated worker that runs tasks until they end or their lease expires.
#[derive(Clone, Debug, Default)]
struct FakeWorker {
    /// Running tasks with attempt, demand and time of the last renewal.
    running: BTreeMap<TaskId, (Attempt, ResourceVector, Duration)>,
    /// Attempts that ended; a repeated start of such an attempt is ignored.
    ended_attempts: BTreeSet<(TaskId, Attempt)>,
    is_reachable: bool,
}

/// The queue under test with its simulated workers and journal.
struct SimulatedPool {
    queue: TaskQueue<PackingFirst>,
    now: Duration,
    fake_workers: BTreeMap<WorkerId, FakeWorker>,
    /// Records that are not yet durable.
    uncommitted: Vec<(RecordId, TaskRecord)>,
    /// Durable records.
    journal: Vec<TaskRecord>,
    /// Starts that were sent and not yet delivered.
    in_flight: Vec<(TaskId, Attempt, WorkerId)>,
    /// All submitted jobs.
    jobs: BTreeMap<u64, JobSpec>,
    job_by_task: BTreeMap<TaskId, u64>,
    /// Jobs whose acceptance was reported to the caller.
    accepted: BTreeSet<u64>,
    sent_starts: BTreeSet<(TaskId, Attempt)>,
    /// Published outcomes, which must not change.
    outcomes: BTreeMap<TaskId, TaskOutcome>,
}

fn worker_entries() -> Vec<WorkerEntry> {
    (0..WORKER_COUNT)
        .map(|number| {
            worker(
                number,
                if number == 0 {
                    ACCELERATED_CAPACITY
                } else {
                    GENERAL_CAPACITY
                },
            )
        })
        .collect()
}

fn worker_id(number: usize) -> WorkerId {
    worker_entries()[number % WORKER_COUNT].worker.clone()
}

impl SimulatedPool {
    fn new() -> Self {
        let idle = FakeWorker {
            is_reachable: true,
            ..FakeWorker::default()
        };
        let fake_workers = (0..WORKER_COUNT).map(|number| (worker_id(number), idle.clone()));
        Self {
            queue: claimed_queue(&worker_entries()),
            now: Duration::ZERO,
            fake_workers: fake_workers.collect(),
            uncommitted: Vec::new(),
            journal: Vec::new(),
            in_flight: Vec::new(),
            jobs: BTreeMap::new(),
            job_by_task: BTreeMap::new(),
            accepted: BTreeSet::new(),
            sent_starts: BTreeSet::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Applies an event to the queue, carries out the actions and checks the
    /// invariants.
    fn handle(&mut self, event: TaskEvent) {
        let actions = self.queue.handle(event, self.now);
        let mut started_on = BTreeSet::new();
        let mut first_starts = BTreeMap::<u64, usize>::new();
        for action in actions {
            match action {
                TaskAction::Record(id, record) => self.uncommitted.push((id, record)),
                TaskAction::Accepted(job) => {
                    self.accepted.insert(job);
                }
                TaskAction::Start(task, attempt, worker) => {
                    if self.sent_starts.insert((task, attempt)) {
                        started_on.insert(worker.clone());
                        *first_starts.entry(self.job_by_task[&task]).or_default() += 1;
                    }
                    self.in_flight.push((task, attempt, worker));
                }
                TaskAction::Stop(task, attempt, worker) => self.stop(task, attempt, &worker),
                TaskAction::RenewLeases(worker) => self.renew(&worker),
                TaskAction::Changed(view) => {
                    if let TaskState::Ended(outcome) = view.state {
                        let earlier = self.outcomes.insert(view.task, outcome);
                        assert!(
                            earlier.is_none_or(|earlier| earlier == outcome),
                            "a task was published with two outcomes"
                        );
                    }
                }
                _ => {}
            }
        }
        self.check_gang_starts(&first_starts);
        self.check_capacity(&started_on);
        self.check_never_restarted();
        self.check_demand_sums();
    }

    /// Checks the running sums against sums over all jobs and workers. Wrong sums
    /// would place tasks on idle workers needlessly or too late.
    fn check_demand_sums(&self) {
        let waiting = self.queue.table.jobs.values();
        let pending_demand = waiting
            .filter(|job| job.wait_entry.is_some() && job.spec.demand.accelerators == 0)
            .fold(ResourceVector::default(), |sum, job| {
                sum.plus(&job.pending_demand())
            });
        let mut rebuilt = self.queue.workers.clone();
        rebuilt.rebuild();
        assert_eq!(
            *self.queue.wait_queues.cpu_only_demand(),
            pending_demand,
            "demand of the waiting jobs without accelerators"
        );
        let available = self.queue.workers.busy_cpu_only_available();
        assert_eq!(
            available,
            rebuilt.busy_cpu_only_available(),
            "available capacity of busy workers"
        );
    }

    /// Checks that all unfinished members of a gang start together.
    fn check_gang_starts(&self, started: &BTreeMap<u64, usize>) {
        for (job, count) in started {
            let spec = &self.jobs[job];
            let unfinished = |task: &&TaskId| {
                let state = self.queue.view(**task).map(|view| view.state);
                !matches!(state, Some(TaskState::Ended(_)) | None)
            };
            let unfinished = spec.tasks.iter().filter(unfinished).count();
            assert!(
                spec.gang == GangMode::Independent || *count == unfinished,
                "only a part of a gang was started"
            );
        }
    }

    /// Checks that allocations do not exceed the capacity of a worker.
    ///
    /// If the record of a task's end is lost in a takeover, the task is
    /// unresolved again next to the tasks that took its capacity. Only unresolved
    /// tasks may therefore exceed the capacity, and their worker gets no starts.
    fn check_capacity(&self, started_on: &BTreeSet<WorkerId>) {
        for entry in worker_entries() {
            let all = self.allocated(&entry.worker, |_| true);
            let placed = self.allocated(&entry.worker, |state| {
                !matches!(state, TaskState::Unresolved(_))
            });
            assert!(
                placed.fits_in(&entry.capacity),
                "{placed:?} allocated on {}",
                entry.worker
            );
            let is_started_on = started_on.contains(&entry.worker);
            assert!(
                !is_started_on || all.fits_in(&entry.capacity),
                "start on the overcommitted worker {}",
                entry.worker
            );
        }
    }

    fn allocated(&self, worker: &WorkerId, counts: impl Fn(&TaskState) -> bool) -> ResourceVector {
        let tasks = self.queue.tasks_on(worker).into_iter().flatten();
        tasks
            .filter(|task| {
                self.queue
                    .view(**task)
                    .is_some_and(|view| counts(&view.state))
            })
            .map(|task| self.jobs[&self.job_by_task[task]].demand)
            .fold(ResourceVector::default(), |sum, demand| sum.plus(&demand))
    }

    /// Checks that the tasks that a worker actually runs fit its capacity.
    fn check_load(&self, worker: &WorkerId) {
        let running = self.fake_workers[worker].running.values();
        let load = running.fold(ResourceVector::default(), |sum, task| sum.plus(&task.1));
        let entry = worker_entries()
            .into_iter()
            .find(|entry| entry.worker == *worker);
        assert!(
            entry.is_some_and(|entry| load.fits_in(&entry.capacity)),
            "{worker} runs {load:?}"
        );
    }

    /// Checks that no `never` task was started twice.
    fn check_never_restarted(&self) {
        for (task, job) in &self.job_by_task {
            let starts = self
                .sent_starts
                .iter()
                .filter(|(sent, _)| sent == task)
                .count();
            let is_never = self.jobs[job].restart == RestartPolicy::Never;
            assert!(!is_never || starts <= 1, "a never task was started twice");
        }
    }

    /// Checks that a task runs at most once at a time, unless it is `anytime`.
    fn check_single_run(&self, task: TaskId) {
        let copies = self
            .fake_workers
            .values()
            .filter(|fake| fake.running.contains_key(&task))
            .count();
        let is_anytime = self.jobs[&self.job_by_task[&task]].restart == RestartPolicy::Anytime;
        assert!(is_anytime || copies <= 1, "a task runs twice at once");
    }

    fn stop(&mut self, task: TaskId, attempt: Attempt, worker: &WorkerId) {
        let Some(fake) = self
            .fake_workers
            .get_mut(worker)
            .filter(|fake| fake.is_reachable)
        else {
            return;
        };
        if fake
            .running
            .get(&task)
            .is_some_and(|running| running.0 == attempt)
        {
            fake.running.remove(&task);
            fake.ended_attempts.insert((task, attempt));
            self.complete(task, attempt, worker.clone(), false);
        }
    }

    fn renew(&mut self, worker: &WorkerId) {
        if let Some(fake) = self
            .fake_workers
            .get_mut(worker)
            .filter(|fake| fake.is_reachable)
        {
            for running in fake.running.values_mut() {
                running.2 = self.now;
            }
        }
    }

    fn complete(&mut self, task: TaskId, attempt: Attempt, worker: WorkerId, success: bool) {
        let report = WorkerReport {
            running: self.running_tasks(&worker),
            completions: vec![(task, attempt, success)],
            usage: ResourceVector::default(),
        };
        self.handle(TaskEvent::WorkerReported(worker, report));
    }

    fn running_tasks(&self, worker: &WorkerId) -> Vec<ReportedTask> {
        let fake = self.fake_workers.get(worker);
        let running = fake.into_iter().flat_map(|fake| &fake.running);
        running
            .map(|(task, (attempt, demand, _))| ReportedTask {
                task: *task,
                attempt: *attempt,
                demand: *demand,
            })
            .collect()
    }

    /// Delivers a start to its worker and the result to the queue.
    fn deliver(&mut self, index: usize, accepted: bool, answered: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let (task, attempt, worker) = self.in_flight.remove(index % self.in_flight.len());
        let demand = self.jobs[&self.job_by_task[&task]].demand;
        let fake = self
            .fake_workers
            .get_mut(&worker)
            .expect("a worker of the pool");
        let is_started = accepted && fake.is_reachable;
        let is_repeated = fake.ended_attempts.contains(&(task, attempt));
        if is_started && !is_repeated {
            fake.running.insert(task, (attempt, demand, self.now));
            self.check_single_run(task);
            self.check_load(&worker);
        }
        let event = match (answered, is_started) {
            (false, _) => TaskEvent::StartUnknown(task, attempt),
            (true, true) => TaskEvent::StartAccepted(task, attempt),
            (true, false) => TaskEvent::StartRejected(task, attempt),
        };
        self.handle(event);
    }

    /// Drops the starts in flight to a worker, those of `never` tasks with an
    /// unknown result. The queue requires that no start is in flight when a claim
    /// is sent.
    fn drop_in_flight(&mut self, worker: &WorkerId) {
        while let Some(index) = self.in_flight.iter().position(|start| start.2 == *worker) {
            let (task, attempt, _) = self.in_flight.remove(index);
            let is_never = self.jobs[&self.job_by_task[&task]].restart == RestartPolicy::Never;
            if is_never {
                self.handle(TaskEvent::StartUnknown(task, attempt));
            }
        }
    }

    fn disconnect(&mut self, worker: WorkerId) {
        self.drop_in_flight(&worker);
        if let Some(fake) = self.fake_workers.get_mut(&worker) {
            fake.is_reachable = false;
        }
        self.handle(TaskEvent::WorkerUnresponsive(worker));
    }

    /// Reconnects a worker and delivers its response to a claim.
    fn claim(&mut self, worker: WorkerId) {
        self.disconnect(worker.clone());
        if let Some(fake) = self.fake_workers.get_mut(&worker) {
            fake.is_reachable = true;
        }
        let running = self.running_tasks(&worker);
        self.renew(&worker);
        self.handle(TaskEvent::WorkerClaimed(worker, running));
    }

    /// Advances the time. Tasks of unreachable workers stop when their lease
    /// expires.
    fn advance(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        let lease = TaskConfig::default().lease;
        for fake in self.fake_workers.values_mut() {
            let now = self.now;
            if !fake.is_reachable {
                fake.running.retain(|_, running| running.2 + lease >= now);
            }
        }
        self.handle(TaskEvent::TimerFired);
    }

    /// Makes the oldest records durable.
    fn commit(&mut self, count: usize) {
        let count = count.min(self.uncommitted.len());
        let records: Vec<_> = self.uncommitted.drain(..count).collect();
        let ids = records.iter().map(|(id, _)| *id).collect();
        self.journal
            .extend(records.into_iter().map(|(_, record)| record));
        self.handle(TaskEvent::Recorded(ids));
    }

    /// Replaces the owner by one that replays the journal. The new owner may use
    /// an attempt number again if the record of the start was lost, which can
    /// only happen for `anytime` tasks, as their starts are sent first.
    fn take_over(&mut self) {
        let (jobs, job_by_task) = (&self.jobs, &self.job_by_task);
        self.sent_starts
            .retain(|(task, _)| jobs[&job_by_task[task]].restart != RestartPolicy::Anytime);
        self.in_flight.clear();
        self.uncommitted.clear();
        self.queue = configured_queue(&[]);
        self.handle(TaskEvent::Replayed(self.journal.clone()));
        self.handle(TaskEvent::WorkersChanged(worker_entries()));
    }

    fn submit(
        &mut self,
        count: u128,
        cores: u64,
        accelerators: u64,
        restart: RestartPolicy,
        is_gang: bool,
    ) {
        let number = self.jobs.len() as u64 + 1;
        let mut spec = job(number, count, cores);
        spec.demand.accelerators = accelerators;
        spec.restart = restart;
        spec.gang = if is_gang {
            GangMode::AllOrNothing
        } else {
            GangMode::Independent
        };
        self.job_by_task
            .extend(spec.tasks.iter().map(|task| (*task, number)));
        self.jobs.insert(number, spec.clone());
        self.handle(TaskEvent::Submitted(spec));
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Submit(count, cores, accelerators, restart, is_gang) => {
                self.submit(count, cores, accelerators, restart, is_gang);
            }
            Step::Commit(count) => self.commit(count),
            Step::FailCommits => {
                let ids = self.uncommitted.drain(..).map(|(id, _)| id).collect();
                self.handle(TaskEvent::RecordsFailed(ids));
            }
            Step::Deliver(index, accepted, answered) => self.deliver(index, accepted, answered),
            Step::Finish(number, index, success) => self.finish(worker_id(number), index, success),
            Step::Report(number) => self.report(worker_id(number)),
            Step::Disconnect(number) => self.disconnect(worker_id(number)),
            Step::Claim(number) => self.claim(worker_id(number)),
            Step::Leaving(number) => self.handle(TaskEvent::WorkerLeaving(worker_id(number))),
            Step::Replace(number) => self.replace(&worker_id(number)),
            Step::Cancel(index) => {
                let task = self
                    .job_by_task
                    .keys()
                    .nth(index % self.job_by_task.len().max(1))
                    .copied();
                self.handle(TaskEvent::Cancel(task.unwrap_or_default()));
            }
            Step::CancelLabel => self.handle(TaskEvent::CancelLabel("run=night".into())),
            Step::Advance(seconds) => self.advance(seconds),
            Step::TakeOver => self.take_over(),
        }
    }

    /// Ends a running task of a reachable worker.
    fn finish(&mut self, worker: WorkerId, index: usize, success: bool) {
        let fake = self
            .fake_workers
            .get_mut(&worker)
            .filter(|fake| fake.is_reachable);
        let task = fake.as_ref().and_then(|fake| {
            fake.running
                .keys()
                .nth(index % fake.running.len().max(1))
                .copied()
        });
        if let (Some(fake), Some(task)) = (fake, task) {
            let (attempt, ..) = fake.running.remove(&task).expect("the task runs");
            fake.ended_attempts.insert((task, attempt));
            self.complete(task, attempt, worker, success);
        }
    }

    fn report(&mut self, worker: WorkerId) {
        if self
            .fake_workers
            .get(&worker)
            .is_some_and(|fake| fake.is_reachable)
        {
            let report = WorkerReport {
                running: self.running_tasks(&worker),
                ..WorkerReport::default()
            };
            self.handle(TaskEvent::WorkerReported(worker, report));
        }
    }

    /// Simulates a host that fails, leaves the list of hosts and returns empty.
    fn replace(&mut self, worker: &WorkerId) {
        self.drop_in_flight(worker);
        if let Some(fake) = self.fake_workers.get_mut(worker) {
            fake.running.clear();
            fake.ended_attempts.clear();
        }
        self.handle(TaskEvent::WorkerRemoved(worker.clone()));
        self.handle(TaskEvent::WorkersChanged(worker_entries()));
    }

    /// Removes all faults and runs all tasks to their end.
    fn run_until_settled(&mut self) {
        for number in 0..WORKER_COUNT {
            self.replace(&worker_id(number));
            self.claim(worker_id(number));
        }
        for _ in 0..200 {
            self.commit(usize::MAX);
            self.advance(15);
            self.commit(usize::MAX);
            while !self.in_flight.is_empty() {
                self.deliver(0, true, true);
            }
            for number in 0..WORKER_COUNT {
                self.report(worker_id(number));
                while !self.fake_workers[&worker_id(number)].running.is_empty() {
                    self.finish(worker_id(number), 0, true);
                }
            }
            if self.uncommitted.is_empty() && self.unfinished_tasks().is_empty() {
                break;
            }
        }
        self.commit(usize::MAX);
    }

    /// Returns the tasks of accepted jobs that have not ended, with their state.
    fn unfinished_tasks(&self) -> Vec<(TaskId, Option<TaskState>)> {
        let jobs = self.accepted.iter().map(|job| &self.jobs[job]);
        jobs.flat_map(|spec| &spec.tasks)
            .map(|task| (*task, self.queue.view(*task).map(|view| view.state)))
            .filter(|(_, state)| !matches!(state, Some(TaskState::Ended(_))))
            .collect()
    }
}

fn any_restart() -> impl Strategy<Value = RestartPolicy> {
    prop_oneof![
        Just(RestartPolicy::Never),
        Just(RestartPolicy::WhenStopped),
        Just(RestartPolicy::Anytime),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let worker = 0..WORKER_COUNT;
    prop_oneof![
        6 => (1..5_u128, 1..16_u64, 0..3_u64, any_restart(), any::<bool>())
            .prop_map(|(count, cores, accelerators, restart, is_gang)| {
                Step::Submit(count, cores, accelerators, restart, is_gang)
            }),
        8 => (1..8_usize).prop_map(Step::Commit),
        1 => Just(Step::FailCommits),
        8 => (0..8_usize, prop::bool::weighted(0.8), prop::bool::weighted(0.8))
            .prop_map(|(index, accepted, answered)| Step::Deliver(index, accepted, answered)),
        6 => (worker.clone(), 0..8_usize, prop::bool::weighted(0.7))
            .prop_map(|(number, index, success)| Step::Finish(number, index, success)),
        3 => worker.clone().prop_map(Step::Report),
        1 => worker.clone().prop_map(Step::Disconnect),
        3 => worker.clone().prop_map(Step::Claim),
        1 => worker.clone().prop_map(Step::Leaving),
        1 => worker.prop_map(Step::Replace),
        2 => (0..64_usize).prop_map(Step::Cancel),
        1 => Just(Step::CancelLabel),
        4 => (1..40_u64).prop_map(Step::Advance),
        1 => Just(Step::TakeOver),
    ]
}

proptest! {
    /// Guards against overcommitted workers, overlapping attempts, repeated
    /// starts of `never` tasks, partially started gangs, changed outcomes and
    /// accepted tasks that never end, after any sequence of events and faults.
    #[test]
    fn invariants_hold_over_any_sequence(steps in prop::collection::vec(any_step(), 1..120)) {
        let mut pool = SimulatedPool::new();

        for step in steps {
            pool.apply_step(step);
        }
        pool.run_until_settled();

        prop_assert_eq!(pool.unfinished_tasks(), vec![]);
    }
}
