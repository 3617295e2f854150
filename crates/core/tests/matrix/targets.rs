//! Workers and runners, which keep their own logs.

use std::mem;

use super::prelude::*;

/// How long a call runs.
pub(crate) const CALL_TIME: Duration = Duration::from_millis(300);

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

#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) dead: bool,
    pub(crate) fails_all: bool,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) log: Vec<StartEntry>,
    pub(crate) mutation: Option<Mutation>,
    epoch: Epoch,
    running: BTreeMap<(TaskId, Attempt), RunningTask>,
    /// Whether ended tasks succeeded; unknown for those of an ended process.
    ended: BTreeMap<(TaskId, Attempt), Option<bool>>,
}

impl Worker {
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
        let running = mem::take(&mut self.running);
        self.ended
            .extend(running.into_keys().map(|key| (key, None)));
    }

    /// Ends tasks that are done or whose lease has expired.
    pub(crate) fn tick(&mut self, now: Duration) {
        let is_over = |running: &RunningTask| running.ends_at.min(running.leased_until) <= now;
        let ended = self.running.extract_if(.., |_, running| is_over(running));
        for (key, running) in ended {
            let success = running.ends_at <= now && !self.fails_all;
            self.ended.insert(key, Some(success));
        }
    }

    /// Does what the owner of a pool asks, unless its epoch is fenced.
    pub(crate) fn answer(&mut self, request: &Request, now: Duration) -> Event {
        let Request::Worker(shard, epoch, action) = request else {
            return Event::Done;
        };
        self.tick(now);
        if *epoch < self.epoch && self.mutation != Some(Mutation::FenceOff) {
            return Event::Owner(OwnershipEvent::Fenced(shard.clone(), *epoch));
        }
        self.epoch = self.epoch.max(*epoch);
        let event = match action {
            TaskAction::Claim(worker) => TaskEvent::WorkerClaimed(worker.clone(), self.listed()),
            TaskAction::RenewLeases(worker) => {
                TaskEvent::WorkerReported(worker.clone(), self.sync(now))
            }
            TaskAction::Start(task, attempt, _) if self.start(*task, *attempt, now) => {
                TaskEvent::StartAccepted(*task, *attempt)
            }
            TaskAction::Start(task, attempt, _) => TaskEvent::StartRejected(*task, *attempt),
            TaskAction::Stop(task, attempt, _) => {
                let key = (*task, *attempt);
                if self.running.remove(&key).is_some() {
                    self.ended.insert(key, Some(false));
                }
                return Event::Done;
            }
            _ => return Event::Done,
        };
        Event::Task(shard.clone(), event)
    }

    fn listed(&self) -> Vec<ReportedTask> {
        if self.mutation == Some(Mutation::HideRunning) {
            return Vec::new();
        }
        let tasks = self.running.iter();
        tasks
            .map(|(&(task, attempt), running)| ReportedTask {
                task,
                attempt,
                demand: running.demand,
            })
            .collect()
    }

    /// Tells whether the task runs or ran here.
    fn start(&mut self, task: TaskId, attempt: Attempt, now: Duration) -> bool {
        let key = (task, attempt);
        let known = self.running.contains_key(&key) || self.ended.contains_key(&key);
        if known && self.mutation != Some(Mutation::RepeatStart) {
            return true;
        }
        let spec = job(job_of(task));
        let admits = known || self.mutation == Some(Mutation::HideRunning);
        if !admits && !self.used().plus(&spec.demand).fits_in(&CAPACITY) {
            return false;
        }
        self.log.push(StartEntry { at: now, task });
        let run_time = spec.run_time.filter(|_| !self.fails_all);
        let running = RunningTask {
            demand: spec.demand,
            ends_at: now + run_time.unwrap_or_default(),
            leased_until: now + TASK_LEASE,
        };
        self.running.insert(key, running);
        true
    }

    /// Renews all leases. Completions are repeated in every report; the owner
    /// knows which ones are news.
    fn sync(&mut self, now: Duration) -> WorkerReport {
        for running in self.running.values_mut() {
            running.leased_until = now + TASK_LEASE;
        }
        let ended = self.ended.iter();
        let completions =
            ended.filter_map(|(&(task, attempt), ended)| Some((task, attempt, (*ended)?)));
        WorkerReport {
            running: self.listed(),
            usage: self.used(),
            completions: completions.collect(),
        }
    }
}

/// A call for a runner, with the slot that was granted for it.
#[derive(Clone, Debug)]
pub(crate) struct RunnerCall {
    pub(crate) key: KeyDigest,
    pub(crate) epoch: Epoch,
    pub(crate) grant: SlotGrant,
    pub(crate) granted_by: Node,
}

struct RunningCall {
    ends_at: Duration,
    from: (Node, CallId),
    call: RunnerCall,
}

#[derive(Default)]
pub(crate) struct Runner {
    pub(crate) log: Vec<(RequestId, KeyDigest)>,
    epoch: Epoch,
    running: Vec<RunningCall>,
    done: BTreeMap<KeyDigest, KeyResponse>,
}

impl Runner {
    pub(crate) const fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Returns the responses of calls that have ended; a response repeats the
    /// body of its request.
    pub(crate) fn finish(&mut self, now: Duration) -> Vec<((Node, CallId), Event)> {
        let ended = self.running.extract_if(.., |call| call.ends_at <= now);
        let mut replies = Vec::new();
        for RunningCall { from, call, .. } in ended {
            let body = Some(body_of(call.grant.request));
            let response = KeyResponse {
                status: 200,
                content_type: None,
                body,
            };
            self.done.insert(call.key, response.clone());
            let outcome = CallOutcome::Completed(response);
            replies.push((from, call_ended(call.key, outcome)));
        }
        replies
    }

    /// Answers at once, or returns `None` for a call that now runs.
    pub(crate) fn answer(
        &mut self,
        from: (Node, CallId),
        request: Request,
        now: Duration,
    ) -> Option<Event> {
        let full = self.running.len() >= SLOTS as usize;
        match request {
            Request::Call(call) if call.epoch < self.epoch || full => {
                let reason = NotRunReason::RejectedByTarget;
                Some(call_ended(call.key, CallOutcome::NotRun(reason)))
            }
            Request::Call(call) => {
                self.epoch = call.epoch;
                self.log.push((call.grant.request, call.key));
                let ends_at = now + CALL_TIME;
                self.running.push(RunningCall {
                    ends_at,
                    from,
                    call,
                });
                None
            }
            Request::Query(key) => Some(Event::Key(KeyEvent::RunnerAnswered(key, self.query(key)))),
            _ => Some(Event::Done),
        }
    }

    fn query(&self, key: KeyDigest) -> RunnerAnswer {
        let mut running = self.running.iter();
        match self.done.get(&key) {
            Some(response) => RunnerAnswer::Completed(response.clone()),
            None if running.any(|running| running.call.key == key) => RunnerAnswer::Running,
            None => RunnerAnswer::NotKnown,
        }
    }
}
