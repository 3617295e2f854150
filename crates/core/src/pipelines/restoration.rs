//! Long-running tasks that have lost their run: they precede the queue, and workers are held
//! for those that do not fit.
//!
//! Load pattern: short urgent jobs keep a service full, and a worker with long-running tasks
//! is lost. By their priority the tasks stand behind every arrival of the urgent queue, and the
//! capacity that short tasks release bit by bit is used before it is enough for them. What they
//! take is what they had before the loss, and other work keeps a share of the service.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use super::{
    advice::{PendingRequest, TicketCache},
    place::{PlaceCandidate, PlacementTable},
    progress::StepProgress,
    requests::SLOW_DECISION_MS,
    schedule::PlacementPass,
    search::StepSearch,
    spec::{AdvicePolicy, StepKey},
    state::PipelineState,
};
use crate::{instances::InstanceNumber, types::WorkerId};

/// Largest part of the workers that is held for lost tasks, in percent.
const HELD_WORKERS_PERCENT: usize = 10;

/// Maximum number of steps for which a pass holds workers. Each of them searches all workers.
const MAX_HOLDING_STEPS: usize = 32;

/// Smallest part of the CPU of a service that long-running tasks leave to other work while lost
/// tasks precede the queue, in percent.
const SHORT_WORK_PERCENT: u64 = 25;

/// Number of workers beside the held ones whose tickets are kept valid for a step, as one of
/// them may have room sooner.
const SPARE_WORKERS: usize = 3;

/// Maximum number of workers that a request for lost tasks names. Each of them delays the answer.
const MAX_WORKERS_PER_REQUEST: usize = 32;

/// Time beside that of the decision which an answer takes to arrive and to be used.
const ANSWER_TRANSIT_TIME: Duration = Duration::from_millis(200);

impl PipelineState {
    /// Places the lost tasks of the ready steps before the rest of the queue, and holds workers
    /// for those that do not fit.
    pub(super) fn restore_lost_tasks(&mut self, pass: &mut PlacementPass, now: Duration) {
        let lasting = self.ready.steps_of(|id| {
            let pipeline = self.pipelines.get(&id);
            pipeline.is_some_and(|pipeline| pipeline.timing.is_long_running)
        });
        let lost = lasting.into_iter();
        let lost: Vec<StepKey> = lost.filter(|key| self.has_lost_task(*key)).collect();
        for key in &lost {
            self.place_lost_tasks(*key, pass, now);
        }
        for key in &lost {
            self.hold_workers(*key, pass, now);
        }
    }

    /// Returns the waiting tasks of a step that lasts which had a run before.
    pub(super) fn lost_tasks(&self, key: StepKey) -> impl Iterator<Item = u32> {
        let pipeline = self.pipelines.get(&key.pipeline);
        let pipeline = pipeline.filter(|pipeline| pipeline.timing.is_long_running);
        let progress = pipeline.and_then(|pipeline| pipeline.progress.step(key));
        let step_spec = self.step_spec(key);
        let is_long_running = step_spec.is_some_and(|step_spec| step_spec.long_running);
        let progress = progress.filter(|_| is_long_running);
        progress.into_iter().flat_map(StepProgress::lost_tasks)
    }

    fn has_lost_task(&self, key: StepKey) -> bool {
        self.lost_tasks(key).next().is_some()
    }

    /// Places the lost tasks of a step as far as they fit.
    fn place_lost_tasks(&mut self, key: StepKey, pass: &mut PlacementPass, now: Duration) {
        let Some(record) = self.pipelines.get(&key.pipeline) else {
            return;
        };
        let spec = Arc::clone(&record.spec);
        let Some(step_spec) = spec.steps.get(key.step as usize) else {
            return;
        };
        let room = pass.table.room_for_lasting(step_spec, SHORT_WORK_PERCENT);
        let mut waiting: Vec<u32> = self.lost_tasks(key).collect();
        self.remove_paused_tasks(key, step_spec, &mut waiting, now);
        waiting.truncate(room);
        self.limit_by_quota(&spec, step_spec, &mut waiting);
        if waiting.is_empty() {
            return;
        }
        let search = StepSearch {
            probation_use: self.probation_use(key, step_spec, false, &pass.table, now),
            ..StepSearch::new(key, &spec, step_spec, now)
        };
        let placed_count = self.place_by_suspicion(&search, &waiting, pass);
        pass.placed_tasks += placed_count;
        if placed_count > 0 && self.has_lost_task(key) {
            self.record_wait(key, true, now);
        }
    }

