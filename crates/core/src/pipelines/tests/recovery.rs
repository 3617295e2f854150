//! Takeover of a service from the progress in the store.

use std::{sync::Arc, time::Duration};

use super::fixtures::{OwnerFixture, done, ended, job, owner, present, step, unclaimed_owner};
use crate::{PipelineEvent, PipelinePhase, PipelineSpec, RenewalFailure, RunEnd};

/// Returns the next owner, with the durable progress of the one before.
fn successor(before: &OwnerFixture, spec: &PipelineSpec, workers: &[&str]) -> OwnerFixture {
    let mut next = unclaimed_owner(2, workers);
    let progress = before.durable.get(&1).cloned();
    next.feed(PipelineEvent::Stored(1, Arc::new(spec.clone()), progress));
    next
}

/// Guards against starting again what runs on.
#[test]
fn a_successor_adopts_runs_that_their_workers_list() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    let start = first.start_all().remove(0);

    let mut second = successor(&first, &spec, &["w1"]);
    second.report("w1", vec![present(start.run)], Vec::new());
    let again = second.start_all();
    second.report("w1", Vec::new(), vec![done(1, start.run)]);
    second.commit();

    assert!(again.is_empty());
    assert_eq!(second.phases[&1], PipelinePhase::Completed);
}

/// Guards against a task that waits for ever for an order that was never sent.
#[test]
fn a_successor_places_again_what_no_worker_lists() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    first.commit();

    let mut second = successor(&first, &spec, &["w1"]);
    second.report("w1", Vec::new(), Vec::new());

    assert_eq!(second.start_all()[0].run.attempt, 2);
}

/// Guards against two runs of a task whose worker the successor cannot reach.
#[test]
fn a_successor_waits_for_workers_that_it_cannot_reach() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    first.start_all();

    let mut second = successor(&first, &spec, &["w1", "w2"]);
    second.report("w2", Vec::new(), Vec::new());
    // The former owner's lease in the store, its renewals without the store, and
    // the longest lease that the last of them gives.
    second.wait(Duration::from_secs(2 + 10 + 6));
    let early = second.start_all();
    second.wait(Duration::from_secs(3));
    let late = second.start_all();

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
}

/// Guards against counting one failure twice: the end is durable, but its
/// acknowledgement did not reach the worker before the owner was lost.
#[test]
fn a_failed_end_that_is_reported_again_counts_once() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    let start = first.start_all().remove(0);
    let failed = vec![ended(1, start.run, RunEnd::Failed)];
    first.report("w1", Vec::new(), failed.clone());
    first.commit();

    let mut second = successor(&first, &spec, &["w1"]);
    second.report("w1", Vec::new(), failed);
    second.commit();

    assert_ne!(second.phases.get(&1), Some(&PipelinePhase::Failed));
    assert_eq!(second.start_all()[0].run.attempt, 2);
}

/// Guards against two runs of a task whose worker falls silent just after the
/// takeover, when only the former owner knows the lease that it gave.
#[test]
fn a_successor_allows_for_the_longest_lease_of_its_predecessor() {
    let mut first = owner(&["w1"]);
    let spec = job(vec![step(1)]);
    first.submit(1, spec.clone());
    let start = first.start_all().remove(0);

    let mut second = successor(&first, &spec, &["w1", "w2"]);
    second.report("w2", Vec::new(), Vec::new());
    second.report("w1", vec![present(start.run)], Vec::new());
    second.feed(PipelineEvent::RenewalFailed(
        "w1".into(),
        RenewalFailure::Unanswered,
    ));
    second.wait(Duration::from_millis(5_900));
    let early = second.start_all();
    second.wait(Duration::from_secs(2));

    assert!(early.is_empty());
    assert_eq!(second.start_all().len(), 1);
}
