//! Simulated workers and runners, which log what they execute.

use std::mem;

use super::prelude::*;

/// Run time of every call.
pub(crate) const CALL_TIME: Duration = Duration::from_millis(300);

/// A task start in the log of a worker.
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
    pub(crate) is_dead: bool,
    pub(crate) fails_all: bool,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) start_log: Vec<StartEntry>,
    pub(crate) mutation: Option<Mutation>,
    epoch: Epoch,
    running: BTreeMap<(TaskId, Attempt), RunningTask>,
    /// Whether each ended task succeeded, or `None` if it ended with the process
    /// of the worker.
    ended: BTreeMap<(TaskId, Attempt), Option<bool>>,
}

impl Worker {
    pub(crate) fn used_resources(&self) -> ResourceVector {
        let demands = self.running.values().map(|running| running.demand);
        demands.fold(ResourceVector::default(), |sum, demand| sum.plus(&demand))
    }

    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = (TaskId, Attempt)> {
        self.running.keys().copied()
    }

    /// Ends the process of the worker and all tasks on it.
    pub(crate) fn kill(&mut self) {
        self.is_dead = true;
        let running = mem::take(&mut self.running);
        self.ended
            .extend(running.into_keys().map(|key| (key, None)));
    }

    /// Ends tasks whose run time is over or whose lease has expired.
    pub(crate) fn end_finished_tasks(&mut self, now: Duration) {
        let is_over = |running: &RunningTask| running.ends_at.min(running.leased_until) <= now;
        let ended = self.running.extract_if(.., |_, running| is_over(running));
        for (key, running) in ended {
            let has_succeeded = running.ends_at <= now && !self.fails_all;
            self.ended.insert(key, Some(has_succeeded));
        }
    }

    /// Executes a request of the owner of a pool, or rejects it as fenced if its
    /// epoch is older than the highest one seen.
    pub(crate) fn handle_request(&mut self, request: &Request, now: Duration) -> Event {
        let Request::Worker(shard, epoch, action) = request else {
            return Event::Done;
        };
        self.end_finished_tasks(now);
        if *epoch < self.epoch && self.mutation != Some(Mutation::DisableFencing) {
            return Event::Owner(OwnershipEvent::Fenced(shard.clone(), *epoch));
        }
        self.epoch = self.epoch.max(*epoch);
        let event = match action {
            TaskAction::Claim(worker) => {
                TaskEvent::WorkerClaimed(worker.clone(), self.reported_tasks())
            }
            TaskAction::RenewLeases(worker) => {
                TaskEvent::WorkerReported(worker.clone(), self.renew_leases(now))
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

    fn reported_tasks(&self) -> Vec<ReportedTask> {
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

    /// Starts a task if it fits, and returns whether it runs or has run here.
    fn start(&mut self, task: TaskId, attempt: Attempt, now: Duration) -> bool {
        let key = (task, attempt);
        let is_known = self.running.contains_key(&key) || self.ended.contains_key(&key);
        if is_known && self.mutation != Some(Mutation::RepeatStart) {
            return true;
        }
        let spec = job_spec(task_job(task));
        let is_admitted = is_known || self.mutation == Some(Mutation::HideRunning);
        if !is_admitted
            && !self
                .used_resources()
                .plus(&spec.demand)
                .fits_in(&WORKER_CAPACITY)
        {
            return false;
        }
        self.start_log.push(StartEntry { at: now, task });
        let run_time = spec.run_time.filter(|_| !self.fails_all);
        let running = RunningTask {
            demand: spec.demand,
            ends_at: now + run_time.unwrap_or_default(),
            leased_until: now + TASK_LEASE,
        };
        self.running.insert(key, running);
        true
    }

    /// Renews the leases of all running tasks and reports the state of the
    /// worker. Every report repeats all completions; the owner ignores those that
    /// it has already processed.
    fn renew_leases(&mut self, now: Duration) -> WorkerReport {
        for running in self.running.values_mut() {
            running.leased_until = now + TASK_LEASE;
        }
        let ended = self.ended.iter();
        let completions =
            ended.filter_map(|(&(task, attempt), ended)| Some((task, attempt, (*ended)?)));
        WorkerReport {
            running: self.reported_tasks(),
            usage: self.used_resources(),
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
    from: (Node, RpcId),
    call: RunnerCall,
}

#[derive(Default)]
pub(crate) struct Runner {
    pub(crate) call_log: Vec<(RequestId, KeyDigest)>,
    epoch: Epoch,
    running: Vec<RunningCall>,
    completed: BTreeMap<KeyDigest, KeyResponse>,
}

impl Runner {
    pub(crate) const fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Ends calls whose run time is over and returns their responses, which echo
    /// the body of the request.
    pub(crate) fn finish_calls(&mut self, now: Duration) -> Vec<((Node, RpcId), Event)> {
        let ended = self.running.extract_if(.., |call| call.ends_at <= now);
        let mut replies = Vec::new();
        for RunningCall { from, call, .. } in ended {
            let body = Some(request_body(call.grant.request));
            let response = KeyResponse {
                status: 200,
                content_type: None,
                body,
            };
            self.completed.insert(call.key, response.clone());
            let outcome = CallOutcome::Completed(response);
            replies.push((from, call_ended_event(call.key, outcome)));
        }
        replies
    }

    /// Returns an immediate reply, or `None` if the request is a call that was
    /// started; `finish_calls` returns its response.
    pub(crate) fn handle_request(
        &mut self,
        from: (Node, RpcId),
        request: Request,
        now: Duration,
    ) -> Option<Event> {
        let is_full = self.running.len() >= SLOTS_PER_RUNNER as usize;
        match request {
            Request::Call(call) if call.epoch < self.epoch || is_full => {
                let reason = NotRunReason::RejectedByTarget;
                Some(call_ended_event(call.key, CallOutcome::NotRun(reason)))
            }
            Request::Call(call) => {
                self.epoch = call.epoch;
                self.call_log.push((call.grant.request, call.key));
                let ends_at = now + CALL_TIME;
                self.running.push(RunningCall {
                    ends_at,
                    from,
                    call,
                });
                None
            }
            Request::Query(key) => Some(Event::Key(KeyEvent::RunnerAnswered(
                key,
                self.query_key(key),
            ))),
            _ => Some(Event::Done),
        }
    }

    fn query_key(&self, key: KeyDigest) -> RunnerAnswer {
        let mut running = self.running.iter();
        match self.completed.get(&key) {
            Some(response) => RunnerAnswer::Completed(response.clone()),
            None if running.any(|running| running.call.key == key) => RunnerAnswer::Running,
            None => RunnerAnswer::NotKnown,
        }
    }
}
