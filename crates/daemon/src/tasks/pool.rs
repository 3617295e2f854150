//! One owned pool: its queue, its workers and the callers that wait.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnsaddle_core::{
    Attempt, CancelItem, Epoch, HostEntry, JobId, JobRejection, JobSpec, NotRunReason,
    PoolObjective, PoolSpec, RecordId, RecordUrgency, RestartPolicy, ShardName, SubmitReply,
    TaskAction, TaskConfig, TaskEvent, TaskId, TaskList, TaskOutcome, TaskQueue, TaskRecord,
    TaskRefusal, TaskReply, TaskRequest, TaskStatus, UrgencyClass, WorkerEntry, WorkerId,
};
use serde_json::json;
use tokio::sync::oneshot;

use super::{
    link::{OpenExchange, WorkerLink},
    messages::{PoolOutput, PoolRecord, TaskEffect, WorkerRequest},
    watchers::TaskWatchers,
};
use crate::workers::{AttemptName, AttemptStart, WorkerTarget};

/// Most claims of one pool at a time, so that a takeover of many workers comes
/// in steps.
const CLAIM_LIMIT: usize = 32;

/// Most tasks of one pool in a list: about 100 bytes each, in a peer message of
/// at most 1 MB.
const LIST_LIMIT: usize = 5_000;

/// The task queue of a pool under the policy of its objective.
pub(super) type PoolQueue = TaskQueue<PoolObjective>;
type ReplySender = oneshot::Sender<TaskReply>;

/// Callers that wait for the record of a job.
#[derive(Debug)]
struct PendingJob {
    reply: SubmitReply,
    callers: Vec<ReplySender>,
}

/// A pool shard that this daemon owns.
#[derive(Debug)]
pub(super) struct OwnedPool {
    pub(super) shard: ShardName,
    pub(super) epoch: Epoch,
    pub(super) queue: PoolQueue,
    pub(super) lease: Duration,
    objective: PoolObjective,
    /// Whether new jobs are accepted.
    pub(super) active: bool,
    pub(super) links: BTreeMap<WorkerId, WorkerLink>,
    /// The queue's numbers of records by those of the journal.
    records: BTreeMap<RecordId, RecordId>,
    pending: BTreeMap<JobId, PendingJob>,
    watchers: TaskWatchers,
    cancelled: Vec<CancelItem>,
    known_workers: Vec<WorkerEntry>,
    /// Time of the present event.
    now: Duration,
}

impl OwnedPool {
    pub(super) fn new(
        shard: ShardName,
        epoch: Epoch,
        objective: PoolObjective,
        config: TaskConfig,
    ) -> Self {
        Self {
            shard,
            epoch,
            queue: TaskQueue::new(config, objective),
            lease: config.lease,
            objective,
            active: false,
            links: BTreeMap::new(),
            records: BTreeMap::new(),
            pending: BTreeMap::new(),
            watchers: TaskWatchers::default(),
            cancelled: Vec::new(),
            known_workers: Vec::new(),
            now: Duration::ZERO,
        }
    }

    /// Feeds an event to the queue and carries out what follows.
    pub(super) fn apply(&mut self, event: TaskEvent, now: Duration, output: &mut PoolOutput) {
        self.now = now;
        for action in self.queue.handle(event, now) {
            self.carry_out(action, output);
        }
    }

    /// Takes over a change of the pool itself. Leases granted before keep their
    /// length; the queue waits for their end.
    pub(super) fn set_spec(
        &mut self,
        spec: &PoolSpec,
        lease: Duration,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        if spec.objective != self.objective {
            self.objective = spec.objective;
            self.queue.set_policy(spec.objective);
        }
        self.lease = lease;
        let changed = TaskEvent::PoolChanged {
            accelerator_host_share: spec.accelerator_host_share_percent,
            lease,
        };
        self.apply(changed, now, output);
    }

    /// Takes over the workers of the pool from the list of hosts. One that the
    /// list no longer names stays until it is silent as well.
    pub(super) fn set_workers(
        &mut self,
        hosts: &[HostEntry],
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let mut changed = Vec::new();
        for host in hosts {
            let name = host.name.clone();
            let links = &mut self.links;
            let link = links.entry(name).or_insert_with(|| WorkerLink::new(host));
            let event = link.note_host(host);
            changed.extend(event);
        }
        let listed: BTreeSet<_> = hosts.iter().map(|host| &host.name).collect();
        for (name, link) in &mut self.links {
            if !listed.contains(name) {
                link.note_absent(now);
            }
        }
        let entries: Vec<_> = self.links.values().map(|link| link.entry.clone()).collect();
        if entries != self.known_workers {
            self.known_workers.clone_from(&entries);
            self.apply(TaskEvent::WorkersChanged(entries), now, output);
        }
        for event in changed {
            log::info!("list of hosts: {event:?}");
            self.apply(event, now, output);
        }
    }

