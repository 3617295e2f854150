//! Tests of recurring jobs whose occurrences become due faster than they are done.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::fixtures::{OwnerFixture, WALL_MS, done, job, owner, step, unclaimed_owner};
use crate::{
    EndedRun, MAX_OPEN_TASKS, PipelineEvent, PipelinePhase, PipelineProgress, PipelineSchedule,
    PipelineSpec, ResourceVector, StepSpec,
};

/// Returns a job whose occurrences become due every 50 ms.
fn recurring_job(steps: Vec<StepSpec>, occurrences: u32) -> PipelineSpec {
    PipelineSpec {
        schedule: Some(PipelineSchedule {
            first_unix_ms: WALL_MS,
            interval_ms: 50,
            occurrences,
        }),
        ..job(steps)
    }
}

/// Returns a step that no worker of the fixtures can run.
fn impossible_step(count: u32) -> StepSpec {
    StepSpec {
        required_label: Some("z".to_owned()),
        ..step(count)
    }
}

/// Returns a step of which a worker runs thousands of tasks at a time.
fn small_step(count: u32) -> StepSpec {
    StepSpec {
        demand: ResourceVector::new(1, 1, 0),
        ..step(count)
    }
}

/// Returns the number of tasks of a job in progress. A step without tasks counts as one.
fn open_size(progress: &PipelineProgress) -> u64 {
    let sizes = progress.steps().map(|step| step.tasks.len().max(1) as u64);
    sizes.sum()
}

/// Guards against a job that can never run and whose progress grows until no value of the store
/// can hold it, which stops all other jobs of the service.
#[test]
fn the_progress_of_a_recurring_job_that_cannot_run_is_bounded() {
    let steps_of = [
        vec![impossible_step(2_000)],
        [vec![impossible_step(1)], vec![step(0); 300]].concat(),
        vec![small_step(700), impossible_step(900)],
    ];
    for steps in steps_of {
        let mut owner = owner(&["w1"]);
        owner.submit(1, recurring_job(steps, 10_000));

        owner.advance_clock(Duration::from_secs(20));
        owner.commit();
        owner.submit(2, job(vec![small_step(1)]));
        let starts = owner.start_all();

        assert!(open_size(&owner.durable[&1]) <= MAX_OPEN_TASKS);
        let mut starts = starts.iter();
        assert!(starts.any(|start| start.run.task.step.pipeline == 2));
    }
}

/// Guards against occurrences beyond the bound that never run.
#[test]
fn occurrences_beyond_the_bound_run_when_earlier_ones_are_done() {
    let mut owner = owner(&["w1", "w2"]);
    owner.submit(1, recurring_job(vec![small_step(3_000)], 5));
    owner.advance_clock(Duration::from_secs(1));
    let mut numbers = BTreeMap::<String, u64>::new();

    for _ in 0..10 {
        let mut ends = BTreeMap::<String, Vec<EndedRun>>::new();
        for start in owner.start_all() {
            let worker = start.worker.to_string();
            let number = numbers.entry(worker.clone()).or_default();
            *number += 1;
            let end = done(*number, start.run);
            ends.entry(worker).or_default().push(end);
        }
        for (worker, ended) in ends {
            owner.report(&worker, Vec::new(), ended);
        }
        owner.commit();
        // The workers answer the acknowledgements.
        for worker in ["w1", "w2"] {
            owner.report(worker, Vec::new(), Vec::new());
        }
    }

    assert_eq!(owner.phases[&1], PipelinePhase::Completed);
}

/// Guards against a successor that inherits progress beyond the bound from an earlier version.
#[test]
fn excess_occurrences_are_removed_in_a_takeover() {
    let spec = recurring_job(vec![impossible_step(1_000)], 1_000);
    let mut progress = PipelineProgress::default();
    for occurrence in 0..200 {
        progress.add_occurrence(&spec, occurrence);
    }

    let mut second = unclaimed_owner(2, &["w1"]);
    second.handle_event(PipelineEvent::Stored(1, Arc::new(spec), Some(progress)));
    second.state.request_rewrite(1);
    second.commit();

    assert!(open_size(&second.durable[&1]) <= MAX_OPEN_TASKS);
    assert!(!second.durable[&1].occurrences.is_empty());
}

/// Guards against a limit that keeps a job that is larger than it from running at all.
#[test]
fn a_job_that_exceeds_the_limit_by_itself_has_one_occurrence_in_progress() {
    let mut owner: OwnerFixture = owner(&["w1"]);
    owner.submit(1, recurring_job(vec![step(10_000)], 3));

    owner.advance_clock(Duration::from_secs(1));
    owner.commit();

    assert_eq!(owner.durable[&1].occurrences.len(), 1);
}
