//! Tests of steps with a last attempt, which prefer workers on which no run has failed.

use std::{collections::BTreeMap, time::Duration};

use super::{
    fixtures::{OwnerFixture, advice, done, ended, job, listing, owner, step},
    waiting::run_until_start,
};
use crate::{EndedRun, PipelineEvent, PipelineSpec, ResourceVector, RunEnd, StartOrder, StepSpec};

/// Time in which a task with a last attempt must start while its worker is idle.
const START_LIMIT: Duration = Duration::from_secs(3);

/// Time in which such a task starts that waits for answers of the advice service only.
const PROMPT_START_LIMIT: Duration = Duration::from_secs(1);

/// Returns a job of which each task has this number of attempts.
fn job_with_attempts(steps: Vec<StepSpec>, attempts: u32) -> PipelineSpec {
    let mut spec = job(steps);
    spec.policy.max_attempts = attempts;
    spec
}

/// Reports that the given runs have failed, and answers the acknowledgements. `ends` counts the
/// ends of each worker.
fn fail_runs(owner: &mut OwnerFixture, starts: &[StartOrder], ends: &mut BTreeMap<String, u64>) {
    let mut failed: BTreeMap<String, Vec<EndedRun>> = BTreeMap::new();
    for start in starts {
        let worker = start.worker.to_string();
        let number = ends.entry(worker.clone()).or_default();
        *number += 1;
        let end = ended(*number, start.run, RunEnd::Failed);
        failed.entry(worker).or_default().push(end);
    }
    for (worker, failed) in &failed {
        owner.report(worker, Vec::new(), failed.clone());
    }
    owner.commit();
    for worker in failed.keys() {
        owner.report(worker, Vec::new(), Vec::new());
    }
}

/// Guards against a task whose last attempt is never started, as it waits for proven workers that
/// the advice service has refused.
#[test]
fn a_last_attempt_does_not_wait_for_workers_that_advice_refuses() {
    for (attempts, count) in [(2, 1), (3, 1), (3, 3), (5, 2)] {
        let mut owner = owner(&["w1", "w2", "w3", "w4"]);
        let mut spec = job_with_attempts(vec![step(count)], attempts);
        spec.policy.advice = Some(advice(140.0));
        owner.submit(1, spec);
        let mut ends = BTreeMap::new();
        for _ in 1..attempts {
            let starts = run_until_start(&mut owner, START_LIMIT, |worker| worker == "w1");
            fail_runs(&mut owner, &starts, &mut ends);
        }

        let last = run_until_start(&mut owner, START_LIMIT, |worker| worker == "w1");

        assert_eq!(last.len(), count as usize, "of {attempts} attempts");
    }
}

/// Guards against the wait for proven workers where the advice service has refused all of them.
#[test]
fn a_last_attempt_starts_at_once_if_advice_refuses_all_proven_workers() {
    let mut owner = owner(&["w1", "w2"]);
    let mut spec = job_with_attempts(vec![step(1)], 2);
    spec.policy.advice = Some(advice(140.0));
    owner.submit(1, spec);
    let starts = run_until_start(&mut owner, START_LIMIT, |worker| worker == "w1");
    fail_runs(&mut owner, &starts, &mut BTreeMap::new());

    let last = run_until_start(&mut owner, PROMPT_START_LIMIT, |worker| worker == "w1");

    assert_eq!(last.len(), 1);
}

/// Returns an owner whose worker `w2` is full of a run, and the failed one of a job with one
/// attempt left on `w1`.
fn owner_with_full_proven_worker() -> (OwnerFixture, StartOrder) {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job_with_attempts(vec![step(1)], 2));
    let failed = owner.start_all();
    owner.handle_event(PipelineEvent::Listed(listing("w2")));
    owner.report("w2", Vec::new(), Vec::new());
    let mut wide = step(1);
    wide.demand = ResourceVector::new(4_000, 100, 0);
    owner.submit(2, job(vec![wide]));
    let filling = owner.start_all().remove(0);
    fail_runs(&mut owner, &failed, &mut BTreeMap::new());
    (owner, filling)
}

/// Guards against a task whose last attempt waits for as long as other work keeps the only proven
/// worker full.
#[test]
fn a_last_attempt_does_not_wait_for_a_proven_worker_that_stays_full() {
    let (mut owner, filling) = owner_with_full_proven_worker();

    let at_once = owner.start_all();
    let last = run_until_start(&mut owner, START_LIMIT, |_| true);

    assert_eq!(&*filling.worker, "w2");
    assert_eq!(at_once, Vec::new());
    let last: Vec<&str> = last.iter().map(|start| &*start.worker).collect();
    assert_eq!(last, ["w1"]);
}

/// Guards against a last attempt on a worker that fails although a proven one has room by then.
#[test]
fn a_last_attempt_prefers_a_proven_worker_after_its_wait() {
    let (mut owner, filling) = owner_with_full_proven_worker();
    owner.start_all();
    owner.advance_clock(START_LIMIT);

    owner.report("w2", Vec::new(), vec![done(1, filling.run)]);
    owner.commit();
    owner.report("w2", Vec::new(), Vec::new());
    let last = owner.start_all();

    let last: Vec<&str> = last.iter().map(|start| &*start.worker).collect();
    assert_eq!(last, ["w2"]);
}

/// Guards against a gang whose last attempt waits for ever, as fewer workers are proven than it
/// needs.
#[test]
fn the_last_attempt_of_a_gang_does_not_wait_for_too_few_proven_workers() {
    let mut owner = owner(&["w1", "w2"]);
    let mut gang = step(2);
    gang.gang = true;
    gang.demand = ResourceVector::new(4_000, 100, 0);
    owner.submit(1, job_with_attempts(vec![gang], 2));
    let starts = owner.start_all();
    fail_runs(&mut owner, &starts[..1], &mut BTreeMap::new());
    let other = &starts[1];
    let broken = ended(1, other.run, RunEnd::GangBroken);
    owner.report(&other.worker, Vec::new(), vec![broken]);
    owner.commit();
    owner.report(&other.worker, Vec::new(), Vec::new());

    let last = run_until_start(&mut owner, START_LIMIT, |_| true);

    assert_eq!(last.len(), 2);
}
