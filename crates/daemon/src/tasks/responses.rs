//! Handling of workers' responses.

use std::time::Duration;

use auburnsaddle_core::{Attempt, ReportedTask, TaskEvent, TaskId, WorkerId, WorkerReport};

use super::{
    link::{ExchangeKind, WorkerLink},
    messages::{ClaimedWorker, PoolOutput, WorkerRequest, WorkerResponse},
    pool::OwnedPool,
};
use crate::workers::{
    AttemptEnd, AttemptName, CompletionReport, RejectReason, SyncReport, WorkerOutcome,
};

impl OwnedPool {
    /// Applies the response of a worker. If the worker has seen a higher epoch, the
    /// shard is only reported as fenced.
    pub(super) fn apply_response(
        &mut self,
        worker: &WorkerId,
        response: WorkerResponse,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        if response.is_fenced() {
            output.fenced.push((self.shard.clone(), self.epoch));
            return;
        }
        if !self.links.contains_key(worker) {
            return;
        }
        match response {
            WorkerResponse::Claimed(outcome) => self.apply_claim(worker, outcome, now, output),
            WorkerResponse::StartAnswered(name, outcome) => {
                self.apply_start(worker, name, &outcome, now, output);
            }
            WorkerResponse::StopAnswered(name, outcome) => self.apply_stop(worker, name, &outcome),
            WorkerResponse::Adjusted(_) => {}
            WorkerResponse::Synced(outcome) => self.apply_sync(worker, outcome, now, output),
            WorkerResponse::Polled(outcome) => self.apply_poll(worker, outcome, now, output),
        }
        self.send_claims(now, output);
    }

    /// Applies the outcome of a claim, then sends the starts that were held back.
    fn apply_claim(
        &mut self,
        worker: &WorkerId,
        outcome: WorkerOutcome<ClaimedWorker>,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        link.in_flight.remove(&ExchangeKind::Claim);
        if let WorkerOutcome::Admitted(claimed) = outcome {
            link.is_claimed = true;
            link.is_claim_due = false;
            link.reset_failures();
            link.reset_sequence();
            self.reconcile_claim(worker, claimed, now, output);
        } else {
            self.record_exchange_failure(worker, now, output);
        }
        self.send_held_starts(worker, output);
    }

    /// Reconciles the queue with the tasks of a claimed worker. Completions are
    /// applied before the list of running tasks: a task that ended while the pool
    /// had no owner would otherwise count as lost and be queued again.
    fn reconcile_claim(
        &mut self,
        worker: &WorkerId,
        claimed: ClaimedWorker,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let ended = claimed.sync.completions.iter();
        let ended: Vec<_> = ended.map(|report| report.name).collect();
        self.apply_sync_report(worker, claimed.sync, now, output);
        let running = claimed.claim.running.into_iter();
        let running: Vec<_> = running
            .filter(|(name, _)| !ended.contains(name))
            .map(|(name, demand)| ReportedTask {
                task: name.task,
                attempt: name.attempt,
                demand,
            })
            .collect();
        let event = TaskEvent::WorkerClaimed(worker.clone(), running.clone());
        self.apply(event, now, output);
        if let Some(link) = self.links.get_mut(worker) {
            link.orphans = running;
        }
        self.prune_orphans(worker);
    }