    pub(super) fn fire_timers(&mut self, now: Duration, output: &mut PoolOutput) {
        self.drop_gone_workers(now, output);
        self.apply(TaskEvent::TimerFired, now, output);
        self.send_claims(now, output);
    }

    fn drop_gone_workers(&mut self, now: Duration, output: &mut PoolOutput) {
        let links = self.links.iter();
        let gone: Vec<_> = links
            .filter(|(_, link)| link.is_gone(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            log::warn!("worker {name} is gone from the list of hosts and silent");
            self.links.remove(&name);
            self.known_workers.retain(|entry| entry.worker != name);
            self.apply(TaskEvent::WorkerRemoved(name), now, output);
        }
    }

    /// Claims workers that are due, as far as the bound permits it.
    pub(super) fn send_claims(&mut self, now: Duration, output: &mut PoolOutput) {
        let sent = self.links.values().filter(|link| link.claims()).count();
        let due = self.links.iter().filter(|(_, link)| link.can_claim(now));
        let due: Vec<_> = due
            .map(|(name, _)| name.clone())
            .take(CLAIM_LIMIT.saturating_sub(sent))
            .collect();
        for name in due {
            if let Some(link) = self.links.get_mut(&name) {
                link.note_claim_sent(now);
            }
            self.send(&name, WorkerRequest::Claim(self.lease), output);
        }
    }

    /// Sends a request to a worker with an address.
    pub(super) fn send(&self, name: &WorkerId, request: WorkerRequest, output: &mut PoolOutput) {
        let address = self.links.get(name).and_then(|link| link.address);
        if let Some(address) = address {
            let waited = match &request {
                WorkerRequest::Start(start) if start.name.attempt == 1 => {
                    self.queue.time_since_accepted(start.name.task, self.now)
                }
                _ => None,
            };
            output.effects.push(TaskEffect {
                waited,
                worker: name.clone(),
                target: WorkerTarget {
                    address,
                    shard: self.shard.clone(),
                    epoch: self.epoch,
                },
                request,
            });
        }
    }

    fn carry_out(&mut self, action: TaskAction, output: &mut PoolOutput) {
        match action {
            TaskAction::Record(id, record) => self.record(id, record, output),
            TaskAction::Accepted(job) => self.accepted(job),
            TaskAction::Reject(job, reason) => {
                self.answer_job(job, &TaskReply::Refused(TaskRefusal::Rejected(reason)));
            }
            TaskAction::Claim(name) => {
                if let Some(link) = self.links.get_mut(&name) {
                    link.claim_due = true;
                }
            }
            TaskAction::Start(task, attempt, name) => {
                self.start(AttemptName { task, attempt }, &name, output);
            }
            TaskAction::Stop(task, attempt, name) => {
                let attempt = AttemptName { task, attempt };
                if let Some(link) = self.links.get_mut(&name) {
                    link.stops.insert(attempt);
                }
                self.send(&name, WorkerRequest::Stop(attempt), output);
            }
            TaskAction::Checkpoint(task, name) => {
                if let Some(attempt) = self.attempt_of(task) {
                    self.send(&name, WorkerRequest::Checkpoint(attempt), output);
                }
            }
            TaskAction::Throttle(task, name) => self.throttle(task, &name, output),
            TaskAction::RenewLeases(name) => self.renew(&name, output),
            TaskAction::Cancelled(task, result) => {
                self.cancelled.push(CancelItem { id: task, result });
            }
            TaskAction::Changed(view) => {
                let status = TaskStatus::new(&view, self.queue.job_of(view.task));
                self.watchers.show(&status);
            }
        }
    }

    fn record(&mut self, id: RecordId, record: TaskRecord, output: &mut PoolOutput) {
        if let TaskRecord::Ended(task, _) = record {
            self.watchers.hide_end(task);
        }
        output.records.push(PoolRecord {
            shard: self.shard.clone(),
            id,
            urgency: self.urgency_of(&record),
            record,
        });
    }

    /// Returns who waits for a record: a caller, or the start of work that is
    /// not batch work. An `anytime` task is started before its record.
    fn urgency_of(&self, record: &TaskRecord) -> RecordUrgency {
        let waits = match record {
            TaskRecord::Started(starts) => starts.iter().any(|(task, ..)| {
                self.queue.job_of(*task).is_some_and(|job| {
                    job.urgency > UrgencyClass::Batch && job.restart != RestartPolicy::Anytime
                })
            }),
            TaskRecord::Accepted(_) | TaskRecord::Ended(_, TaskOutcome::Cancelled) => true,
            TaskRecord::Ended(task, _) => self.watchers.has_watcher(*task),
            TaskRecord::Requeued(..) | TaskRecord::Remembered(..) => false,
        };
        if waits {
            RecordUrgency::Prompt
        } else {
            RecordUrgency::Deferred
        }
    }

    /// Sends a start, or holds it while the worker is being claimed.
    fn start(&mut self, name: AttemptName, worker: &WorkerId, output: &mut PoolOutput) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        if link.claims() {
            link.held.push(name);
            return;
        }
        let Some(spec) = self.queue.job_of(name.task) else {
            return;
        };
        link.starts_sent += 1;
        let start = attempt_start(name, spec, self.lease);
        self.send(worker, WorkerRequest::Start(start), output);
    }

