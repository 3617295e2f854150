//! What an owner tells operators about its service: numbers for the metrics, and lines for the dump.

use super::state::PipelineState;
use crate::{quotas::TeamUsage, teams::TeamTerms};

/// Numbers of jobs, runs and workers of a service, for metrics and the dump.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PipelineLoad {
    /// Number of jobs that are not retired.
    pub pipelines: u64,
    /// Number of steps that may be placed and have waiting tasks.
    pub ready_steps: u64,
    /// Number of runs that may be on workers.
    pub runs: u64,
    /// Number of known workers, including those that were removed from the registry
    /// but may still have runs.
    pub workers: u64,
    /// Number of workers on which tasks may be placed.
    pub claimed_workers: u64,
    /// Number of jobs with changes that no commit contains yet.
    pub dirty: u64,
    /// Number of workers that placement passes have examined for a step, in all passes of
    /// this owner.
    pub examined_candidates: u64,
    /// Number of times that the readiness and the rank of a step were updated.
    pub refreshed_steps: u64,
    /// Number of ready steps that placement passes have dealt with.
    pub visited_steps: u64,
    /// Number of runs that this owner has stopped for urgent work.
    pub preempted_runs: u64,
    /// Number of steps that are deferred, as not all waiting steps can be in time.
    pub deferred_steps: u64,
    /// Number of tasks that have failed three times in a row or more, within moments of their starts.
    pub failing_tasks: u64,
    /// Number of workers that get one run at a time, as runs of several jobs have failed there.
    pub workers_on_probation: u64,
}

impl PipelineState {
    /// Returns the numbers of jobs, runs and workers.
    #[must_use]
    pub fn load(&self) -> PipelineLoad {
        let claimed = self
            .workers
            .values()
            .filter(|record| record.can_accept_tasks());
        let on_probation = self.workers.values().filter(|record| {
            let instance = record.instance.as_ref();
            instance.is_some_and(|instance| instance.reliability.is_on_probation())
        });
        PipelineLoad {
            pipelines: self.pipelines.len() as u64,
            ready_steps: self.ready.len() as u64,
            runs: self
                .workers
                .values()
                .map(|record| record.runs.len() as u64)
                .sum(),
            workers: self.workers.len() as u64,
            claimed_workers: claimed.count() as u64,
            dirty: self.dirty.len() as u64,
            examined_candidates: self.examined_candidates,
            refreshed_steps: self.refreshed_steps,
            visited_steps: self.visited_steps,
            preempted_runs: self.preemptions.total,
            deferred_steps: self.scarcity.deferred.len() as u64,
            failing_tasks: self.count_failing_tasks(),
            workers_on_probation: on_probation.count() as u64,
        }
    }

    /// Returns one line for each job, each worker and each team, for the dump.
    #[must_use]
    pub fn describe(&self) -> Vec<String> {
        let jobs = self.pipelines.iter().map(|(id, record)| {
            let phase = record.progress.phase.name();
            let queue = &record.spec.policy.queue;
            let progress = &record.progress.occurrences;
            let ready = record.ready.keys().map(|key| match self.waits.get(key) {
                Some(wait) => format!("{key} {wait}"),
                None => key.to_string(),
            });
            let ready: Vec<String> = ready.collect();
            let failing = self.describe_failing_tasks(*id);
            format!(
                "job {id:016x} {queue} {phase} ready {ready:?} failing {failing:?} progress {progress:?}"
            )
        });
        let workers = self.workers.iter().map(|(worker, record)| {
            let (contact, used) = (record.contact, record.used);
            let runs: Vec<String> = record.runs.keys().map(|run| run.task.to_string()).collect();
            let instance = record.instance.as_ref();
            let standing = instance.map(|instance| instance.reliability.standing());
            format!("worker {worker} {contact:?} {standing:?} used {used:?} runs {runs:?}")
        });
        let teams = self.teams.iter().map(|(team, terms)| {
            let TeamTerms { weight, cap } = terms;
            let excess = self.pipelines.values().filter(|pipeline| {
                pipeline.timing.is_excess && pipeline.spec.team.as_ref() == Some(team)
            });
            let excess = excess.count();
            format!("team {team} weight {weight} cap {cap:?} jobs beyond its rate {excess}")
        });
        let usage = self.quotas.usage().map(|(team, usage)| {
            let TeamUsage {
                used,
                allotted,
                lacking,
                ..
            } = usage;
            format!("quota {team} used {used:?} allotted {allotted:?} lacking {lacking:?}")
        });
        jobs.chain(workers).chain(teams).chain(usage).collect()
    }
}