    /// Removes from the orphans the tasks whose current attempt the queue has
    /// placed on the worker.
    fn prune_orphans(&mut self, worker: &WorkerId) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        let mut orphans = std::mem::take(&mut link.orphans);
        orphans.retain(|orphan| {
            let tasks = self.queue.tasks_on(worker);
            let placed = tasks.is_some_and(|tasks| tasks.contains(&orphan.task));
            let attempt = self.queue.view(orphan.task).map(|view| view.attempt);
            !placed || attempt != Some(orphan.attempt)
        });
        if let Some(link) = self.links.get_mut(worker) {
            link.orphans = orphans;
        }
    }

    /// Applies the outcome of a start.
    fn apply_start(
        &mut self,
        worker: &WorkerId,
        name: AttemptName,
        outcome: &WorkerOutcome<()>,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        if let Some(link) = self.links.get_mut(worker) {
            link.starts_in_flight = link.starts_in_flight.saturating_sub(1);
        }
        let AttemptName { task, attempt } = name;
        let event = match outcome {
            WorkerOutcome::Admitted(()) => TaskEvent::StartAccepted(task, attempt),
            WorkerOutcome::Rejected(_) => TaskEvent::StartRejected(task, attempt),
            WorkerOutcome::Unknown(_) => TaskEvent::StartUnknown(task, attempt),
        };
        self.apply(event, now, output);
    }

    /// Applies the outcome of a stop. A stop that the worker has received is not
    /// repeated, unless the queue still has the attempt on the worker: the stop may
    /// have overtaken the start.
    fn apply_stop(&mut self, worker: &WorkerId, name: AttemptName, outcome: &WorkerOutcome<bool>) {
        let is_placed = self.current_attempt(name.task) == Some(name)
            && self
                .queue
                .tasks_on(worker)
                .is_some_and(|tasks| tasks.contains(&name.task));
        let is_received = matches!(outcome, WorkerOutcome::Admitted(_));
        if let Some(link) = self.links.get_mut(worker)
            && is_received
            && !is_placed
        {
            link.unconfirmed_stops.remove(&name);
        }
    }

    /// Applies the outcome of a sync.
    fn apply_sync(
        &mut self,
        worker: &WorkerId,
        outcome: WorkerOutcome<SyncReport>,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        if let Some(link) = self.links.get_mut(worker) {
            link.in_flight.remove(&ExchangeKind::Sync);
        }
        match outcome {
            WorkerOutcome::Admitted(report) => self.apply_sync_report(worker, report, now, output),
            _ => self.record_exchange_failure(worker, now, output),
        }
    }

    /// Applies the outcome of a poll and sends the next one. After a failure a claim
    /// is due.
    fn apply_poll(
        &mut self,
        worker: &WorkerId,
        outcome: WorkerOutcome<Vec<CompletionReport>>,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        let WorkerOutcome::Admitted(reports) = outcome else {
            // The worker may have restarted and lost its tasks.
            link.in_flight.remove(&ExchangeKind::Poll);
            link.is_claim_due = true;
            return;
        };
        let completions = link.take_new_completions(reports);
        let sequence = link.sequence();
        self.apply_completions(worker, &completions, now, output);
        self.send_request(worker, WorkerRequest::Poll(sequence), output);
    }

    /// Reports completions to the queue, together with the orphans.
    fn apply_completions(
        &mut self,
        worker: &WorkerId,
        completions: &[CompletionReport],
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let Some(link) = self
            .links
            .get_mut(worker)
            .filter(|_| !completions.is_empty())
        else {
            return;
        };
        for report in completions {
            link.unconfirmed_stops.remove(&report.name);
        }
        let report = WorkerReport {
            running: link.orphans.clone(),
            completions: completions.iter().map(attempt_result).collect(),
            ..WorkerReport::default()
        };
        let event = TaskEvent::WorkerReported(worker.clone(), report);
        self.apply(event, now, output);
        self.prune_orphans(worker);
    }

    /// Reports the usage, the new completions and the orphans to the queue.
    fn apply_sync_report(
        &mut self,
        worker: &WorkerId,
        report: SyncReport,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        link.reset_failures();
        let completions = link.take_new_completions(report.completions);
        for report in &completions {
            link.unconfirmed_stops.remove(&report.name);
        }
        let report = WorkerReport {
            running: link.orphans.clone(),
            usage: report.usage,
            completions: completions.iter().map(attempt_result).collect(),
        };
        let event = TaskEvent::WorkerReported(worker.clone(), report);
        self.apply(event, now, output);
        self.prune_orphans(worker);
    }

    /// Counts a failed exchange and reports the worker to the queue once it is
    /// unresponsive.
    fn record_exchange_failure(
        &mut self,
        worker: &WorkerId,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let link = self.links.get_mut(worker);
        if link.is_some_and(WorkerLink::record_failure) {
            log::warn!("worker {worker} does not respond");
            self.apply(TaskEvent::WorkerUnresponsive(worker.clone()), now, output);
        }
    }
}

impl WorkerResponse {
    /// Returns whether the worker rejected the request because it has seen a higher
    /// epoch.
    const fn is_fenced(&self) -> bool {
        match self {
            Self::Claimed(WorkerOutcome::Rejected(reason))
            | Self::StartAnswered(_, WorkerOutcome::Rejected(reason))
            | Self::StopAnswered(_, WorkerOutcome::Rejected(reason))
            | Self::Adjusted(WorkerOutcome::Rejected(reason))
            | Self::Synced(WorkerOutcome::Rejected(reason))
            | Self::Polled(WorkerOutcome::Rejected(reason)) => {
                matches!(reason, RejectReason::Fenced)
            }
            _ => false,
        }
    }
}

fn attempt_result(report: &CompletionReport) -> (TaskId, Attempt, bool) {
    let succeeded = report.end == AttemptEnd::Succeeded;
    (report.name.task, report.name.attempt, succeeded)
}
