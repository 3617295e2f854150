//! Properties over any sequence of events, against simple workers.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;
use crate::tasks::{ReportedTask, TaskOutcome, TaskRecord, TaskState, WorkerReport};

const WORKERS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit(u128, u64, u64, RestartPolicy, bool),
    Commit(usize),
    FailCommits,
    Deliver(usize, bool, bool),
    Finish(usize, usize, bool),
    Report(usize),
    Silent(usize),
    Claim(usize),
    Leaving(usize),
    Replace(usize),
    Cancel(usize),
    CancelLabel,
    Advance(u64),
    TakeOver,
}

/// A worker that runs what it is told to, until a lease ends.
#[derive(Clone, Debug, Default)]
struct FakeWorker {
    running: BTreeMap<TaskId, (Attempt, ResourceVector, Duration)>,
    /// Attempts that ended; a repeated start of one runs nothing.
    ended: BTreeSet<(TaskId, Attempt)>,
    reachable: bool,
}

/// The queue, its workers and its journal.
struct World {
    queue: TaskQueue<PackingFirst>,
    now: Duration,
    fakes: BTreeMap<WorkerId, FakeWorker>,
    uncommitted: Vec<(RecordId, TaskRecord)>,
    journal: Vec<TaskRecord>,
    in_flight: Vec<(TaskId, Attempt, WorkerId)>,
    jobs: BTreeMap<u64, JobSpec>,
    owners: BTreeMap<TaskId, u64>,
    accepted: BTreeSet<u64>,
    sent: BTreeSet<(TaskId, Attempt)>,
    ends: BTreeMap<TaskId, TaskOutcome>,
}

fn entries() -> Vec<WorkerEntry> {
    (0..WORKERS)
        .map(|number| worker(number, if number == 0 { ACCELERATED } else { GENERAL }))
        .collect()
}

fn name(number: usize) -> WorkerId {
    entries()[number % WORKERS].worker.clone()
}

