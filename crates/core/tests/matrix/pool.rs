//! The pool part of a daemon: its task queues and its connections to workers.

use std::mem;

use super::prelude::*;

/// Lease duration of a task on a worker.
pub(crate) const TASK_LEASE: Duration = Duration::from_secs(20);

/// A connection to a worker. Starts are queued while a claim is pending or in
/// flight, and a claim is sent only after all starts in flight have been
/// answered, as the task queue requires.
#[derive(Default)]
struct WorkerLink {
    is_claim_pending: bool,
    queued_starts: Vec<TaskAction>,
}

pub(crate) struct PoolOwner {
    pub(crate) queue: TaskQueue<PackingFirst>,
    epoch: Epoch,
    /// Unanswered submissions, oldest first.
    requests: Vec<RequestId>,
    links: BTreeMap<usize, WorkerLink>,
    leaving: BTreeSet<WorkerId>,
}

impl Daemon {
    /// Creates the task queue of an acquired pool and replays its journal.
    pub(crate) fn open_task_queue(
        &mut self,
        shard: &ShardName,
        epoch: Epoch,
        records: &[JournalRecord],
    ) {
        let config = TaskConfig {
            lease: TASK_LEASE,
            renew_interval: Duration::from_secs(1),
            ..TaskConfig::default()
        };
        let pool = PoolOwner {
            queue: TaskQueue::new(config, PackingFirst),
            epoch,
            requests: Vec::new(),
            links: BTreeMap::new(),
            leaving: BTreeSet::new(),
        };
        self.pools.insert(shard.clone(), pool);
        let team = TeamQuota {
            team: "orders".into(),
            weight: 1,
            quota: ResourceVector::new(u64::MAX, u64::MAX, u64::MAX),
        };
        self.handle_task_event(shard, TaskEvent::TeamsChanged(vec![team]));
        self.handle_task_event(shard, TaskEvent::Replayed(decode_all(records)));
        self.handle_task_event(shard, TaskEvent::WorkersChanged(worker_entries(shard)));
        self.report_leaving_workers(shard);
    }

    pub(crate) fn claim_workers(&mut self, shard: &ShardName) {
        for entry in worker_entries(shard) {
            self.request_claim(name_index(&entry.worker));
        }
    }

    /// Submits a job to the task queue; the pool must be active on this daemon.
    pub(crate) fn submit(&mut self, shard: &ShardName, request: RequestId, spec: JobSpec) {
        self.report_step(Step::Accept, None);
        if let Some(pool) = self.pools.get_mut(shard) {
            pool.requests.push(request);
        }
        self.handle_task_event(shard, TaskEvent::Submitted(spec));
    }

    pub(crate) fn handle_task_event(&mut self, shard: &ShardName, event: TaskEvent) {
        let Some(pool) = self.pools.get_mut(shard) else {
            return;
        };
        let actions = pool.queue.handle(event, self.now);
        let follow_ups: Vec<_> = actions
            .into_iter()
            .filter_map(|action| self.execute_task_action(shard, action))
            .collect();
        for event in follow_ups {
            self.apply(event);
        }
    }

    /// Executes an action of a task queue, and returns the event that it causes
    /// immediately, if any.
    fn execute_task_action(&mut self, shard: &ShardName, action: TaskAction) -> Option<Event> {
        match action {
            TaskAction::Record(id, record) => return self.record_task(shard, id, &record),
            TaskAction::Accepted(job) => self.answer_job(shard, job, Answer::Accepted(job)),
            TaskAction::Reject(job, reason) => {
                self.answer_job(shard, job, Answer::Rejected(job, reason));
            }
            TaskAction::Claim(worker) => self.request_claim(name_index(&worker)),
            TaskAction::Start(_, _, ref worker) => {
                let worker = name_index(worker);
                if let Some(link) = self.worker_link(worker) {
                    link.queued_starts.push(action);
                }
                self.send_pending_work(worker);
            }
            TaskAction::Stop(_, _, ref worker) | TaskAction::RenewLeases(ref worker) => {
                self.send_worker_request(name_index(worker), action);
            }
            TaskAction::Changed(view) => {
                if let TaskState::Ended(outcome) = view.state {
                    let request = task_job(view.task).into();
                    self.respond(request, Answer::Ended(view.task, outcome));
                }
            }
            TaskAction::Checkpoint(..) | TaskAction::Throttle(..) | TaskAction::Cancelled(..) => {}
        }
        None
    }

    fn record_task(
        &mut self,
        shard: &ShardName,
        id: RecordId,
        record: &TaskRecord,
    ) -> Option<Event> {
        let ids = BTreeSet::from([id]);
        let written = Event::Task(shard.clone(), TaskEvent::Recorded(ids.clone()));
        if matches!(record, TaskRecord::Started(_)) {
            self.report_step(Step::Choose, None);
            if self.has(Mutation::SkipRecord) {
                return Some(written);
            }
        }
        let failed = Event::Task(shard.clone(), TaskEvent::RecordsFailed(ids));
        self.append_record(shard, record, [written, failed])
    }

