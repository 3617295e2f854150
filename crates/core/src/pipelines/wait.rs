//! Steps whose tasks wait, and the log entries that say why.
//!
//! The owner logs what it does with a step. A step that it never places would
//! otherwise leave no trace.

use std::{fmt, time::Duration};

use super::{
    advice::TicketCache, messages::PipelineNote, place::PlacementTable, search::StepSearch,
    spec::StepKey, state::PipelineState,
};
use crate::types::WorkerId;

/// Waiting time after which a step is logged, and time between two log entries of a step.
const STEP_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time between the log entries of two steps.
const OWNER_LOG_INTERVAL: Duration = Duration::from_millis(100);

/// What a placement pass found about a step that still has waiting tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepWait {
    /// Time since the step became ready or a task of it was placed.
    pub waited: Duration,
    /// Whether the pass skipped the step, as many steps of its queue before it were left
    /// unplaced. The numbers of tasks and workers are zero then.
    pub is_skipped: bool,
    /// Number of tasks that wait.
    pub waiting_tasks: usize,
    /// Number of these tasks that the cap of their team does not admit.
    pub capped_tasks: usize,
    /// Number of these tasks that had a run before.
    pub lost_tasks: usize,
    /// Number of workers that are held for tasks of the step that lasts and had a run before.
    pub held: usize,
    /// Number of ready steps that the pass has dealt with before the step.
    pub steps_before: usize,
    /// Number of tasks of these steps that it placed.
    pub placed_before: usize,
    /// Number of workers with the required label that accept tasks.
    pub labelled: usize,
    /// Free part of the CPU of the workers with the required label, in percent.
    pub labelled_free_percent: u64,
    /// Number of workers that the advice service allows and on which a task would fit beside the
    /// long-running tasks alone, but on which none fits now.
    pub allowed_full: usize,
    /// Number of workers on which a task fits and may be placed.
    pub fitting: usize,
    /// Number of these workers with a usable ticket.
    pub ticketed: usize,
    /// Number of these workers that the advice service allows, usable ticket or not.
    pub allowed: usize,
    /// Number of these workers that the advice service refused.
    pub refused: usize,
    /// Number of further workers on which a task fits, but which are left free for urgent
    /// jobs or are not proven.
    pub withheld: usize,
    /// Number of withheld workers that are left unused as they are not proven.
    pub withheld_unproven: usize,
    /// Number of workers on probation, whether or not the step may use them.
    pub on_probation: usize,
    /// Number of withheld workers with a usable ticket.
    pub withheld_ticketed: usize,
    /// Number of advice requests that were sent for the step.
    pub requests: u32,
    /// Number of these requests that failed.
    pub failed_requests: u32,
    /// Time since the pending advice request of the step was sent, if there is one.
    pub request_age: Option<Duration>,
    /// Number of pending advice requests of all steps.
    pub pending_requests: usize,
}

/// Since when a step waits, and when it is logged next.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitRecord {
    since: Duration,
    log_due: Duration,
}

impl WaitRecord {
    const fn new(now: Duration) -> Self {
        Self {
            since: now,
            log_due: now.saturating_add(STEP_LOG_INTERVAL),
        }
    }
}

impl fmt::Display for WaitRecord {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "waits since {:?}", self.since)
    }
}

impl PipelineState {
    /// Records that a pass left tasks of a step waiting. `has_progress` tells whether it
    /// placed others.
    pub(super) fn record_wait(&mut self, key: StepKey, has_progress: bool, now: Duration) {
        let record = self
            .waits
            .entry(key)
            .or_insert_with(|| WaitRecord::new(now));
        if has_progress {
            *record = WaitRecord::new(now);
        }
    }

    /// Returns the time since the step became ready or a task of it was placed, as far as passes
    /// have left it waiting.
    pub(super) fn waited_time(&self, key: StepKey, now: Duration) -> Duration {
        let record = self.waits.get(&key);
        record.map_or(Duration::ZERO, |record| now.saturating_sub(record.since))
    }

    /// Returns whether a log entry about a waiting step is due.
    pub(super) fn is_wait_log_due(&self, key: StepKey, now: Duration) -> bool {
        let record = self.waits.get(&key);
        now >= self.wait_log_due && record.is_some_and(|record| now >= record.log_due)
    }

    /// Counts the workers on which a task of a step fits by what the advice service has
    /// answered about them.
    pub(super) fn describe_wait(
        &self,
        search: &StepSearch<'_>,
        table: &PlacementTable,
    ) -> StepWait {
        let unknown = TicketCache::default();
        let cache = self.ticket_caches.get(&search.key).unwrap_or(&unknown);
        let mut wait = StepWait {
            allowed_full: self.count_allowed_full(search, table, cache),
            on_probation: table.probation_count(),
            ..StepWait::default()
        };
        (wait.labelled, wait.labelled_free_percent) =
            table.free_percent_among(|worker| self.has_label(worker, search.step_spec));
        for candidate in self.fitting(search, table) {
            let row = table.row(&candidate);
            let is_ticketed = cache.ticket(row.instance, search.now).is_some();
            if search.may_use(row) {
                wait.fitting += 1;
                wait.ticketed += usize::from(is_ticketed);
                wait.allowed += usize::from(cache.is_allowed(row.instance));
                wait.refused += usize::from(cache.is_refused(row.instance));
            } else {
                wait.withheld += 1;
                let is_unproven = search.needs_proven() && !row.is_proven();
                wait.withheld_unproven += usize::from(is_unproven);
                wait.withheld_ticketed += usize::from(is_ticketed);
            }
        }
        wait
    }

    /// Returns the number of allowed workers that short tasks keep full for a step.
    fn count_allowed_full(
        &self,
        search: &StepSearch<'_>,
        table: &PlacementTable,
        cache: &TicketCache,
    ) -> usize {
        let task_allowance =
            |worker: &WorkerId| self.task_allowance(worker, search.key, search.step_spec);
        let allowed = table.eligible_among(
            cache.allowed(),
            search.step_spec,
            search.probation_use,
            task_allowance,
        );
        allowed
            .filter(|candidate| !candidate.fits(search.step_spec))
            .count()
    }

    /// Logs a waiting step. Adds the waiting time and the advice requests to `wait`.
    pub(super) fn log_wait(&mut self, key: StepKey, wait: StepWait, now: Duration) {
        let (Some(record), Some(pipeline)) =
            (self.waits.get_mut(&key), self.pipelines.get(&key.pipeline))
        else {
            return;
        };
        record.log_due = now + STEP_LOG_INTERVAL;
        self.wait_log_due = now + OWNER_LOG_INTERVAL;
        let cache = self.ticket_caches.get(&key);
        let wait = StepWait {
            waited: now.saturating_sub(record.since),
            requests: cache.map_or(0, TicketCache::request_count),
            failed_requests: cache.map_or(0, TicketCache::failure_count),
            request_age: cache.and_then(|cache| cache.request_age(now)),
            pending_requests: self.pending_requests.len(),
            ..wait
        };
        let queue = pipeline.spec.policy.queue.clone();
        self.log_note(PipelineNote::StepWaiting {
            step: key,
            queue,
            wait,
        });
    }
}
