//! Tests of the preemption of runs for urgent work.

use std::{sync::Arc, time::Duration};

use super::fixtures::{OwnerFixture, job, observed, pipeline_config, step, unclaimed_owner_with};
use crate::{ObservedRun, PipelineConfig, PipelineEvent, PipelineSpec, RunKey, StepSpec};

/// Number of workers, with four cores each.
const WORKER_COUNT: usize = 10;

/// Returns the names of the workers.
fn worker_names() -> Vec<String> {
    (0..WORKER_COUNT).map(|index| format!("w{index}")).collect()
}

/// Returns an owner of ten workers, which a job with checkpoints and much time left fills.
fn full_owner(manages_scarcity: bool, wide: PipelineSpec) -> OwnerFixture {
    let config = PipelineConfig {
        manages_scarcity,
        ..pipeline_config()
    };
    let names = worker_names();
    let workers: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut owner = unclaimed_owner_with(config, 1, &workers);
    for worker in workers {
        owner.report(worker, Vec::new(), Vec::new());
    }
    owner.submit(1, wide);
    start_and_report(&mut owner);
    owner.actions.clear();
    owner
}

/// Starts what was placed and reports all runs as present.
fn start_and_report(owner: &mut OwnerFixture) {
    owner.start_all();
    for worker in worker_names() {
        let runs = owner.state.workers[worker.as_str()].runs.keys();
        let runs: Vec<RunKey> = runs.copied().collect();
        let runs = runs.into_iter().map(|run| ObservedRun {
            percent: 10,
            ..observed(run)
        });
        owner.report(&worker, runs.collect(), Vec::new());
    }
}

/// Returns a job of forty tasks of 4 s with checkpoints, which may take 40 s.
fn wide_job() -> PipelineSpec {
    let wide = StepSpec {
        checkpointing: true,
        estimate_ms: 4_000,
        ..step(40)
    };
    let mut spec = job(vec![wide]);
    spec.policy.priority = 2;
    spec.policy.stretch = 10.0;
    spec
}

/// Returns a short job of the most urgent queue.
fn urgent_job(tasks: u32) -> PipelineSpec {
    let mut spec = job(vec![step(tasks)]);
    spec.policy.priority = 0;
    spec
}

/// Adds an urgent job and runs a pass. Returns the number of runs that are stopped.
fn stops_for_urgent(owner: &mut OwnerFixture, tasks: u32) -> usize {
    owner.handle_event(PipelineEvent::Stored(2, Arc::new(urgent_job(tasks)), None));
    owner.run_placement_pass();
    owner.stops().len()
}

/// Guards against urgent jobs that wait for runs of several seconds, although these would resume where
/// they were stopped.
#[test]
fn runs_with_checkpoints_are_stopped_for_urgent_jobs() {
    let mut owner = full_owner(true, wide_job());

    let stops = stops_for_urgent(&mut owner, 5);

    // Five for the urgent tasks, and six percent of forty cores.
    assert!((5..=8).contains(&stops), "{stops}");
}

/// Guards against preemption on deployments that do not ask for it.
#[test]
fn nothing_is_stopped_without_the_setting() {
    let mut owner = full_owner(false, wide_job());

    let stops = stops_for_urgent(&mut owner, 5);

    assert_eq!(stops, 0);
}

/// Guards against work that is lost, as the runs do not resume.
#[test]
fn runs_without_checkpoints_are_not_stopped() {
    let mut wide = wide_job();
    wide.steps[0].checkpointing = false;
    let mut owner = full_owner(true, wide);

    let stops = stops_for_urgent(&mut owner, 5);

    assert_eq!(stops, 0);
}

/// Guards against jobs that are late because they were stopped for others.
#[test]
fn runs_of_jobs_without_slack_are_not_stopped() {
    let mut wide = wide_job();
    wide.policy.stretch = 1.5;
    let mut owner = full_owner(true, wide);

    let stops = stops_for_urgent(&mut owner, 5);

    assert_eq!(stops, 0);
}

/// Guards against an urgent burst that stops all other work at once.
#[test]
fn at_most_a_fifth_of_the_capacity_is_stopped_at_a_time() {
    let mut owner = full_owner(true, wide_job());

    stops_for_urgent(&mut owner, 40);
    owner.advance_clock(Duration::from_millis(300));
    owner.run_placement_pass();

    assert_eq!(owner.stops().len(), 8);
}

/// Guards against runs that are stopped although urgent work has room.
#[test]
fn nothing_is_stopped_while_there_is_room() {
    let mut wide = wide_job();
    wide.steps[0].count = 20;
    let mut owner = full_owner(true, wide);

    let stops = stops_for_urgent(&mut owner, 5);

    assert_eq!(stops, 0);
}