impl World {
    fn new() -> Self {
        let reachable = FakeWorker {
            reachable: true,
            ..FakeWorker::default()
        };
        let fakes = (0..WORKERS).map(|number| (name(number), reachable.clone()));
        Self {
            queue: claimed(&entries()),
            now: Duration::ZERO,
            fakes: fakes.collect(),
            uncommitted: Vec::new(),
            journal: Vec::new(),
            in_flight: Vec::new(),
            jobs: BTreeMap::new(),
            owners: BTreeMap::new(),
            accepted: BTreeSet::new(),
            sent: BTreeSet::new(),
            ends: BTreeMap::new(),
        }
    }

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
                    if self.sent.insert((task, attempt)) {
                        started_on.insert(worker.clone());
                        *first_starts.entry(self.owners[&task]).or_default() += 1;
                    }
                    self.in_flight.push((task, attempt, worker));
                }
                TaskAction::Stop(task, attempt, worker) => self.stop(task, attempt, &worker),
                TaskAction::RenewLeases(worker) => self.renew(&worker),
                TaskAction::Changed(view) => {
                    if let TaskState::Ended(outcome) = view.state {
                        let earlier = self.ends.insert(view.task, outcome);
                        assert!(
                            earlier.is_none_or(|earlier| earlier == outcome),
                            "two outcomes"
                        );
                    }
                }
                _ => {}
            }
        }
        self.check_gangs(&first_starts);
        self.check_capacity(&started_on);
        self.check_never();
        self.check_volumes();
    }

    /// Wrong sums would open hosts in vain, or too late.
    fn check_volumes(&self) {
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
            "waiting volume"
        );
        let room = self.queue.workers.busy_available();
        assert_eq!(room, rebuilt.busy_available(), "room in use");
    }

    fn check_gangs(&self, started: &BTreeMap<u64, usize>) {
        for (job, count) in started {
            let spec = &self.jobs[job];
            let open = |task: &&TaskId| {
                let state = self.queue.view(**task).map(|view| view.state);
                !matches!(state, Some(TaskState::Ended(_)) | None)
            };
            let open = spec.tasks.iter().filter(open).count();
            assert!(
                spec.gang == GangMode::Independent || *count == open,
                "half a gang started"
            );
        }
    }

    /// A replayed end that was not yet durable leaves its task unresolved next
    /// to the work that took its room, so only unresolved tasks may exceed a
    /// capacity, and a worker with such tasks gets no start.
    fn check_capacity(&self, started_on: &BTreeSet<WorkerId>) {
        for entry in entries() {
            let all = self.allocated(&entry.worker, |_| true);
            let placed = self.allocated(&entry.worker, |state| {
                !matches!(state, TaskState::Unresolved(_))
            });
            assert!(
                placed.fits_in(&entry.capacity),
                "{placed:?} on {}",
                entry.worker
            );
            let open = started_on.contains(&entry.worker);
            assert!(
                !open || all.fits_in(&entry.capacity),
                "start on full {}",
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
            .map(|task| self.jobs[&self.owners[task]].demand)
            .fold(ResourceVector::default(), |sum, demand| sum.plus(&demand))
    }

    /// Sums what a worker really runs.
    fn check_load(&self, worker: &WorkerId) {
        let running = self.fakes[worker].running.values();
        let load = running.fold(ResourceVector::default(), |sum, task| sum.plus(&task.1));
        let entry = entries().into_iter().find(|entry| entry.worker == *worker);
        assert!(
            entry.is_some_and(|entry| load.fits_in(&entry.capacity)),
            "{worker} runs {load:?}"
        );
    }

    fn check_never(&self) {
        for (task, job) in &self.owners {
            let starts = self.sent.iter().filter(|(sent, _)| sent == task).count();
            let never = self.jobs[job].restart == RestartPolicy::Never;
            assert!(!never || starts <= 1, "a never task was started twice");
        }
    }

    fn check_single(&self, task: TaskId) {
        let copies = self
            .fakes
            .values()
            .filter(|fake| fake.running.contains_key(&task))
            .count();
        let anytime = self.jobs[&self.owners[&task]].restart == RestartPolicy::Anytime;
        assert!(anytime || copies <= 1, "a task runs twice at once");
    }

    fn stop(&mut self, task: TaskId, attempt: Attempt, worker: &WorkerId) {
        let Some(fake) = self.fakes.get_mut(worker).filter(|fake| fake.reachable) else {
            return;
        };
        if fake
            .running
            .get(&task)
            .is_some_and(|running| running.0 == attempt)
        {
            fake.running.remove(&task);
            fake.ended.insert((task, attempt));
            self.complete(task, attempt, worker.clone(), false);
        }
    }

    fn renew(&mut self, worker: &WorkerId) {
        if let Some(fake) = self.fakes.get_mut(worker).filter(|fake| fake.reachable) {
            for running in fake.running.values_mut() {
                running.2 = self.now;
            }
        }
    }

    fn complete(&mut self, task: TaskId, attempt: Attempt, worker: WorkerId, success: bool) {
        let report = WorkerReport {
            running: self.listed(&worker),
            completions: vec![(task, attempt, success)],
            usage: ResourceVector::default(),
        };
        self.handle(TaskEvent::WorkerReported(worker, report));
    }

    fn listed(&self, worker: &WorkerId) -> Vec<ReportedTask> {
        let fake = self.fakes.get(worker);
        let running = fake.into_iter().flat_map(|fake| &fake.running);
        running
            .map(|(task, (attempt, demand, _))| ReportedTask {
                task: *task,
                attempt: *attempt,
                demand: *demand,
            })
            .collect()
    }

    fn deliver(&mut self, index: usize, accepted: bool, answered: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let (task, attempt, worker) = self.in_flight.remove(index % self.in_flight.len());
        let demand = self.jobs[&self.owners[&task]].demand;
        let fake = self.fakes.get_mut(&worker).expect("a worker of the pool");
        let begun = accepted && fake.reachable;
        let repeated = fake.ended.contains(&(task, attempt));
        if begun && !repeated {
            fake.running.insert(task, (attempt, demand, self.now));
            self.check_single(task);
            self.check_load(&worker);
        }
        let event = match (answered, begun) {
            (false, _) => TaskEvent::StartUnknown(task, attempt),
            (true, true) => TaskEvent::StartAccepted(task, attempt),
            (true, false) => TaskEvent::StartRejected(task, attempt),
        };
        self.handle(event);
    }

    /// Ends what is on its way to a worker, as before each claim.
    fn drain(&mut self, worker: &WorkerId) {
        while let Some(index) = self.in_flight.iter().position(|start| start.2 == *worker) {
            let (task, attempt, _) = self.in_flight.remove(index);
            let never = self.jobs[&self.owners[&task]].restart == RestartPolicy::Never;
            if never {
                self.handle(TaskEvent::StartUnknown(task, attempt));
            }
        }
    }

    fn silent(&mut self, worker: WorkerId) {
        self.drain(&worker);
        if let Some(fake) = self.fakes.get_mut(&worker) {
            fake.reachable = false;
        }
        self.handle(TaskEvent::WorkerUnresponsive(worker));
    }

    fn claim(&mut self, worker: WorkerId) {
        self.silent(worker.clone());
        if let Some(fake) = self.fakes.get_mut(&worker) {
            fake.reachable = true;
        }
        let running = self.listed(&worker);
        self.renew(&worker);
        self.handle(TaskEvent::WorkerClaimed(worker, running));
    }

    fn advance(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        let lease = TaskConfig::default().lease;
        for fake in self.fakes.values_mut() {
            let now = self.now;
            if !fake.reachable {
                fake.running.retain(|_, running| running.2 + lease >= now);
            }
        }
        self.handle(TaskEvent::TimerFired);
    }

    fn commit(&mut self, count: usize) {
        let count = count.min(self.uncommitted.len());
        let records: Vec<_> = self.uncommitted.drain(..count).collect();
        let ids = records.iter().map(|(id, _)| *id).collect();
        self.journal
            .extend(records.into_iter().map(|(_, record)| record));
        self.handle(TaskEvent::Recorded(ids));
    }

    /// The successor may repeat the attempt number of a start whose record was
    /// lost; only an `anytime` start is sent before its record.
    fn take_over(&mut self) {
        let (jobs, owners) = (&self.jobs, &self.owners);
        self.sent
            .retain(|(task, _)| jobs[&owners[task]].restart != RestartPolicy::Anytime);
        self.in_flight.clear();
        self.uncommitted.clear();
        self.queue = configured(&[]);
        self.handle(TaskEvent::Replayed(self.journal.clone()));
        self.handle(TaskEvent::WorkersChanged(entries()));
    }

    fn submit(
        &mut self,
        count: u128,
        cores: u64,
        accelerators: u64,
        restart: RestartPolicy,
        whole: bool,
    ) {
        let number = self.jobs.len() as u64 + 1;
        let mut spec = job(number, count, cores);
        spec.demand.accelerators = accelerators;
        spec.restart = restart;
        spec.gang = if whole {
            GangMode::AllOrNothing
        } else {
            GangMode::Independent
        };
        self.owners
            .extend(spec.tasks.iter().map(|task| (*task, number)));
        self.jobs.insert(number, spec.clone());
        self.handle(TaskEvent::Submitted(spec));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Submit(count, cores, accelerators, restart, whole) => {
                self.submit(count, cores, accelerators, restart, whole);
            }
            Step::Commit(count) => self.commit(count),
            Step::FailCommits => {
                let ids = self.uncommitted.drain(..).map(|(id, _)| id).collect();
                self.handle(TaskEvent::RecordsFailed(ids));
            }
            Step::Deliver(index, accepted, answered) => self.deliver(index, accepted, answered),
            Step::Finish(number, index, success) => self.finish(name(number), index, success),
            Step::Report(number) => self.report(name(number)),
            Step::Silent(number) => self.silent(name(number)),
            Step::Claim(number) => self.claim(name(number)),
            Step::Leaving(number) => self.handle(TaskEvent::WorkerLeaving(name(number))),
            Step::Replace(number) => self.replace(&name(number)),
            Step::Cancel(index) => {
                let task = self
                    .owners
                    .keys()
                    .nth(index % self.owners.len().max(1))
                    .copied();
                self.handle(TaskEvent::Cancel(task.unwrap_or_default()));
            }
            Step::CancelLabel => self.handle(TaskEvent::CancelLabel("run=night".into())),
            Step::Advance(seconds) => self.advance(seconds),
            Step::TakeOver => self.take_over(),
        }
    }

    fn finish(&mut self, worker: WorkerId, index: usize, success: bool) {
        let fake = self.fakes.get_mut(&worker).filter(|fake| fake.reachable);
        let task = fake.as_ref().and_then(|fake| {
            fake.running
                .keys()
                .nth(index % fake.running.len().max(1))
                .copied()
        });
        if let (Some(fake), Some(task)) = (fake, task) {
            let (attempt, ..) = fake.running.remove(&task).expect("it runs");
            fake.ended.insert((task, attempt));
            self.complete(task, attempt, worker, success);
        }
    }

    fn report(&mut self, worker: WorkerId) {
        if self.fakes.get(&worker).is_some_and(|fake| fake.reachable) {
            let report = WorkerReport {
                running: self.listed(&worker),
                ..WorkerReport::default()
            };
            self.handle(TaskEvent::WorkerReported(worker, report));
        }
    }

    /// A host fails, leaves the list and comes back empty.
    fn replace(&mut self, worker: &WorkerId) {
        self.drain(worker);
        if let Some(fake) = self.fakes.get_mut(worker) {
            fake.running.clear();
            fake.ended.clear();
        }
        self.handle(TaskEvent::WorkerRemoved(worker.clone()));
        self.handle(TaskEvent::WorkersChanged(entries()));
    }

    /// Lets all faults end and all work run.
    fn settle(&mut self) {
        for number in 0..WORKERS {
            self.replace(&name(number));
            self.claim(name(number));
        }
        for _ in 0..200 {
            self.commit(usize::MAX);
            self.advance(15);
            self.commit(usize::MAX);
            while !self.in_flight.is_empty() {
                self.deliver(0, true, true);
            }
            for number in 0..WORKERS {
                self.report(name(number));
                while !self.fakes[&name(number)].running.is_empty() {
                    self.finish(name(number), 0, true);
                }
            }
            if self.uncommitted.is_empty() && self.open_tasks().is_empty() {
                break;
            }
        }
        self.commit(usize::MAX);
    }

    fn open_tasks(&self) -> Vec<(TaskId, Option<TaskState>)> {
        let jobs = self.accepted.iter().map(|job| &self.jobs[job]);
        jobs.flat_map(|spec| &spec.tasks)
            .map(|task| (*task, self.queue.view(*task).map(|view| view.state)))
            .filter(|(_, state)| !matches!(state, Some(TaskState::Ended(_))))
            .collect()
    }
}

