//! Tests of the time limits of orders while answers of workers are lost.

use std::time::Duration;

use super::fixtures::{OwnerFixture, job, owner_of_workers, step};
use crate::{
    PipelineAction, PipelineEvent, RenewalFailure, StartAnswer, StartOrder, StartResult, StepSpec,
};

/// Time that workers take to answer.
const RESPONSE_TIME: Duration = Duration::from_millis(12);

/// Answers start orders after [`RESPONSE_TIME`]; of each twenty, the first `lost` have no answer.
fn answer_starts(owner: &mut OwnerFixture, starts: &[StartOrder], lost: usize) {
    let sent_at = owner.now;
    owner.now += RESPONSE_TIME;
    for (index, start) in starts.iter().enumerate() {
        let result = if index % 20 < lost {
            StartResult::Unanswered
        } else {
            StartResult::Started
        };
        let answer = StartAnswer {
            result,
            sent_at,
            clock_ms: None,
        };
        let event = PipelineEvent::StartAnswered(start.worker.clone(), start.run, answer);
        owner.handle_event(event);
    }
}

/// Returns an owner of a hundred workers that has sent eighty start orders, of each twenty of which
/// this many have no answer.
fn owner_after_starts(lost: usize) -> OwnerFixture {
    let mut owner = owner_of_workers(100);
    let spread = StepSpec {
        per_worker_limit: Some(1),
        ..step(80)
    };
    owner.submit(1, job(vec![spread]));
    owner.commit();
    let starts = owner.take_starts();
    answer_starts(&mut owner, &starts, lost);
    owner
}

/// Returns the time limit of the next start order.
fn next_start_limit(owner: &mut OwnerFixture) -> Duration {
    owner.actions.clear();
    owner.submit(2, job(vec![step(1)]));
    owner.commit();
    owner.take_starts()[0].time_limit
}

/// Returns the time for which a worker may delay its answer to the next renewal, and its time limit.
fn next_renewal(owner: &mut OwnerFixture, worker: &str) -> (Duration, Duration) {
    owner.actions.clear();
    owner.report(worker, Vec::new(), Vec::new());
    let mut actions = owner.actions.iter().rev();
    let last = actions.find_map(|action| match action {
        PipelineAction::Renew(order) if &*order.worker == worker => Some(order),
        _ => None,
    });
    let last = last.unwrap();
    (last.wait, last.time_limit)
}

/// Guards against short jobs that are late as orders without an answer are repeated only after the full
/// time limit, and ends of runs stay unknown until renewals are given up.
#[test]
fn lost_answers_shorten_the_time_limits() {
    let mut owner = owner_after_starts(1);

    let start_limit = next_start_limit(&mut owner);
    let (wait, limit) = next_renewal(&mut owner, "w099");

    // Short jobs have 250 ms and more until they are late.
    assert!(start_limit <= Duration::from_millis(250), "{start_limit:?}");
    assert!(wait <= Duration::from_millis(250), "{wait:?}");
    assert!(limit <= Duration::from_millis(700), "{limit:?}");
}

/// Guards against workers that are suspected although no answer was lost.
#[test]
fn the_time_limits_are_long_while_all_orders_are_answered() {
    let mut owner = owner_after_starts(0);

    let start_limit = next_start_limit(&mut owner);
    let (wait, limit) = next_renewal(&mut owner, "w099");

    assert_eq!(start_limit, Duration::from_millis(700));
    assert_eq!(wait, Duration::from_secs(1));
    assert_eq!(limit, Duration::from_millis(1_900));
}

/// Guards against an owner with a slow link that suspects all its workers: most answers are late, which
/// looks as if they were lost.
#[test]
fn the_time_limits_are_long_while_most_orders_are_unanswered() {
    let mut owner = owner_after_starts(15);

    let start_limit = next_start_limit(&mut owner);

    assert_eq!(start_limit, Duration::from_millis(700));
}

/// Guards against a worker that has ended and makes the limits of all others short.
#[test]
fn renewals_of_a_silent_worker_do_not_count_as_lost_answers() {
    let mut owner = owner_after_starts(0);

    for _ in 0..20 {
        let failed = PipelineEvent::RenewalFailed("w099".into(), RenewalFailure::Unanswered);
        owner.handle_event(failed);
    }
    let start_limit = next_start_limit(&mut owner);

    assert_eq!(start_limit, Duration::from_millis(700));
}
