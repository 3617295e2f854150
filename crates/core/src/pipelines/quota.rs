//! Jobs beyond the rate of their team, and tasks that wait for its cap.
//!
//! Load pattern: one team sends many times its usual load, or its cap is lowered below what it
//! has running. Its tasks beyond the cap wait and take part in no search for workers, so that they
//! delay no other team.

use std::{sync::Arc, time::Duration};

use super::{
    messages::{PipelineAction, PipelineNote},
    spec::{PipelineId, PipelineSpec, RunKey, StepKey, StepSpec},
    state::PipelineState,
    wait::StepWait,
    worker::WorkerRun,
};
use crate::{
    quotas::{QuotaChange, QuotaLedger},
    teams::TeamTable,
    types::WorkerId,
};

impl PipelineState {
    /// Sets the terms of the teams.
    pub(super) fn change_teams(&mut self, teams: Arc<TeamTable>) {
        let are_first = self.teams.is_empty();
        self.teams = teams;
        self.quotas.set_caps(&self.teams);
        if are_first {
            self.assess_known_jobs();
        }
        self.is_placement_due = true;
    }

    /// Finds out which jobs are beyond the rates of their teams. A takeover reads the jobs before the
    /// terms are known.
    fn assess_known_jobs(&mut self) {
        let known = self.pipelines.iter();
        let mut known: Vec<(u64, PipelineId)> = known
            .map(|(id, record)| (record.spec.accepted_unix_ms, *id))
            .collect();
        known.sort_unstable();
        for (_, id) in known {
            let spec = self
                .pipelines
                .get(&id)
                .map(|record| Arc::clone(&record.spec));
            let is_excess = spec.is_some_and(|spec| self.is_beyond_rate(&spec));
            match self.pipelines.get_mut(&id) {
                Some(record) if is_excess => {
                    record.timing.is_excess = true;
                    self.refresh_pipeline(id);
                }
                _ => {}
            }
        }
    }

    /// Returns whether a new job is beyond the rate of its team.
    pub(super) fn is_beyond_rate(&mut self, spec: &PipelineSpec) -> bool {
        let team = spec.team.as_ref();
        let terms = team.and_then(|team| Some((team, self.teams.get(team)?)));
        let is_excess = terms.is_some_and(|(team, terms)| {
            self.rates.record(team, spec.accepted_unix_ms, terms.weight)
        });
        if is_excess {
            let team = team.cloned();
            let queue = spec.policy.queue.clone();
            self.actions.extend(
                team.map(|team| PipelineAction::Log(PipelineNote::JobBeyondRate { team, queue })),
            );
        }
        is_excess
    }

    /// Enforces the caps of teams by a ledger, which counts the runs that are added from now on.
    pub fn enforce_quotas(&mut self, ledger: QuotaLedger) {
        self.quotas = ledger;
    }

    /// Returns the ledger of the caps of teams.
    #[must_use]
    pub const fn quotas(&self) -> &QuotaLedger {
        &self.quotas
    }

    /// Returns the next change of the allotments of teams, unless one is pending or none is due.
    pub fn next_quota_change(&mut self, now: Duration) -> Option<QuotaChange> {
        self.quotas.next_change(now)
    }

    /// Adds a run to a worker, and counts it towards the cap of its team.
    pub(super) fn insert_run(&mut self, worker: &WorkerId, key: RunKey, mut run: WorkerRun) {
        let pipeline = self.pipelines.get(&key.task.step.pipeline);
        run.team = pipeline.and_then(|pipeline| pipeline.spec.team.clone());
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        self.quotas.charge(run.team.as_ref(), &run.demand);
        if let Some(former) = record.insert_run(key, run) {
            self.quotas.release(former.team.as_ref(), &former.demand);
        }
    }

    /// Removes a run from a worker, and from what counts towards the cap of its team.
    pub(super) fn remove_run(&mut self, worker: &WorkerId, key: RunKey) -> Option<WorkerRun> {
        let run = self.workers.get_mut(worker)?.remove_run(key)?;
        self.quotas.release(run.team.as_ref(), &run.demand);
        Some(run)
    }

    /// Removes the tasks from `waiting` that the cap of the team does not admit now, and returns
    /// their number. A gang starts only as a whole.
    pub(super) fn limit_by_quota(
        &mut self,
        spec: &PipelineSpec,
        step_spec: &StepSpec,
        waiting: &mut Vec<u32>,
    ) -> usize {
        let team = spec.team.as_ref();
        let demand = &step_spec.demand;
        let count = waiting.len();
        let admitted = match self.quotas.admit(team, demand, count) {
            admitted if step_spec.gang && admitted < count => 0,
            admitted => admitted,
        };
        waiting.truncate(admitted);
        let capped = count - admitted;
        if capped > 0 {
            self.quotas.add_lacking(team, demand, capped as u64);
        }
        capped
    }

    /// Logs a step of which `capped` tasks wait for the cap of their team.
    pub(super) fn log_capped_step(
        &mut self,
        key: StepKey,
        capped: usize,
        are_all_capped: bool,
        now: Duration,
    ) {
        self.record_wait(key, !are_all_capped, now);
        if self.is_wait_log_due(key, now) {
            let wait = StepWait {
                capped_tasks: capped,
                waiting_tasks: capped,
                lost_tasks: self.lost_tasks(key).count(),
                ..StepWait::default()
            };
            self.log_wait(key, wait, now);
            let team = self.pipelines.get(&key.pipeline);
            let team = team.and_then(|pipeline| pipeline.spec.team.clone());
            let usage = self.quotas.usage();
            let usage = team.and_then(|team| usage.into_iter().find(|(other, _)| **other == team));
            if let Some((team, usage)) = usage.map(|(team, usage)| (team.clone(), usage)) {
                self.log_note(PipelineNote::TeamCapped { team, usage });
            }
        }
    }
}
