//! The owner of a pool within a daemon: its task queue and its workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{
    Attempt, Epoch, JobId, JournalRecord, OwnershipEvent, PackingFirst, RecordId, RecordKind,
    ReportedTask, RequestId, ResourceVector, ShardName, TaskAction, TaskConfig, TaskEvent, TaskId,
    TaskQueue, TaskRecord, TaskState, TeamQuota, WorkerId,
};

use super::{
    daemon::{Daemon, Outbox, Purpose},
    faults::{Mutation, Step},
    network::{Answer, Message, Node},
    targets::{WorkerReply, WorkerRequest},
    worker_entries, worker_index,
};

/// Lease of the tasks on workers.
pub(crate) const TASK_LEASE: Duration = Duration::from_secs(20);

/// A connection to a worker. Starts wait while a claim is under way, and a
/// claim waits for the answers to all starts, as the task queue requires.
#[derive(Default)]
struct WorkerLink {
    claim_wanted: bool,
    held: Vec<(TaskId, Attempt)>,
}

pub(crate) struct PoolOwner {
    pub(crate) epoch: Epoch,
    pub(crate) queue: TaskQueue<PackingFirst>,
    sizes: BTreeMap<TaskId, (JobId, ResourceVector, Duration)>,
    requests: Vec<(RequestId, JobId)>,
    links: BTreeMap<WorkerId, WorkerLink>,
    leaving: BTreeSet<WorkerId>,
}

impl PoolOwner {
    pub(crate) fn new(epoch: Epoch) -> Self {
        let config = TaskConfig {
            lease: TASK_LEASE,
            renew_interval: Duration::from_secs(1),
            ..TaskConfig::default()
        };
        Self {
            epoch,
            queue: TaskQueue::new(config, PackingFirst),
            sizes: BTreeMap::new(),
            requests: Vec::new(),
            links: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }
}

fn team() -> TeamQuota {
    TeamQuota {
        team: "orders".into(),
        weight: 1,
        quota: ResourceVector::new(u64::MAX, u64::MAX, u64::MAX),
    }
}

const fn record_kind(record: &TaskRecord) -> RecordKind {
    match record {
        TaskRecord::Accepted(_) | TaskRecord::Remembered(..) => RecordKind::TaskAccepted,
        TaskRecord::Started(_) | TaskRecord::Requeued(..) => RecordKind::TaskStarted,
        TaskRecord::Ended(..) => RecordKind::TaskEnded,
    }
}

impl Daemon {
    /// Fills the queue of an acquired pool from its journal.
    pub(crate) fn open_pool(
        &mut self,
        shard: &ShardName,
        records: &[JournalRecord],
        out: &mut Outbox,
    ) {
        let records = records.iter().map(|record| {
            serde_json::from_slice(&record.payload).expect("a record that a daemon wrote")
        });
        let records: Vec<TaskRecord> = records.collect();
        if let Some(pool) = self.pools.get_mut(shard) {
            for record in &records {
                pool.note_sizes(record);
            }
        }
        let entries = worker_entries(shard);
        self.task_event(shard, TaskEvent::TeamsChanged(vec![team()]), out);
        self.task_event(shard, TaskEvent::Replayed(records), out);
        self.task_event(shard, TaskEvent::WorkersChanged(entries), out);
        self.note_leaving(shard, out);
    }

    pub(crate) fn claim_workers(&mut self, shard: &ShardName, out: &mut Outbox) {
        for entry in worker_entries(shard) {
            self.want_claim(shard, &entry.worker, out);
        }
    }

    /// Takes a job of a caller; the pool must be active here.
    pub(crate) fn submit(
        &mut self,
        shard: &ShardName,
        request: RequestId,
        spec: auburnsaddle_core::JobSpec,
        out: &mut Outbox,
    ) {
        out.reach(Step::Accept, None);
        if let Some(pool) = self.pools.get_mut(shard) {
            pool.requests.push((request, spec.job));
            pool.note_sizes(&TaskRecord::Accepted(spec.clone()));
        }
        self.task_event(shard, TaskEvent::Submitted(spec), out);
    }

    pub(crate) fn task_event(&mut self, shard: &ShardName, event: TaskEvent, out: &mut Outbox) {
        let Some(pool) = self.pools.get_mut(shard) else {
            return;
        };
        let mut follow = Vec::new();
        for action in pool.queue.handle(event, out.local) {
            self.task_action(shard, action, &mut follow, out);
        }
        for event in follow {
            self.task_event(shard, event, out);
        }
    }

