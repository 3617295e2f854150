//! Tests of the order of teams while a service is full.

use std::sync::Arc;

use super::fixtures::{OwnerFixture, WALL_MS, job, owner_of_workers, step};
use crate::{PipelineEvent, PipelineId, PipelineSpec, StartOrder, TeamTable, TeamTerms};

/// Returns the terms of two teams that may submit two jobs a second each.
fn two_teams() -> Arc<TeamTable> {
    let terms = TeamTerms {
        weight: 2,
        ..TeamTerms::default()
    };
    Arc::new(TeamTable::from([
        ("hot".into(), terms),
        ("calm".into(), terms),
    ]))
}

/// Returns a job of a team that was accepted this many ms after the start.
fn team_job(team: &str, offset_ms: u64, priority: u32) -> PipelineSpec {
    let mut spec = job(vec![step(4)]);
    spec.team = Some(team.into());
    spec.accepted_unix_ms = WALL_MS + offset_ms;
    spec.policy.priority = priority;
    spec
}

/// Adds jobs without a placement pass.
fn add_jobs(owner: &mut OwnerFixture, jobs: Vec<(PipelineId, PipelineSpec)>) {
    for (id, spec) in jobs {
        owner.handle_event(PipelineEvent::Stored(id, Arc::new(spec), None));
    }
}

/// Returns the jobs of the starts, in their order.
fn started_jobs(starts: &[StartOrder]) -> Vec<PipelineId> {
    let mut jobs: Vec<PipelineId> = starts
        .iter()
        .map(|start| start.run.task.step.pipeline)
        .collect();
    jobs.dedup();
    jobs
}

/// Returns jobs of a team that sends three times its rate, and one of a team that keeps to its own.
fn hot_and_calm_jobs() -> Vec<(PipelineId, PipelineSpec)> {
    let hot = (1..=6).map(|id| (id, team_job("hot", id * 10, 0)));
    let calm = (7, team_job("calm", 100, 1));
    hot.chain([calm]).collect()
}

/// Guards against a team that sends many times its usual load and delays the jobs of all others.
#[test]
fn jobs_beyond_the_rate_of_their_team_wait_behind_other_teams() {
    let mut owner = owner_of_workers(3);
    owner.handle_event(PipelineEvent::TeamsChanged(two_teams()));

    add_jobs(&mut owner, hot_and_calm_jobs());
    let starts = owner.start_all();

    // Three jobs fit: two within the rate of the hot team, and that of the other one.
    let mut started = started_jobs(&starts);
    started.sort_unstable();
    assert_eq!(started, [1, 2, 7]);
}

/// Guards against a successor that puts all jobs of a hot team first, as it reads the jobs before it
/// knows the terms of the teams.
#[test]
fn a_successor_knows_which_jobs_are_beyond_the_rate() {
    let mut owner = owner_of_workers(3);

    add_jobs(&mut owner, hot_and_calm_jobs());
    owner.handle_event(PipelineEvent::TeamsChanged(two_teams()));
    let starts = owner.start_all();

    let mut started = started_jobs(&starts);
    started.sort_unstable();
    assert_eq!(started, [1, 2, 7]);
}

/// Guards against jobs beyond the rate that wait although there is room.
#[test]
fn jobs_beyond_the_rate_run_while_there_is_room() {
    let mut owner = owner_of_workers(20);
    owner.handle_event(PipelineEvent::TeamsChanged(two_teams()));

    add_jobs(&mut owner, hot_and_calm_jobs());
    let starts = owner.start_all();

    assert_eq!(started_jobs(&starts).len(), 7);
}