    /// Holds a worker for each lost task of a step that does not fit, and keeps the tickets for
    /// them valid. A gang reserves its workers in the order of the queue.
    fn hold_workers(&mut self, key: StepKey, pass: &mut PlacementPass, now: Duration) {
        let Some(record) = self.pipelines.get(&key.pipeline) else {
            return;
        };
        let spec = Arc::clone(&record.spec);
        let step_spec = spec.steps.get(key.step as usize);
        let Some(step_spec) = step_spec.filter(|step| !step.gang) else {
            return;
        };
        let room = pass.table.room_for_lasting(step_spec, SHORT_WORK_PERCENT);
        let mut lost: Vec<u32> = self.lost_tasks(key).collect();
        self.remove_paused_tasks(key, step_spec, &mut lost, now);
        let count = lost.len().min(room);
        let team = spec.team.as_ref();
        let count = self.quotas.admit(team, &step_spec.demand, count);
        let limit = pass.table.open_count() * HELD_WORKERS_PERCENT / 100;
        let limit = limit.max(1);
        let is_limited = pass.held_workers >= limit || pass.held_steps.len() >= MAX_HOLDING_STEPS;
        if count == 0 || is_limited {
            return;
        }
        let search = StepSearch {
            probation_use: self.probation_use(key, step_spec, false, &pass.table, now),
            ..StepSearch::new(key, &spec, step_spec, now)
        };
        let candidates = self.rank_for_holding(&search, &pass.table);
        if let Some(policy) = spec.policy.advice {
            self.request_held_tickets(&search, policy, &candidates, count, pass);
        }
        let mut unheld_count = count;
        let mut held_workers = 0;
        for candidate in &candidates {
            if unheld_count == 0 || pass.held_workers >= limit {
                break;
            }
            // What is free beyond the demand of the tasks that fit is left to others.
            let fitting_count = candidate.fitting_tasks(step_spec).min(unheld_count);
            for _ in 0..fitting_count {
                pass.table.allocate(candidate.row_index, step_spec);
            }
            if fitting_count == 0 {
                pass.table.reserve_worker(candidate.row_index);
            }
            unheld_count -= fitting_count.max(1);
            held_workers += 1;
            pass.held_workers += 1;
        }
        pass.held_steps.insert(key, held_workers);
    }

    /// Returns the workers that may run a step once short tasks have ended there, those with the
    /// most free capacity first. With advice, they are the workers that are known to be allowed.
    fn rank_for_holding(
        &self,
        search: &StepSearch<'_>,
        table: &PlacementTable,
    ) -> Vec<PlaceCandidate> {
        let step_spec = search.step_spec;
        let task_allowance = |worker: &WorkerId| self.task_allowance(worker, search.key, step_spec);
        let mut candidates: Vec<PlaceCandidate> = if search.spec.policy.advice.is_none() {
            table
                .eligible(step_spec, search.probation_use, task_allowance)
                .collect()
        } else if let Some(cache) = self.ticket_caches.get(&search.key) {
            table
                .eligible_among(
                    cache.allowed(),
                    step_spec,
                    search.probation_use,
                    task_allowance,
                )
                .collect()
        } else {
            Vec::new()
        };
        // Other tasks that last, which do not end, may leave too little CPU for best-effort tasks.
        candidates.retain(|candidate| {
            let row = table.row(candidate);
            row.fitting_tasks_when_reclaimed(candidate, step_spec) > 0
        });
        candidates.sort_by_cached_key(|candidate| {
            (
                table.is_penalized(candidate),
                Reverse(candidate.fits(step_spec)),
                Reverse(table.free_share_permille(candidate)),
            )
        });
        candidates
    }

    /// Requests tickets for the first of the candidates before they expire, and for further
    /// workers if few are known to be allowed.
    fn request_held_tickets(
        &mut self,
        search: &StepSearch<'_>,
        policy: AdvicePolicy,
        candidates: &[PlaceCandidate],
        count: usize,
        pass: &mut PlacementPass,
    ) {
        let is_slow = policy.decision_ms >= SLOW_DECISION_MS;
        let unknown = TicketCache::default();
        let cache = self.ticket_caches.get(&search.key).unwrap_or(&unknown);
        if !pass.requests.has_room(is_slow) || !cache.can_begin_request(search.now) {
            return;
        }
        let needed = (count + SPARE_WORKERS).min(MAX_WORKERS_PER_REQUEST);
        let named = candidates.iter().take(needed);
        let named = named.map(|candidate| pass.table.row(candidate));
        let named: Vec<(WorkerId, InstanceNumber)> = named
            .map(|row| (WorkerId::clone(&row.worker), row.instance))
            .collect();
        let worker_count = u32::try_from(named.len()).unwrap_or(u32::MAX);
        let decision_ms = policy.decision_ms + policy.per_worker_ms * f64::from(worker_count);
        let lead = Duration::from_secs_f64(decision_ms.max(0.0) / 1_000.0) + ANSWER_TRANSIT_TIME;
        let expires_at = search.now + lead;
        let mut held = named.iter().take(count);
        let is_due = held.any(|(_, instance)| cache.ticket(*instance, expires_at).is_none());
        let mut workers = if is_due { named } else { Vec::new() };
        if candidates.len() < needed {
            let missing = needed - candidates.len();
            let further = self.workers_for_advice(search, cache, missing, true, &pass.table);
            let further = further
                .into_iter()
                .filter(|(_, instance)| !cache.is_allowed(*instance));
            workers.extend(further);
        }
        if !workers.is_empty() {
            let request = PendingRequest {
                is_slow,
                is_early: false,
            };
            pass.requests.count(request);
            self.begin_request(search, policy, request, workers);
        }
    }
}