fn restart() -> impl Strategy<Value = RestartPolicy> {
    prop_oneof![
        Just(RestartPolicy::Never),
        Just(RestartPolicy::WhenStopped),
        Just(RestartPolicy::Anytime),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let worker = 0..WORKERS;
    prop_oneof![
        6 => (1..5_u128, 1..16_u64, 0..3_u64, restart(), any::<bool>())
            .prop_map(|(count, cores, accelerators, restart, whole)| {
                Step::Submit(count, cores, accelerators, restart, whole)
            }),
        8 => (1..8_usize).prop_map(Step::Commit),
        1 => Just(Step::FailCommits),
        8 => (0..8_usize, prop::bool::weighted(0.8), prop::bool::weighted(0.8))
            .prop_map(|(index, accepted, answered)| Step::Deliver(index, accepted, answered)),
        6 => (worker.clone(), 0..8_usize, prop::bool::weighted(0.7))
            .prop_map(|(number, index, success)| Step::Finish(number, index, success)),
        3 => worker.clone().prop_map(Step::Report),
        1 => worker.clone().prop_map(Step::Silent),
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
    /// `never` starts, half-started gangs and forgotten tasks, whatever happens.
    #[test]
    fn invariants_hold_over_any_sequence(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();

        for step in steps {
            world.step(step);
        }
        world.settle();

        prop_assert_eq!(world.open_tasks(), vec![]);
    }
}