    /// Sends the starts that waited for the answer to a claim and are still
    /// wanted.
    pub(super) fn send_held(&mut self, worker: &WorkerId, output: &mut PoolOutput) {
        let held = match self.links.get_mut(worker) {
            Some(link) => std::mem::take(&mut link.held),
            None => Vec::new(),
        };
        for name in held {
            if self.is_starting(name, worker) {
                self.start(name, worker, output);
            }
        }
    }

    fn is_starting(&self, name: AttemptName, worker: &WorkerId) -> bool {
        use auburnsaddle_core::TaskState;
        self.queue.view(name.task).is_some_and(|view| {
            view.attempt == name.attempt && view.state == TaskState::Starting(worker.clone())
        })
    }

    /// Halves the processors of a task.
    fn throttle(&self, task: TaskId, worker: &WorkerId, output: &mut PoolOutput) {
        let demand = self.queue.job_of(task).map(|spec| spec.demand);
        if let (Some(name), Some(demand)) = (self.attempt_of(task), demand) {
            let request = WorkerRequest::Throttle(name, demand.cpu_milli / 2);
            self.send(worker, request, output);
        }
    }

    /// Renews the leases of a worker's tasks, and repeats what may be lost.
    fn renew(&mut self, worker: &WorkerId, output: &mut PoolOutput) {
        let lease = self.lease;
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        let sequence = link.sequence();
        let stops: Vec<_> = link.stops.iter().copied().collect();
        let sync = link.open.insert(OpenExchange::Sync);
        let poll = link.open.insert(OpenExchange::Poll);
        if sync {
            self.send(worker, WorkerRequest::Sync(lease, sequence), output);
        }
        if poll {
            self.send(worker, WorkerRequest::Poll(sequence), output);
        }
        for name in stops {
            self.send(worker, WorkerRequest::Stop(name), output);
        }
    }

    pub(super) fn attempt_of(&self, task: TaskId) -> Option<AttemptName> {
        let attempt: Attempt = self.queue.view(task)?.attempt;
        Some(AttemptName { task, attempt })
    }

    /// Notes the number that the journal gave a record.
    pub(super) fn handle_record_appended(&mut self, journal: RecordId, queue: RecordId) {
        self.records.insert(journal, queue);
    }

    /// Returns the queue's numbers of records that the journal has settled.
    pub(super) fn take_records(&mut self, journal: &[RecordId]) -> BTreeSet<RecordId> {
        let ids = journal.iter();
        ids.filter_map(|id| self.records.remove(id)).collect()
    }

    /// Tells callers whose jobs may have been recorded that this is not known.
    pub(super) fn doubt_pending(&mut self) {
        for (_, job) in std::mem::take(&mut self.pending) {
            for caller in job.callers {
                let _ = caller.send(TaskReply::Refused(TaskRefusal::Unknown));
            }
        }
    }

    fn accepted(&mut self, job: JobId) {
        if let Some(pending) = self.pending.get(&job) {
            let reply = TaskReply::Accepted(pending.reply.clone());
            self.answer_job(job, &reply);
        }
    }

    fn answer_job(&mut self, job: JobId, reply: &TaskReply) {
        let pending = self.pending.remove(&job);
        for caller in pending.into_iter().flat_map(|job| job.callers) {
            // The caller may have gone away meanwhile.
            let _ = caller.send(reply.clone());
        }
    }

