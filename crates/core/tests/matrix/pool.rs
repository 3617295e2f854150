//! The owner of a pool within a daemon: its task queue and its workers.

use std::mem;

use super::prelude::*;

/// Lease of the tasks on workers.
pub(crate) const TASK_LEASE: Duration = Duration::from_secs(20);

/// A connection to a worker. Starts wait while a claim is under way, and a
/// claim waits for the answers to all starts, as the task queue requires.
#[derive(Default)]
struct WorkerLink {
    claim_wanted: bool,
    held: Vec<TaskAction>,
}

pub(crate) struct PoolOwner {
    pub(crate) queue: TaskQueue<PackingFirst>,
    epoch: Epoch,
    /// Submissions without an answer yet, oldest first.
    requests: Vec<RequestId>,
    links: BTreeMap<usize, WorkerLink>,
    leaving: BTreeSet<WorkerId>,
}

impl Daemon {
    /// Fills the queue of an acquired pool from its journal.
    pub(crate) fn open_pool(&mut self, shard: &ShardName, epoch: Epoch, records: &[JournalRecord]) {
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
        self.task_event(shard, TaskEvent::TeamsChanged(vec![team]));
        self.task_event(shard, TaskEvent::Replayed(decode_all(records)));
        self.task_event(shard, TaskEvent::WorkersChanged(worker_entries(shard)));
        self.note_leaving(shard);
    }

    pub(crate) fn claim_workers(&mut self, shard: &ShardName) {
        for entry in worker_entries(shard) {
            self.want_claim(index_of(&entry.worker));
        }
    }

    /// Takes a job of a caller; the pool must be active here.
    pub(crate) fn submit(&mut self, shard: &ShardName, request: RequestId, spec: JobSpec) {
        self.reach(Step::Accept, None);
        if let Some(pool) = self.pools.get_mut(shard) {
            pool.requests.push(request);
        }
        self.task_event(shard, TaskEvent::Submitted(spec));
    }

    pub(crate) fn task_event(&mut self, shard: &ShardName, event: TaskEvent) {
        let Some(pool) = self.pools.get_mut(shard) else {
            return;
        };
        let actions = pool.queue.handle(event, self.now);
        let follow: Vec<_> = actions
            .into_iter()
            .filter_map(|action| self.task_action(shard, action))
            .collect();
        for event in follow {
            self.apply(event);
        }
    }

    /// Does what a queue asks for, and returns the event that follows at once.
    fn task_action(&mut self, shard: &ShardName, action: TaskAction) -> Option<Event> {
        match action {
            TaskAction::Record(id, record) => return self.record_task(shard, id, &record),
            TaskAction::Accepted(job) => self.answer_job(shard, job, Answer::Accepted(job)),
            TaskAction::Reject(job, reason) => {
                self.answer_job(shard, job, Answer::Rejected(job, reason));
            }
            TaskAction::Claim(worker) => self.want_claim(index_of(&worker)),
            TaskAction::Start(_, _, ref worker) => {
                let worker = index_of(worker);
                if let Some(link) = self.link(worker) {
                    link.held.push(action);
                }
                self.pump(worker);
            }
            TaskAction::Stop(_, _, ref worker) | TaskAction::RenewLeases(ref worker) => {
                self.ask_worker(index_of(worker), action);
            }
            TaskAction::Changed(view) => {
                if let TaskState::Ended(outcome) = view.state {
                    let request = job_of(view.task).into();
                    self.answer(request, Answer::Ended(view.task, outcome));
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
            self.reach(Step::Choose, None);
            if self.has(Mutation::SkipRecord) {
                return Some(written);
            }
        }
        let failed = Event::Task(shard.clone(), TaskEvent::RecordsFailed(ids));
        self.append(shard, record, [written, failed])
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
            self.answer(request, answer);
        }
    }

    fn link(&mut self, worker: usize) -> Option<&mut WorkerLink> {
        let pool = self.pools.get_mut(&worker_shard(worker))?;
        Some(pool.links.entry(worker).or_default())
    }

    fn want_claim(&mut self, worker: usize) {
        if let Some(link) = self.link(worker) {
            link.claim_wanted = true;
        }
        self.pump(worker);
    }

    /// Sends the claim or the starts that wait for a worker's connection.
    pub(crate) fn pump(&mut self, worker: usize) {
        let calls = self.calls.values();
        let calls = calls.filter(|call| call.to == Node::Worker(worker));
        let asked = |is_asked: fn(&TaskAction) -> bool| {
            let mut actions = calls
                .clone()
                .filter_map(|call| call.request.worker_action());
            actions.any(is_asked)
        };
        let claiming = asked(|action| matches!(action, TaskAction::Claim(_)));
        let starting = asked(|action| matches!(action, TaskAction::Start(..)));
        let Some(link) = self.link(worker).filter(|_| !claiming) else {
            return;
        };
        if !link.claim_wanted {
            for start in mem::take(&mut link.held) {
                self.send_start(worker, start);
            }
        } else if !starting {
            link.claim_wanted = false;
            self.ask_worker(worker, TaskAction::Claim(worker_name(worker)));
        }
    }

    fn send_start(&mut self, worker: usize, start: TaskAction) {
        if self.owners.may_dispatch(&worker_shard(worker), self.now) {
            self.reach(Step::Dispatch, Some(worker));
            self.ask_worker(worker, start);
        } else {
            self.reject_start(worker, &start);
        }
    }

    fn reject_start(&mut self, worker: usize, start: &TaskAction) {
        if let TaskAction::Start(task, attempt, _) = start {
            let event = TaskEvent::StartRejected(*task, *attempt);
            self.task_event(&worker_shard(worker), event);
        }
    }

    fn ask_worker(&mut self, worker: usize, action: TaskAction) {
        let shard = worker_shard(worker);
        if let Some(pool) = self.pools.get(&shard) {
            let request = Request::Worker(shard, pool.epoch, action);
            self.ask(Node::Worker(worker), request);
        }
    }

    /// Closes the connection to a worker: all that was asked stays unanswered.
    pub(crate) fn close(&mut self, worker: usize) {
        let to = Node::Worker(worker);
        let calls = self.calls.extract_if(.., |_, call| call.to == to);
        let calls: Vec<_> = calls.map(|(_, call)| call).collect();
        if calls.is_empty() {
            return;
        }
        self.out.closes.push(to);
        let is_stop = |action| matches!(action, Some(&TaskAction::Stop(..)));
        let silent = !calls
            .iter()
            .all(|call| is_stop(call.request.worker_action()));
        for call in calls {
            self.fail(call);
        }
        if silent {
            let held = self.link(worker).map(|link| mem::take(&mut link.held));
            for start in held.unwrap_or_default() {
                self.reject_start(worker, &start);
            }
            let event = TaskEvent::WorkerUnresponsive(worker_name(worker));
            self.task_event(&worker_shard(worker), event);
            self.want_claim(worker);
        }
    }

    /// Tells the queue of workers that are leaving by the list of hosts.
    pub(crate) fn note_leaving(&mut self, shard: &ShardName) {
        if self.has(Mutation::IgnoreLeaving) {
            return;
        }
        for WorkerEntry { worker, .. } in worker_entries(shard) {
            let leaving = self.leaving_hosts.contains(&worker);
            let pool = self.pools.get_mut(shard);
            if pool.is_some_and(|pool| leaving && pool.leaving.insert(worker.clone())) {
                self.task_event(shard, TaskEvent::WorkerLeaving(worker));
            }
        }
    }
}
