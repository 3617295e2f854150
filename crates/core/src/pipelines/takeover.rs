//! The runs that earlier owners of the service have placed, and how long they are kept on workers
//! that this owner has not reached.

use std::time::Duration;

use super::{
    messages::{PipelineAction, PipelineNote},
    progress::{PipelineProgress, TaskPlace},
    schedule::UNCONFIRMED_RENEWAL_TIME,
    spec::{PipelineId, PipelineSpec, RunKey, StepKey, TaskKey},
    state::PipelineState,
    worker::{FORMER_ORDER_TIME, RunPhase, WorkerContact, WorkerRun},
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
    /// Returns the time by which the runs placed by the previous owner have ended on a worker that
    /// this owner has not reached. Its instance may hold runs until `former_orders_until` by orders
    /// for a former one.
    pub(super) fn predecessor_runs_until(&self, former_orders_until: Duration) -> Duration {
        let latest = self.taken_over_at + MAX_PREDECESSOR_TIME;
        let ended_at = self.predecessors_ended_at.unwrap_or(latest);
        let longest = ended_at + lapse_time(self.config.max_lease);
        let granted = ended_at + lapse_time(self.config.inherited_lease);
        granted.max(former_orders_until.min(longest))
    }

    /// Returns the time by which a lease has lapsed that orders for a former instance have granted to
    /// one that began at this time, as an owner has met it by then.
    fn former_orders_until(&self, started_ms: Option<u64>, now: Duration) -> Duration {
        let Some(started_ms) = started_ms else {
            return Duration::ZERO;
        };
        let age = Duration::from_millis(self.wall_ms.saturating_sub(started_ms));
        match FORMER_ORDER_TIME + self.config.max_lease {
            longest if age < longest => now + lapse_time(longest.saturating_sub(age)),
            _ => Duration::ZERO,
        }
    }

    /// Keeps the inherited runs of a worker that this owner has not reached for as long as the
    /// instance in its entry may hold them.
    pub(super) fn keep_runs_of_young_instance(
        &mut self,
        worker: &WorkerId,
        started_ms: Option<u64>,
        now: Duration,
    ) {
        let former_orders_until = self.former_orders_until(started_ms, now);
        let inherited_until = self.predecessor_runs_until(former_orders_until);
        match self.workers.get_mut(worker) {
            Some(record) if record.instance.is_none() && former_orders_until > Duration::ZERO => {
                record.former_orders_until = former_orders_until;
                record.inherited_until = record.inherited_until.max(inherited_until);
            }
            _ => {}
        }
    }

    /// Shortens the wait for workers that this owner has not reached, as no earlier owner has
    /// renewed their leases since the given time.
    pub(super) fn end_predecessors(&mut self, ended_at: Duration) {
        self.predecessors_ended_at = Some(ended_at);
        let unreached = self
            .workers
            .iter()
            .filter(|(_, record)| record.instance.is_none());
        let limits = unreached.map(|(worker, record)| {
            let until = self.predecessor_runs_until(record.former_orders_until);
            (WorkerId::clone(worker), until)
        });
        let limits: Vec<(WorkerId, Duration)> = limits.collect();
        for (worker, until) in limits {
            if let Some(record) = self.workers.get_mut(&worker) {
                record.inherited_until = record.inherited_until.min(until);
            }
        }
    }

    /// Adds the runs that a previous owner placed. They occupy their workers until
    /// their ends are known.
    pub(super) fn inherit_runs(
        &mut self,
        id: PipelineId,
        spec: &PipelineSpec,
        progress: &PipelineProgress,
        now: Duration,
    ) {
        let inherited_until = self.predecessor_runs_until(Duration::ZERO);
        for (occurrence, steps) in &progress.occurrences {
            for ((step, step_progress), step_spec) in (0..).zip(steps).zip(&spec.steps) {
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
                    self.ensure_worker(worker, inherited_until, now)
                        .insert_run(run, WorkerRun::new(step_spec, RunPhase::Inherited, now));
                }
            }
        }
    }

    /// Logs the workers with runs of an earlier owner that have not answered, once each.
    pub(super) fn log_unreached_workers(&mut self, now: Duration) {
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
                };
                self.actions.push(PipelineAction::Log(note));
            }
        }
    }
}
