//! What follows from the answers of workers.

use std::time::Duration;

use auburnsaddle_core::{Attempt, ReportedTask, TaskEvent, TaskId, WorkerId, WorkerReport};

use super::{
    link::{OpenExchange, WorkerLink},
    messages::{ClaimedWorker, PoolOutput, WorkerNews, WorkerRequest},
    pool::OwnedPool,
};
use crate::workers::{
    AttemptEnd, AttemptName, CompletionReport, RejectReason, SyncReport, WorkerOutcome,
};

impl OwnedPool {
    /// Applies the answer of a worker.
    pub(super) fn note_news(
        &mut self,
        worker: &WorkerId,
        news: WorkerNews,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        if news.is_fenced() {
            output.fenced.push((self.shard.clone(), self.epoch));
            return;
        }
        if !self.links.contains_key(worker) {
            return;
        }
        match news {
            WorkerNews::Claimed(outcome) => self.claimed(worker, outcome, now, output),
            WorkerNews::StartAnswered(name, outcome) => {
                self.start_answered(worker, name, &outcome, now, output);
            }
            WorkerNews::StopAnswered(name, outcome) => self.stop_answered(worker, name, &outcome),
            WorkerNews::Adjusted(_) => {}
            WorkerNews::Synced(outcome) => self.synced(worker, outcome, now, output),
            WorkerNews::Polled(outcome) => self.polled(worker, outcome, now, output),
        }
        self.send_claims(now, output);
    }

    fn claimed(
        &mut self,
        worker: &WorkerId,
        outcome: WorkerOutcome<ClaimedWorker>,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        link.open.remove(&OpenExchange::Claim);
        if let WorkerOutcome::Admitted(claimed) = outcome {
            link.claimed = true;
            link.claim_due = false;
            link.note_answer();
            link.reset_sequence();
            self.adopt(worker, claimed, now, output);
        } else {
            self.failed(worker, now, output);
        }
        self.send_held(worker, output);
    }

    /// Passes on what ended before what runs, so that a task which ended while
    /// no owner listened is not queued again.
    fn adopt(
        &mut self,
        worker: &WorkerId,
        claimed: ClaimedWorker,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let ended = claimed.sync.completions.iter();
        let ended: Vec<_> = ended.map(|report| report.name).collect();
        self.reported(worker, claimed.sync, now, output);
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
        self.forget_adopted(worker);
    }

    /// Keeps as orphans what belongs to no present attempt.
    fn forget_adopted(&mut self, worker: &WorkerId) {
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

    fn start_answered(
        &mut self,
        worker: &WorkerId,
        name: AttemptName,
        outcome: &WorkerOutcome<()>,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        if let Some(link) = self.links.get_mut(worker) {
            link.starts_sent = link.starts_sent.saturating_sub(1);
        }
        let AttemptName { task, attempt } = name;
        let event = match outcome {
            WorkerOutcome::Admitted(()) => TaskEvent::StartAccepted(task, attempt),
            WorkerOutcome::Rejected(_) => TaskEvent::StartRejected(task, attempt),
            WorkerOutcome::Unknown(_) => TaskEvent::StartUnknown(task, attempt),
        };
        self.apply(event, now, output);
    }

    /// Forgets a stop that arrived, unless the task has still not ended: the
    /// stop may have overtaken the start.
    fn stop_answered(
        &mut self,
        worker: &WorkerId,
        name: AttemptName,
        outcome: &WorkerOutcome<bool>,
    ) {
        let stopping = self.attempt_of(name.task) == Some(name)
            && self
                .queue
                .tasks_on(worker)
                .is_some_and(|tasks| tasks.contains(&name.task));
        let arrived = matches!(outcome, WorkerOutcome::Admitted(_));
        if let Some(link) = self.links.get_mut(worker)
            && arrived
            && !stopping
        {
            link.stops.remove(&name);
        }
    }

    fn synced(
        &mut self,
        worker: &WorkerId,
        outcome: WorkerOutcome<SyncReport>,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        if let Some(link) = self.links.get_mut(worker) {
            link.open.remove(&OpenExchange::Sync);
        }
        match outcome {
            WorkerOutcome::Admitted(report) => self.reported(worker, report, now, output),
            _ => self.failed(worker, now, output),
        }
    }

    fn polled(
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
            // The worker may have restarted without what it ran.
            link.open.remove(&OpenExchange::Poll);
            link.claim_due = true;
            return;
        };
        let completions = link.take_new(reports);
        let sequence = link.sequence();
        self.end_attempts(worker, &completions, now, output);
        self.send(worker, WorkerRequest::Poll(sequence), output);
    }

    /// Passes on completions with what else the worker is known to run.
    fn end_attempts(
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
            link.stops.remove(&report.name);
        }
        let report = WorkerReport {
            running: link.orphans.clone(),
            completions: completions.iter().map(attempt_result).collect(),
            ..WorkerReport::default()
        };
        let event = TaskEvent::WorkerReported(worker.clone(), report);
        self.apply(event, now, output);
        self.forget_adopted(worker);
    }

    fn reported(
        &mut self,
        worker: &WorkerId,
        report: SyncReport,
        now: Duration,
        output: &mut PoolOutput,
    ) {
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        link.note_answer();
        let completions = link.take_new(report.completions);
        for report in &completions {
            link.stops.remove(&report.name);
        }
        let report = WorkerReport {
            running: link.orphans.clone(),
            usage: report.usage,
            completions: completions.iter().map(attempt_result).collect(),
        };
        let event = TaskEvent::WorkerReported(worker.clone(), report);
        self.apply(event, now, output);
        self.forget_adopted(worker);
    }

    fn failed(&mut self, worker: &WorkerId, now: Duration, output: &mut PoolOutput) {
        let link = self.links.get_mut(worker);
        if link.is_some_and(WorkerLink::note_failure) {
            log::warn!("worker {worker} does not respond");
            self.apply(TaskEvent::WorkerUnresponsive(worker.clone()), now, output);
        }
    }
}

impl WorkerNews {
    /// Tells whether the worker has seen a newer owner.
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