    fn task_action(
        &mut self,
        shard: &ShardName,
        action: TaskAction,
        follow: &mut Vec<TaskEvent>,
        out: &mut Outbox,
    ) {
        match action {
            TaskAction::Record(id, record) => self.record_task(shard, id, &record, follow, out),
            TaskAction::Accepted(job) => self.answer(shard, job, Answer::Accepted(job), out),
            TaskAction::Reject(job, reason) => {
                self.answer(shard, job, Answer::Rejected(job, reason), out);
            }
            TaskAction::Claim(worker) => self.want_claim(shard, &worker, out),
            TaskAction::Start(task, attempt, worker) => {
                if let Some(pool) = self.pools.get_mut(shard) {
                    let link = pool.links.entry(worker.clone()).or_default();
                    link.held.push((task, attempt));
                }
                self.pump(shard, &worker, out);
            }
            TaskAction::Stop(task, attempt, worker) => {
                let request = |epoch| WorkerRequest::Stop(epoch, task, attempt);
                self.ask_worker(shard, &worker, request, Purpose::Stop, out);
            }
            TaskAction::RenewLeases(worker) => {
                let purpose = Purpose::Sync(shard.clone(), worker.clone());
                let request = |epoch| WorkerRequest::Sync(epoch, TASK_LEASE);
                self.ask_worker(shard, &worker, request, purpose, out);
            }
            TaskAction::Changed(view) => {
                if let TaskState::Ended(outcome) = view.state {
                    let job = self.pools.get(shard).and_then(|pool| {
                        let (job, ..) = pool.sizes.get(&view.task)?;
                        Some(*job)
                    });
                    let request = RequestId::from(job.unwrap_or_default());
                    out.answer(request, Answer::Ended(view.task, outcome));
                }
            }
            TaskAction::Checkpoint(..) | TaskAction::Throttle(..) | TaskAction::Cancelled(..) => {}
        }
    }

    fn record_task(
        &mut self,
        shard: &ShardName,
        id: RecordId,
        record: &TaskRecord,
        follow: &mut Vec<TaskEvent>,
        out: &mut Outbox,
    ) {
        if matches!(record, TaskRecord::Started(_)) {
            out.reach(Step::Choose, None);
            if self.mutation == Some(Mutation::SkipRecord) {
                follow.push(TaskEvent::Recorded([id].into()));
                return;
            }
        }
        let journal_record = JournalRecord {
            kind: record_kind(record),
            payload: serde_json::to_vec(record).expect("a record has only text keys"),
        };
        match self.log.append(shard, journal_record) {
            Ok(number) => {
                self.records.insert(number, (shard.clone(), id));
            }
            Err(_) => follow.push(TaskEvent::RecordsFailed([id].into())),
        }
    }

    fn answer(&mut self, shard: &ShardName, job: JobId, answer: Answer, out: &mut Outbox) {
        let by_position = self.mutation == Some(Mutation::AnswerByPosition);
        let Some(pool) = self.pools.get_mut(shard) else {
            return;
        };
        let position = pool
            .requests
            .iter()
            .position(|(_, waiting)| *waiting == job);
        if let Some(position) = position {
            let position = if by_position { 0 } else { position };
            let (request, _) = pool.requests.remove(position);
            out.answer(request, answer);
        }
    }

    fn want_claim(&mut self, shard: &ShardName, worker: &WorkerId, out: &mut Outbox) {
        if let Some(pool) = self.pools.get_mut(shard) {
            pool.links.entry(worker.clone()).or_default().claim_wanted = true;
        }
        self.pump(shard, worker, out);
    }

    /// Sends the claim or the starts that wait for a worker's connection.
    fn pump(&mut self, shard: &ShardName, worker: &WorkerId, out: &mut Outbox) {
        let node = Node::Worker(worker_index(worker));
        let mut pending = self.calls.values().filter(|call| call.to == node);
        let busy = pending
            .any(|call| matches!(call.purpose, Purpose::Start(..) | Purpose::ClaimWorker(..)));
        let claiming = self
            .calls
            .values()
            .any(|call| call.to == node && matches!(call.purpose, Purpose::ClaimWorker(..)));
        let Some(pool) = self.pools.get_mut(shard) else {
            return;
        };
        let link = pool.links.entry(worker.clone()).or_default();
        if link.claim_wanted {
            if !busy {
                link.claim_wanted = false;
                let purpose = Purpose::ClaimWorker(shard.clone(), worker.clone());
                self.ask_worker(shard, worker, WorkerRequest::Claim, purpose, out);
            }
        } else if !claiming {
            for (task, attempt) in std::mem::take(&mut link.held) {
                self.send_start(shard, worker, task, attempt, out);
            }
        }
    }

