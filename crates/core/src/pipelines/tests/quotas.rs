//! Tests of placement under the caps of teams.

use std::{collections::BTreeMap, sync::Arc};

use super::fixtures::{OwnerFixture, done, first_step, job, owner_of_workers, step};
use crate::{
    PipelineEvent, PipelineId, PipelineSpec, QuotaAllotment, QuotaLedger, QuotaOutcome,
    QuotaRecord, ResourceCap, ResourceVector, StartOrder, StepSpec, StoredQuota, TeamId, TeamTable,
    TeamTerms,
};

/// Returns the terms of a team that may use this many cores.
fn core_caps(cores: u64) -> TeamTable {
    let cap = ResourceCap {
        cpu_milli: Some(cores * 1_000),
        ..ResourceCap::default()
    };
    TeamTable::from([("red".into(), TeamTerms { weight: 1, cap })])
}

/// Returns the record in which the service of the fixtures has this many cores.
fn allotted_cores(cores: u64, revision: u64) -> BTreeMap<TeamId, StoredQuota> {
    let allotment = QuotaAllotment {
        allotted: ResourceVector::new(cores * 1_000, 0, 0),
        wanted: ResourceVector::default(),
    };
    let record = QuotaRecord {
        services: BTreeMap::from([("sales".into(), allotment)]),
    };
    BTreeMap::from([("red".into(), StoredQuota { record, revision })])
}

/// Returns an owner of ten workers whose team may use this many cores and has all of them allotted.
fn capped_owner(cores: u64) -> OwnerFixture {
    let mut owner = owner_of_workers(10);
    owner.state.enforce_quotas(QuotaLedger::new("sales".into()));
    owner.handle_event(PipelineEvent::TeamsChanged(Arc::new(core_caps(cores))));
    let number = owner.state.quotas().due_read().unwrap();
    let records = allotted_cores(cores, 5);
    owner.handle_event(PipelineEvent::QuotasRead(number, records));
    owner
}

/// Number of teams of the size to design for.
const TEAM_COUNT: usize = 340;

/// Returns the name of a team.
fn team_name(index: usize) -> TeamId {
    format!("team-{index}").into()
}

/// Returns how many workers an owner examines to place jobs of many teams, with or without caps.
fn examined_with_teams(has_caps: bool) -> u64 {
    let mut owner = owner_of_workers(100);
    if has_caps {
        owner.state.enforce_quotas(QuotaLedger::new("sales".into()));
        let terms = core_caps(8)["red"];
        let table = (0..TEAM_COUNT).map(|index| (team_name(index), terms));
        let table = Arc::new(table.collect());
        owner.handle_event(PipelineEvent::TeamsChanged(table));
        let number = owner.state.quotas().due_read().unwrap();
        let record = allotted_cores(8, 5)["red"].clone();
        let records = (0..TEAM_COUNT).map(|index| (team_name(index), record.clone()));
        let records = records.collect();
        owner.handle_event(PipelineEvent::QuotasRead(number, records));
    }
    for index in 0..TEAM_COUNT {
        let mut spec = job(vec![step(2)]);
        spec.team = has_caps.then(|| team_name(index));
        owner.submit(index as u64 + 1, spec);
    }
    owner.start_all();
    owner.state.load().examined_candidates
}

/// Returns a job of the team with this step.
fn red_job(step_spec: StepSpec) -> PipelineSpec {
    PipelineSpec {
        team: Some("red".into()),
        ..job(vec![step_spec])
    }
}

/// Returns the number of start orders for the first step of a job.
fn count_starts(starts: &[StartOrder], id: PipelineId) -> usize {
    let starts = starts.iter();
    starts
        .filter(|start| start.run.task.step == first_step(id))
        .count()
}

/// Failure: a team that sends many times its usual load uses more than its cap.
#[test]
fn a_team_gets_no_more_than_its_cap() {
    let mut owner = capped_owner(6);

    owner.submit(1, red_job(step(9)));
    owner.submit(2, job(vec![step(9)]));
    let starts = owner.start_all();

    assert_eq!(count_starts(&starts, 1), 6);
    assert_eq!(count_starts(&starts, 2), 9);
}

/// Failure: what a task has used is not returned to its team when it ends.
#[test]
fn an_ended_task_makes_room_for_the_next() {
    let mut owner = capped_owner(2);
    owner.submit(1, red_job(step(3)));
    let first = owner.start_all();

    let ended = vec![done(1, first[0].run)];
    owner.report(&first[0].worker, Vec::new(), ended);
    let second = owner.start_all();

    assert_eq!(count_starts(&first, 1), 2);
    assert_eq!(count_starts(&second, 1), 1);
}

/// Failure: some members of a gang are placed, and the cap does not admit the others.
#[test]
fn a_gang_that_exceeds_the_cap_is_not_placed_in_part() {
    let mut owner = capped_owner(4);
    let gang = StepSpec {
        gang: true,
        ..step(6)
    };

    owner.submit(1, red_job(gang));
    let starts = owner.start_all();

    assert_eq!(starts, Vec::new());
}

/// Failure: an owner does not ask for what the waiting tasks of a team lack.
#[test]
fn waiting_tasks_cause_a_change_of_the_allotment() {
    let mut owner = capped_owner(0);
    owner.handle_event(PipelineEvent::TeamsChanged(Arc::new(core_caps(8))));

    owner.submit(1, red_job(step(3)));
    let change = owner.state.next_quota_change(owner.now).unwrap();
    owner.handle_event(PipelineEvent::QuotaWritten(QuotaOutcome::Written(6)));
    let starts = owner.start_all();

    let services = &change.writes[0].record.services;
    assert_eq!(services["sales"].allotted.cpu_milli, 5_000);
    assert_eq!(count_starts(&starts, 1), 3);
}

/// Failure: a successor does not count the runs that its predecessor has placed, and starts as many
/// again.
#[test]
fn a_successor_counts_the_runs_of_its_predecessor() {
    let mut owner = capped_owner(4);
    owner.submit(1, red_job(step(3)));
    owner.start_all();
    let progress = owner.durable[&1].clone();

    let mut successor = capped_owner(4);
    let spec = Arc::new(red_job(step(3)));
    successor.handle_event(PipelineEvent::Stored(1, spec, Some(progress)));
    successor.submit(2, red_job(step(3)));
    let starts = successor.start_all();

    assert_eq!(count_starts(&starts, 2), 1);
}

/// Failure: with many teams, a decision costs more than a fifth more than without.
#[test]
fn placement_with_many_teams_examines_as_few_workers() {
    let without = examined_with_teams(false);
    let with = examined_with_teams(true);

    assert!(without > 0);
    assert!(with * 10 <= without * 12, "{with} instead of {without}");
}
