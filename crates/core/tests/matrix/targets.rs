//! Workers, which keep their own log of starts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{Attempt, Epoch, ReportedTask, ResourceVector, TaskId, WorkerReport};

use super::faults::Mutation;

/// A request of the owner of a pool, with its fencing token.
#[derive(Clone, Debug)]
pub(crate) enum WorkerRequest {
    Claim(Epoch),
    Start(Epoch, ReportedTask, Duration),
    Stop(Epoch, TaskId, Attempt),
    /// Renews leases and asks for completions.
    Sync(Epoch, Duration),
}

/// What a worker answers.
#[derive(Clone, Debug)]
pub(crate) enum WorkerReply {
    Claimed(Vec<ReportedTask>),
    Started,
    Rejected,
    Stopped,
    Report(WorkerReport),
    Fenced,
}

/// A start as the worker saw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartEntry {
    pub(crate) at: Duration,
    pub(crate) task: TaskId,
}

#[derive(Clone, Debug)]
struct RunningTask {
    demand: ResourceVector,
    ends_at: Duration,
    leased_until: Duration,
}

pub(crate) struct Worker {
    pub(crate) capacity: ResourceVector,
    pub(crate) dead: bool,
    pub(crate) fails_all: bool,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) log: Vec<StartEntry>,
    pub(crate) mutation: Option<Mutation>,
    epoch: Epoch,
    lease: Duration,
    running: BTreeMap<(TaskId, Attempt), RunningTask>,
    finished: BTreeSet<(TaskId, Attempt)>,
    completions: BTreeMap<(TaskId, Attempt), bool>,
}

impl Worker {
    pub(crate) fn new(capacity: ResourceVector, lease: Duration) -> Self {
        Self {
            capacity,
            dead: false,
            fails_all: false,
            leaving_since: None,
            log: Vec::new(),
            mutation: None,
            epoch: 0,
            lease,
            running: BTreeMap::new(),
            finished: BTreeSet::new(),
            completions: BTreeMap::new(),
        }
    }

    pub(crate) fn used(&self) -> ResourceVector {
        let demands = self.running.values().map(|running| running.demand);
        demands.fold(ResourceVector::default(), |sum, demand| sum.plus(&demand))
    }

    pub(crate) fn tasks(&self) -> impl Iterator<Item = (TaskId, Attempt)> {
        self.running.keys().copied()
    }

    /// The process of the worker ends, and everything on it.
    pub(crate) fn kill(&mut self) {
        self.dead = true;
        self.finished.extend(self.running.keys());
        self.running.clear();
    }

    /// Ends tasks that are done or whose lease has expired.
    pub(crate) fn tick(&mut self, now: Duration) {
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| running.ends_at <= now || running.leased_until <= now)
            .map(|(key, running)| (*key, running.ends_at <= now && !self.fails_all))
            .collect();
        for (key, success) in ended {
            self.finish(key, success);
        }
    }

    pub(crate) fn answer(&mut self, request: WorkerRequest, now: Duration) -> WorkerReply {
        self.tick(now);
        let epoch = match request {
            WorkerRequest::Claim(epoch)
            | WorkerRequest::Start(epoch, ..)
            | WorkerRequest::Stop(epoch, ..)
            | WorkerRequest::Sync(epoch, _) => epoch,
        };
        if epoch < self.epoch && self.mutation != Some(Mutation::FenceOff) {
            return WorkerReply::Fenced;
        }
        self.epoch = self.epoch.max(epoch);
        match request {
            WorkerRequest::Claim(_) => WorkerReply::Claimed(self.listed()),
            WorkerRequest::Start(_, task, run_time) => self.start(&task, run_time, now),
            WorkerRequest::Stop(_, task, attempt) => {
                if self.running.contains_key(&(task, attempt)) {
                    self.finish((task, attempt), false);
                }
                WorkerReply::Stopped
            }
            WorkerRequest::Sync(_, lease) => self.sync(lease, now),
        }
    }

    fn listed(&self) -> Vec<ReportedTask> {
        if self.mutation == Some(Mutation::HideRunning) {
            return Vec::new();
        }
        let tasks = self.running.iter();
        tasks
            .map(|((task, attempt), running)| ReportedTask {
                task: *task,
                attempt: *attempt,
                demand: running.demand,
            })
            .collect()
    }

    fn start(&mut self, start: &ReportedTask, run_time: Duration, now: Duration) -> WorkerReply {
        let key = (start.task, start.attempt);
        if self.running.contains_key(&key) || self.finished.contains(&key) {
            return WorkerReply::Started;
        }
        let admits = self.mutation == Some(Mutation::HideRunning);
        let fits = self.used().plus(&start.demand).fits_in(&self.capacity);
        if !fits && !admits {
            return WorkerReply::Rejected;
        }
        self.log.push(StartEntry {
            at: now,
            task: start.task,
        });
        let ends_at = if self.fails_all { now } else { now + run_time };
        let running = RunningTask {
            demand: start.demand,
            ends_at,
            leased_until: now + self.lease,
        };
        self.running.insert(key, running);
        WorkerReply::Started
    }

    fn finish(&mut self, key: (TaskId, Attempt), success: bool) {
        self.running.remove(&key);
        self.finished.insert(key);
        self.completions.insert(key, success);
    }

    /// Completions are repeated in every report; the owner knows which ones
    /// are news.
    fn sync(&mut self, lease: Duration, now: Duration) -> WorkerReply {
        for running in self.running.values_mut() {
            running.leased_until = now + lease;
        }
        let completions = self.completions.iter();
        WorkerReply::Report(WorkerReport {
            running: self.listed(),
            usage: self.used(),
            completions: completions
                .map(|((task, attempt), success)| (*task, *attempt, *success))
                .collect(),
        })
    }
}
