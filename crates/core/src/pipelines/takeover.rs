//! The runs that earlier owners of the service have placed, and how long they are kept on workers
//! that this owner has not reached.

use std::time::Duration;

use super::{
    messages::{PipelineAction, PipelineNote},
    progress::TaskPlace,
    schedule::UNCONFIRMED_RENEWAL_TIME,
    spec::{PipelineId, RunKey, StepKey, TaskKey},
    state::PipelineState,
    worker::{OrderLimits, RunPhase, WorkerContact, WorkerRun},
};
use crate::{instances::lapse_time, types::WorkerId};

/// Time after a takeover for which an earlier owner without witnesses may still extend leases: the
/// term of its lease in the store, which may have been revoked early, and the time without the
/// store.
pub const MAX_PREDECESSOR_TIME: Duration =
    Duration::from_secs(3).saturating_add(UNCONFIRMED_RENEWAL_TIME);

/// Time without an answer after which the log says that a worker has not been reached.
const UNREACHED_LOG_DELAY: Duration = Duration::from_secs(1);

impl PipelineState {
    /// Returns the bounds of the leases that orders for other instances have granted. They follow from
    /// the order of events on this host only: an age by the time of day of another host would end a
    /// lease early when a clock is set.
    pub(super) fn order_limits(&self) -> OrderLimits {
        let latest = self.taken_over_at + MAX_PREDECESSOR_TIME;
        OrderLimits {
            max_lease: self.config.max_lease,
            predecessors_end: self.predecessors_ended_at.unwrap_or(latest),
        }
    }

    /// Returns the time by which the runs of earlier owners whose holder is known have ended on a
    /// worker that this owner has not reached.
    pub(super) fn inherited_until(&self) -> Duration {
        self.order_limits().predecessors_end + lapse_time(self.config.inherited_lease)
    }

    /// Shortens the wait for workers that this owner has not reached, as no earlier owner has
    /// renewed their leases since the given time.
    pub(super) fn end_predecessors(&mut self, ended_at: Duration) {
        self.predecessors_ended_at = Some(ended_at);
        let inherited_until = self.inherited_until();
        let records = self.workers.values_mut();
        for record in records.filter(|record| record.instance.is_none()) {
            record.inherited_until = record.inherited_until.min(inherited_until);
        }
    }

    /// Adds the runs of a job that a previous owner placed. They occupy their workers until
    /// their ends are known.
    pub(super) fn inherit_runs(&mut self, id: PipelineId, now: Duration) {
        let inherited_until = self.inherited_until();
        let Some(record) = self.pipelines.get(&id) else {
            return;
        };
        let mut inherited = Vec::new();
        for (occurrence, steps) in &record.progress.occurrences {
            for ((step, step_progress), step_spec) in (0..).zip(steps).zip(&record.spec.steps) {
                let tasks = (0..).zip(&step_progress.tasks);
                for (index, task) in tasks {
                    let TaskPlace::Placed(worker) = &task.place else {
                        continue;
                    };
                    let step = StepKey {
                        pipeline: id,
                        occurrence: *occurrence,
                        step,
                    };
                    let run = RunKey {
                        task: TaskKey { step, index },
                        attempt: task.attempt,
                    };
                    let mut entry = WorkerRun::new(step_spec, RunPhase::Inherited, now);
                    entry.holder = task.holder;
                    inherited.push((WorkerId::clone(worker), run, entry));
                }
            }
        }
        for (worker, run, entry) in inherited {
            self.ensure_worker(&worker, inherited_until, now);
            self.insert_run(&worker, run, entry);
        }
    }

    /// Logs the workers with runs of an earlier owner that have not answered, once each.
    pub(super) fn log_unreached_workers(&mut self, now: Duration) {
        let limits = self.order_limits();
        let have_predecessors_ended = self.predecessors_ended_at.is_some();
        for (worker, record) in &mut self.workers {
            let is_unreached = record.contact == WorkerContact::Unclaimed
                && !record.runs.is_empty()
                && now >= record.answered_at + UNREACHED_LOG_DELAY;
            if is_unreached && !record.is_unreached_logged {
                record.is_unreached_logged = true;
                let note = PipelineNote::WorkerUnreached {
                    worker: WorkerId::clone(worker),
                    runs: record.runs.len(),
                    long_running: record.long_running_count(),
                    have_predecessors_ended,
                    lapses_in: record.lapses_at().saturating_sub(now),
                    unlocated: record.unlocated_count(),
                    unlocated_lapse_in: record.last_run_lapses_at(limits).saturating_sub(now),
                };
                self.actions.push(PipelineAction::Log(note));
            }
        }
    }
}