    fn answer_job(&mut self, shard: &ShardName, job: JobId, answer: Answer) {
        let by_position = self.has(Mutation::AnswerByPosition);
        let Some(pool) = self.pools.get_mut(shard) else {
            return;
        };
        let mut waiting = pool.requests.iter();
        if let Some(position) = waiting.position(|request| *request == job.into()) {
            let position = if by_position { 0 } else { position };
            let request = pool.requests.remove(position);
            self.respond(request, answer);
        }
    }

    fn worker_link(&mut self, worker: usize) -> Option<&mut WorkerLink> {
        let pool = self.pools.get_mut(&worker_shard(worker))?;
        Some(pool.links.entry(worker).or_default())
    }

    fn request_claim(&mut self, worker: usize) {
        if let Some(link) = self.worker_link(worker) {
            link.is_claim_pending = true;
        }
        self.send_pending_work(worker);
    }

    /// Sends the pending claim, or else the queued starts, once the connection to
    /// the worker permits it.
    pub(crate) fn send_pending_work(&mut self, worker: usize) {
        let rpcs = self.pending_rpcs.values();
        let rpcs = rpcs.filter(|rpc| rpc.to == Node::Worker(worker));
        let has_pending = |is_match: fn(&TaskAction) -> bool| {
            let mut actions = rpcs.clone().filter_map(|rpc| rpc.request.worker_action());
            actions.any(is_match)
        };
        let is_claiming = has_pending(|action| matches!(action, TaskAction::Claim(_)));
        let is_starting = has_pending(|action| matches!(action, TaskAction::Start(..)));
        let Some(link) = self.worker_link(worker).filter(|_| !is_claiming) else {
            return;
        };
        if !link.is_claim_pending {
            for start in mem::take(&mut link.queued_starts) {
                self.send_start(worker, start);
            }
        } else if !is_starting {
            link.is_claim_pending = false;
            self.send_worker_request(worker, TaskAction::Claim(worker_name(worker)));
        }
    }

    fn send_start(&mut self, worker: usize, start: TaskAction) {
        if self.owners.may_dispatch(&worker_shard(worker), self.now) {
            self.report_step(Step::Dispatch, Some(worker));
            self.send_worker_request(worker, start);
        } else {
            self.reject_start(worker, &start);
        }
    }

    fn reject_start(&mut self, worker: usize, start: &TaskAction) {
        if let TaskAction::Start(task, attempt, _) = start {
            let event = TaskEvent::StartRejected(*task, *attempt);
            self.handle_task_event(&worker_shard(worker), event);
        }
    }

    fn send_worker_request(&mut self, worker: usize, action: TaskAction) {
        let shard = worker_shard(worker);
        if let Some(pool) = self.pools.get(&shard) {
            let request = Request::Worker(shard, pool.epoch, action);
            self.request(Node::Worker(worker), request);
        }
    }

    /// Closes the connection to a worker and fails all requests in flight on it.
    pub(crate) fn close_worker_link(&mut self, worker: usize) {
        let to = Node::Worker(worker);
        let rpcs = self.pending_rpcs.extract_if(.., |_, rpc| rpc.to == to);
        let rpcs: Vec<_> = rpcs.map(|(_, rpc)| rpc).collect();
        if rpcs.is_empty() {
            return;
        }
        self.outbox.closes.push(to);
        let is_stop = |action| matches!(action, Some(&TaskAction::Stop(..)));
        let is_unresponsive = !rpcs.iter().all(|rpc| is_stop(rpc.request.worker_action()));
        for rpc in rpcs {
            self.fail_rpc(rpc);
        }
        if is_unresponsive {
            let queued_starts = self
                .worker_link(worker)
                .map(|link| mem::take(&mut link.queued_starts));
            for start in queued_starts.unwrap_or_default() {
                self.reject_start(worker, &start);
            }
            let event = TaskEvent::WorkerUnresponsive(worker_name(worker));
            self.handle_task_event(&worker_shard(worker), event);
            self.request_claim(worker);
        }
    }

    /// Reports workers that are new on the list of leaving hosts to the task
    /// queue.
    pub(crate) fn report_leaving_workers(&mut self, shard: &ShardName) {
        if self.has(Mutation::IgnoreLeaving) {
            return;
        }
        for WorkerEntry { worker, .. } in worker_entries(shard) {
            let leaving = self.leaving_hosts.contains(&worker);
            let pool = self.pools.get_mut(shard);
            if pool.is_some_and(|pool| leaving && pool.leaving.insert(worker.clone())) {
                self.handle_task_event(shard, TaskEvent::WorkerLeaving(worker));
            }
        }
    }
}