    /// Answers a request, at once or when what it waits for has happened.
    pub(super) fn request(
        &mut self,
        request: TaskRequest,
        reply: ReplySender,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let answer = match request {
            TaskRequest::Submit(spec) => return self.submit(spec, reply, now, output),
            TaskRequest::Watch(task, after) => match self.status(task) {
                Some(status) => return self.watchers.watch(status, after, reply),
                None => TaskReply::Refused(TaskRefusal::NotFound),
            },
            TaskRequest::Cancel(task) => {
                return self.cancel(TaskEvent::Cancel(task), reply, now, output);
            }
            TaskRequest::CancelLabel(label) => {
                return self.cancel(TaskEvent::CancelLabel(label), reply, now, output);
            }
            TaskRequest::Get(task) => self.status_reply(task),
            TaskRequest::Resolve(task) => {
                self.apply(TaskEvent::Resolved(task), now, output);
                self.status_reply(task)
            }
            TaskRequest::List(labels, team) => self.list(&labels, team.as_deref()),
        };
        let _ = reply.send(answer);
    }

    fn list(&self, labels: &[Arc<str>], team: Option<&str>) -> TaskReply {
        let tasks = self.queue.find_tasks(labels, team);
        let truncated = tasks.len() > LIST_LIMIT;
        let tasks = tasks.into_iter().take(LIST_LIMIT);
        TaskReply::Listed(TaskList {
            tasks: tasks.filter_map(|task| self.status(task)).collect(),
            truncated,
        })
    }

    pub(super) fn status(&self, task: TaskId) -> Option<TaskStatus> {
        let view = self.queue.view(task)?;
        let status = TaskStatus::new(&view, self.queue.job_of(task));
        Some(self.watchers.shown(status))
    }

    fn status_reply(&self, task: TaskId) -> TaskReply {
        let status = self.status(task).map(TaskReply::Status);
        status.unwrap_or(TaskReply::Refused(TaskRefusal::NotFound))
    }

    fn cancel(
        &mut self,
        event: TaskEvent,
        reply: ReplySender,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        self.apply(event, now, output);
        let items = std::mem::take(&mut self.cancelled);
        self.watchers.cancel(items, reply);
    }

    /// Accepts a job. A repeated one waits with the first, or has been accepted
    /// before.
    fn submit(
        &mut self,
        spec: JobSpec,
        reply: ReplySender,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let accepted = self.queue.accepted_task_count(spec.job);
        if accepted.is_some_and(|tasks| tasks as usize != spec.tasks.len()) {
            // The same key with another count.
            let refusal = TaskRefusal::Rejected(JobRejection::Duplicate);
            let _ = reply.send(TaskReply::Refused(refusal));
        } else if let Some(pending) = self.pending.get_mut(&spec.job) {
            pending.callers.push(reply);
        } else if accepted.is_some() {
            let accepted = SubmitReply {
                job: spec.job,
                tasks: spec.tasks,
            };
            let _ = reply.send(TaskReply::Accepted(accepted));
        } else if !self.active {
            let reason = NotRunReason::NoOwner;
            let _ = reply.send(TaskReply::Refused(TaskRefusal::NotRun(reason)));
        } else {
            let pending = PendingJob {
                reply: SubmitReply {
                    job: spec.job,
                    tasks: spec.tasks.clone(),
                },
                callers: vec![reply],
            };
            self.pending.insert(spec.job, pending);
            self.apply(TaskEvent::Submitted(spec), now, output);
        }
    }

    /// Returns the number of jobs whose acceptance is being recorded.
    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Tells whether a job would be refused because the store is away.
    pub(super) fn refuses_for_store(&self, request: &TaskRequest, available: bool) -> bool {
        match request {
            TaskRequest::Submit(spec) if !available => {
                self.queue.accepted_task_count(spec.job).is_none()
            }
            _ => false,
        }
    }
}

/// The refusal of a job that cannot be recorded.
pub(super) const fn store_refusal() -> TaskReply {
    TaskReply::Refused(TaskRefusal::Rejected(JobRejection::StoreUnavailable))
}

fn attempt_start(name: AttemptName, spec: &JobSpec, lease: Duration) -> AttemptStart {
    AttemptStart {
        name,
        resources: spec.demand,
        lease,
        payload: json!({
            "object": spec.object,
            "labels": spec.labels,
            "endless": spec.run_time.is_none(),
            "run_ms": spec.run_time.map_or(0, |time| time.as_millis()),
        }),
    }
}
