//! The state of one owned pool: its task queue, its workers and the waiting
//! callers.

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
    link::{ExchangeKind, WorkerLink},
    messages::{PoolOutput, PoolRecord, TaskEffect, WorkerRequest},
    watchers::TaskWatchers,
};
use crate::workers::{AttemptName, AttemptStart, WorkerTarget};

/// Bounds the claims of one pool in flight, so that the new owner of a pool with
/// many workers does not claim all of them at once.
const CONCURRENT_CLAIM_LIMIT: usize = 32;

/// Bounds the tasks in the reply to a list request. At about 100 bytes a task
/// the reply fits into a peer message of at most 1 MB.
const LISTED_TASK_LIMIT: usize = 5_000;

/// The task queue of a pool, with the pool's objective as its policy.
pub(super) type PoolQueue = TaskQueue<PoolObjective>;
type ReplySender = oneshot::Sender<TaskReply>;

/// A submitted job whose acceptance is not durable yet.
#[derive(Debug)]
struct PendingJob {
    /// The reply once the acceptance is durable.
    reply: SubmitReply,
    /// All callers that submitted the job.
    callers: Vec<ReplySender>,
}

/// A pool shard that this daemon owns.
#[derive(Debug)]
pub(super) struct OwnedPool {
    pub(super) shard: ShardName,
    pub(super) epoch: Epoch,
    pub(super) queue: PoolQueue,
    /// Length of the leases of tasks on its workers.
    pub(super) lease: Duration,
    objective: PoolObjective,
    /// Whether new jobs are accepted.
    pub(super) is_active: bool,
    pub(super) links: BTreeMap<WorkerId, WorkerLink>,
    /// Maps the journal's record identifiers to those of the task queue, for
    /// records whose write has not finished.
    queue_record_ids: BTreeMap<RecordId, RecordId>,
    pending_jobs: BTreeMap<JobId, PendingJob>,
    watchers: TaskWatchers,
    /// Results of the cancellation that is being applied.
    cancelled_items: Vec<CancelItem>,
    /// Workers as last reported to the task queue.
    reported_workers: Vec<WorkerEntry>,
    /// Time of the event that is being applied.
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
            is_active: false,
            links: BTreeMap::new(),
            queue_record_ids: BTreeMap::new(),
            pending_jobs: BTreeMap::new(),
            watchers: TaskWatchers::default(),
            cancelled_items: Vec::new(),
            reported_workers: Vec::new(),
            now: Duration::ZERO,
        }
    }

    /// Applies an event to the task queue and executes the resulting actions.
    pub(super) fn apply(&mut self, event: TaskEvent, now: Duration, output: &mut PoolOutput) {
        self.now = now;
        for action in self.queue.handle(event, now) {
            self.execute_action(action, output);
        }
    }

    /// Applies the pool's configuration. Leases granted earlier keep their
    /// length, and the task queue waits until they expire.
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

    /// Applies the workers of the pool as read from the list of hosts. A worker
    /// that is missing from the list stays until it is unresponsive as well.
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
            let event = link.update_host(host);
            changed.extend(event);
        }
        let listed: BTreeSet<_> = hosts.iter().map(|host| &host.name).collect();
        for (name, link) in &mut self.links {
            if !listed.contains(name) {
                link.record_missing(now);
            }
        }
        let entries: Vec<_> = self.links.values().map(|link| link.entry.clone()).collect();
        if entries != self.reported_workers {
            self.reported_workers.clone_from(&entries);
            self.apply(TaskEvent::WorkersChanged(entries), now, output);
        }
        for event in changed {
            log::info!("list of hosts: {event:?}");
            self.apply(event, now, output);
        }
    }

    pub(super) fn fire_timers(&mut self, now: Duration, output: &mut PoolOutput) {
        self.remove_lost_workers(now, output);
        self.apply(TaskEvent::TimerFired, now, output);
        self.send_claims(now, output);
    }

    /// Removes the workers that are unresponsive and missing from the list of hosts.
    fn remove_lost_workers(&mut self, now: Duration, output: &mut PoolOutput) {
        let links = self.links.iter();
        let lost: Vec<_> = links
            .filter(|(_, link)| link.is_removable(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            log::warn!(
                "worker {name} is missing from the list of hosts and does not respond; removing it"
            );
            self.links.remove(&name);
            self.reported_workers.retain(|entry| entry.worker != name);
            self.apply(TaskEvent::WorkerRemoved(name), now, output);
        }
    }

    /// Sends the claims that are due, at most [`CONCURRENT_CLAIM_LIMIT`] in
    /// flight.
    pub(super) fn send_claims(&mut self, now: Duration, output: &mut PoolOutput) {
        let sent = self
            .links
            .values()
            .filter(|link| link.is_claiming())
            .count();
        let due = self.links.iter().filter(|(_, link)| link.can_claim(now));
        let due: Vec<_> = due
            .map(|(name, _)| name.clone())
            .take(CONCURRENT_CLAIM_LIMIT.saturating_sub(sent))
            .collect();
        for name in due {
            if let Some(link) = self.links.get_mut(&name) {
                link.record_claim_sent(now);
            }
            self.send_request(&name, WorkerRequest::Claim(self.lease), output);
        }
    }

    /// Sends a request to a worker; does nothing if its address is unknown.
    pub(super) fn send_request(
        &self,
        name: &WorkerId,
        request: WorkerRequest,
        output: &mut PoolOutput,
    ) {
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

    fn execute_action(&mut self, action: TaskAction, output: &mut PoolOutput) {
        match action {
            TaskAction::Record(id, record) => self.append_record(id, record, output),
            TaskAction::Accepted(job) => self.acknowledge_job(job),
            TaskAction::Reject(job, reason) => {
                self.reply_to_submitters(job, &TaskReply::Refused(TaskRefusal::Rejected(reason)));
            }
            TaskAction::Claim(name) => {
                if let Some(link) = self.links.get_mut(&name) {
                    link.is_claim_due = true;
                }
            }
            TaskAction::Start(task, attempt, name) => {
                self.start_attempt(AttemptName { task, attempt }, &name, output);
            }
            TaskAction::Stop(task, attempt, name) => {
                let attempt = AttemptName { task, attempt };
                if let Some(link) = self.links.get_mut(&name) {
                    link.unconfirmed_stops.insert(attempt);
                }
                self.send_request(&name, WorkerRequest::Stop(attempt), output);
            }
            TaskAction::Checkpoint(task, name) => {
                if let Some(attempt) = self.current_attempt(task) {
                    self.send_request(&name, WorkerRequest::Checkpoint(attempt), output);
                }
            }
            TaskAction::Throttle(task, name) => self.throttle(task, &name, output),
            TaskAction::RenewLeases(name) => self.renew_leases(&name, output),
            TaskAction::Cancelled(task, result) => {
                self.cancelled_items.push(CancelItem { id: task, result });
            }
            TaskAction::Changed(view) => {
                let status = TaskStatus::new(&view, self.queue.job_of(view.task));
                self.watchers.publish_status(&status);
            }
        }
    }

    /// Adds a record to the output. The end of a task stays hidden from callers until
    /// its record is durable.
    fn append_record(&mut self, id: RecordId, record: TaskRecord, output: &mut PoolOutput) {
        if let TaskRecord::Ended(task, _) = record {
            self.watchers.mark_end_unrecorded(task);
        }
        output.records.push(PoolRecord {
            shard: self.shard.clone(),
            id,
            urgency: self.record_urgency(&record),
            record,
        });
    }

    /// Returns the urgency with which a record is committed. It is prompt if a
    /// caller waits for the record, or a start of higher urgency than batch work.
    /// A task with the restart policy `anytime` starts before its record is
    /// durable, so its start does not wait.
    fn record_urgency(&self, record: &TaskRecord) -> RecordUrgency {
        let is_awaited = match record {
            TaskRecord::Started(starts) => starts.iter().any(|(task, ..)| {
                self.queue.job_of(*task).is_some_and(|job| {
                    job.urgency > UrgencyClass::Batch && job.restart != RestartPolicy::Anytime
                })
            }),
            TaskRecord::Accepted(_) | TaskRecord::Ended(_, TaskOutcome::Cancelled) => true,
            TaskRecord::Ended(task, _) => self.watchers.has_watcher(*task),
            TaskRecord::Requeued(..) | TaskRecord::Remembered(..) => false,
        };
        if is_awaited {
            RecordUrgency::Prompt
        } else {
            RecordUrgency::Deferred
        }
    }

    /// Sends a start, or holds it back while a claim of the worker is in flight.
    fn start_attempt(&mut self, name: AttemptName, worker: &WorkerId, output: &mut PoolOutput) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        if link.is_claiming() {
            link.held_starts.push(name);
            return;
        }
        let Some(spec) = self.queue.job_of(name.task) else {
            return;
        };
        link.starts_in_flight += 1;
        let start = build_attempt_start(name, spec, self.lease);
        self.send_request(worker, WorkerRequest::Start(start), output);
    }

    /// Sends the starts that were held back during a claim, without those whose
    /// attempt is no longer starting on the worker.
    pub(super) fn send_held_starts(&mut self, worker: &WorkerId, output: &mut PoolOutput) {
        let held = match self.links.get_mut(worker) {
            Some(link) => std::mem::take(&mut link.held_starts),
            None => Vec::new(),
        };
        for name in held {
            if self.is_starting(name, worker) {
                self.start_attempt(name, worker, output);
            }
        }
    }

    fn is_starting(&self, name: AttemptName, worker: &WorkerId) -> bool {
        use auburnsaddle_core::TaskState;
        self.queue.view(name.task).is_some_and(|view| {
            view.attempt == name.attempt && view.state == TaskState::Starting(worker.clone())
        })
    }

    /// Limits a task to half of the CPU that it requested.
    fn throttle(&self, task: TaskId, worker: &WorkerId, output: &mut PoolOutput) {
        let demand = self.queue.job_of(task).map(|spec| spec.demand);
        if let (Some(name), Some(demand)) = (self.current_attempt(task), demand) {
            let request = WorkerRequest::Throttle(name, demand.cpu_milli / 2);
            self.send_request(worker, request, output);
        }
    }

    /// Renews the leases of a worker's tasks with a sync, polls for completions
    /// and repeats the unconfirmed stops. A sync or poll in flight is not repeated.
    fn renew_leases(&mut self, worker: &WorkerId, output: &mut PoolOutput) {
        let lease = self.lease;
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        let sequence = link.sequence();
        let stops: Vec<_> = link.unconfirmed_stops.iter().copied().collect();
        let sync = link.in_flight.insert(ExchangeKind::Sync);
        let poll = link.in_flight.insert(ExchangeKind::Poll);
        if sync {
            self.send_request(worker, WorkerRequest::Sync(lease, sequence), output);
        }
        if poll {
            self.send_request(worker, WorkerRequest::Poll(sequence), output);
        }
        for name in stops {
            self.send_request(worker, WorkerRequest::Stop(name), output);
        }
    }

    /// Returns the current attempt of a task.
    pub(super) fn current_attempt(&self, task: TaskId) -> Option<AttemptName> {
        let attempt: Attempt = self.queue.view(task)?.attempt;
        Some(AttemptName { task, attempt })
    }

    /// Stores the identifier that the journal gave to a record of the queue.
    pub(super) fn handle_record_appended(&mut self, journal: RecordId, queue: RecordId) {
        self.queue_record_ids.insert(journal, queue);
    }

    /// Removes finished journal records and returns their identifiers in the
    /// queue.
    pub(super) fn take_records(&mut self, journal: &[RecordId]) -> BTreeSet<RecordId> {
        let ids = journal.iter();
        ids.filter_map(|id| self.queue_record_ids.remove(id))
            .collect()
    }

    /// Replies to the callers of all pending jobs that the outcome is unknown: the
    /// records of the jobs may have been written.
    pub(super) fn abandon_pending_jobs(&mut self) {
        for (_, job) in std::mem::take(&mut self.pending_jobs) {
            for caller in job.callers {
                let _ = caller.send(TaskReply::Refused(TaskRefusal::Unknown));
            }
        }
    }

    fn acknowledge_job(&mut self, job: JobId) {
        if let Some(pending) = self.pending_jobs.get(&job) {
            let reply = TaskReply::Accepted(pending.reply.clone());
            self.reply_to_submitters(job, &reply);
        }
    }

    fn reply_to_submitters(&mut self, job: JobId, reply: &TaskReply) {
        let pending = self.pending_jobs.remove(&job);
        for caller in pending.into_iter().flat_map(|job| job.callers) {
            // The send fails if the caller has disconnected.
            let _ = caller.send(reply.clone());
        }
    }

    /// Handles a request. The reply to a submission, watch or cancellation may be
    /// sent later.
    pub(super) fn handle_request(
        &mut self,
        request: TaskRequest,
        reply: ReplySender,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let answer = match request {
            TaskRequest::Submit(spec) => return self.submit(spec, reply, now, output),
            TaskRequest::Watch(task, after) => match self.status(task) {
                Some(status) => return self.watchers.add_watcher(status, after, reply),
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
        let truncated = tasks.len() > LISTED_TASK_LIMIT;
        let tasks = tasks.into_iter().take(LISTED_TASK_LIMIT);
        TaskReply::Listed(TaskList {
            tasks: tasks.filter_map(|task| self.status(task)).collect(),
            truncated,
        })
    }

    pub(super) fn status(&self, task: TaskId) -> Option<TaskStatus> {
        let view = self.queue.view(task)?;
        let status = TaskStatus::new(&view, self.queue.job_of(task));
        Some(self.watchers.hide_unrecorded_end(status))
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
        let items = std::mem::take(&mut self.cancelled_items);
        self.watchers.add_cancel(items, reply);
    }

    /// Submits a job. A repeated submission is not queued again: it gets the reply
    /// of the first one, at once if the job is already accepted.
    fn submit(
        &mut self,
        spec: JobSpec,
        reply: ReplySender,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let accepted = self.queue.accepted_task_count(spec.job);
        if accepted.is_some_and(|tasks| tasks as usize != spec.tasks.len()) {
            // The key was used before with another task count.
            let refusal = TaskRefusal::Rejected(JobRejection::Duplicate);
            let _ = reply.send(TaskReply::Refused(refusal));
        } else if let Some(pending) = self.pending_jobs.get_mut(&spec.job) {
            pending.callers.push(reply);
        } else if accepted.is_some() {
            let accepted = SubmitReply {
                job: spec.job,
                tasks: spec.tasks,
            };
            let _ = reply.send(TaskReply::Accepted(accepted));
        } else if !self.is_active {
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
            self.pending_jobs.insert(spec.job, pending);
            self.apply(TaskEvent::Submitted(spec), now, output);
        }
    }

    /// Returns the number of jobs whose acceptance is being recorded.
    pub(super) fn pending_job_count(&self) -> usize {
        self.pending_jobs.len()
    }

    /// Returns whether a request must be refused because the store is unavailable.
    /// This holds for the submission of a job that is not accepted yet.
    pub(super) fn is_refused_without_store(&self, request: &TaskRequest, available: bool) -> bool {
        match request {
            TaskRequest::Submit(spec) if !available => {
                self.queue.accepted_task_count(spec.job).is_none()
            }
            _ => false,
        }
    }
}

/// Returns the refusal of a job whose record cannot be written.
pub(super) const fn store_unavailable_reply() -> TaskReply {
    TaskReply::Refused(TaskRefusal::Rejected(JobRejection::StoreUnavailable))
}

fn build_attempt_start(name: AttemptName, spec: &JobSpec, lease: Duration) -> AttemptStart {
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