    fn send_start(
        &mut self,
        shard: &ShardName,
        worker: &WorkerId,
        task: TaskId,
        attempt: Attempt,
        out: &mut Outbox,
    ) {
        let size = self.pools.get(shard).and_then(|pool| pool.sizes.get(&task));
        let allowed = self.owners.may_dispatch(shard, out.local);
        let Some((_, demand, run_time)) = size.copied().filter(|_| allowed) else {
            self.task_event(shard, TaskEvent::StartRejected(task, attempt), out);
            return;
        };
        out.reach(Step::Dispatch, Some(worker_index(worker)));
        let start = ReportedTask {
            task,
            attempt,
            demand,
        };
        let purpose = Purpose::Start(shard.clone(), worker.clone(), task, attempt);
        let request = |epoch| WorkerRequest::Start(epoch, start, run_time);
        self.ask_worker(shard, worker, request, purpose, out);
    }

    fn ask_worker(
        &mut self,
        shard: &ShardName,
        worker: &WorkerId,
        request: impl FnOnce(Epoch) -> WorkerRequest,
        purpose: Purpose,
        out: &mut Outbox,
    ) {
        let Some(pool) = self.pools.get(shard) else {
            return;
        };
        let request = request(pool.epoch);
        let to = Node::Worker(worker_index(worker));
        let id = self.note_call(to, purpose, out);
        out.send(to, Message::AskWorker(id, request));
    }

    pub(crate) fn worker_answered(
        &mut self,
        purpose: Purpose,
        reply: WorkerReply,
        out: &mut Outbox,
    ) {
        let (shard, worker) = match &purpose {
            Purpose::ClaimWorker(shard, worker)
            | Purpose::Sync(shard, worker)
            | Purpose::Start(shard, worker, ..) => (shard.clone(), worker.clone()),
            _ => return,
        };
        let epoch = self.pools.get(&shard).map(|pool| pool.epoch);
        let event = match (reply, purpose) {
            (WorkerReply::Claimed(running), _) => TaskEvent::WorkerClaimed(worker.clone(), running),
            (WorkerReply::Report(report), _) => TaskEvent::WorkerReported(worker.clone(), report),
            (WorkerReply::Started, Purpose::Start(_, _, task, attempt)) => {
                TaskEvent::StartAccepted(task, attempt)
            }
            (WorkerReply::Rejected, Purpose::Start(_, _, task, attempt)) => {
                TaskEvent::StartRejected(task, attempt)
            }
            (WorkerReply::Fenced, _) => {
                if let Some(epoch) = epoch {
                    self.owner_event(OwnershipEvent::Fenced(shard, epoch), out);
                }
                return;
            }
            _ => return,
        };
        self.task_event(&shard, event, out);
        self.pump(&shard, &worker, out);
    }

    /// Closes the connection to a worker: all that was asked stays unanswered.
    pub(crate) fn worker_failed(&mut self, to: Node, purposes: Vec<Purpose>, out: &mut Outbox) {
        out.closes.push(to);
        let mut failed = BTreeSet::new();
        for purpose in purposes {
            match purpose {
                Purpose::Start(shard, worker, task, attempt) => {
                    let event = if self.mutation == Some(Mutation::RetryUnknown) {
                        TaskEvent::StartRejected(task, attempt)
                    } else {
                        TaskEvent::StartUnknown(task, attempt)
                    };
                    failed.insert((shard.clone(), worker));
                    self.task_event(&shard, event, out);
                }
                Purpose::ClaimWorker(shard, worker) | Purpose::Sync(shard, worker) => {
                    failed.insert((shard, worker));
                }
                _ => {}
            }
        }
        for (shard, worker) in failed {
            self.silence(&shard, &worker, out);
        }
    }

    fn silence(&mut self, shard: &ShardName, worker: &WorkerId, out: &mut Outbox) {
        let link = self
            .pools
            .get_mut(shard)
            .and_then(|pool| pool.links.get_mut(worker));
        let held = link.map_or_else(Vec::new, |link| std::mem::take(&mut link.held));
        for (task, attempt) in held {
            self.task_event(shard, TaskEvent::StartRejected(task, attempt), out);
        }
        self.task_event(shard, TaskEvent::WorkerSilent(worker.clone()), out);
        self.want_claim(shard, worker, out);
    }

    /// Tells the queue of workers that are leaving by the list of hosts.
    pub(crate) fn note_leaving(&mut self, shard: &ShardName, out: &mut Outbox) {
        if self.mutation == Some(Mutation::IgnoreLeaving) {
            return;
        }
        for entry in worker_entries(shard) {
            let leaving = self.leaving_hosts.contains(&entry.worker);
            let pool = self.pools.get_mut(shard);
            let news =
                pool.is_some_and(|pool| leaving && pool.leaving.insert(entry.worker.clone()));
            if news {
                self.task_event(shard, TaskEvent::WorkerLeaving(entry.worker), out);
            }
        }
    }
}

impl PoolOwner {
    fn note_sizes(&mut self, record: &TaskRecord) {
        if let TaskRecord::Accepted(spec) = record {
            let run_time = spec.run_time.unwrap_or_default();
            for task in &spec.tasks {
                self.sizes.insert(*task, (spec.job, spec.demand, run_time));
            }
        }
    }
}
