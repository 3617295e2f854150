//! Tests of the call queue.

mod loan_properties;
mod properties;

use std::time::Duration;

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    CallAction, CallConfig, CallEvent, CallLoad, CallQueue, CallRequest, GrantResult, RetryBudget,
    RetryConfig, RetryDecision, RunnerEntry,
};
use crate::types::{CallOutcome, NotRunReason, UnknownReason, UrgencyClass};

const SECOND: Duration = Duration::from_secs(1);

fn queue_with_slots(slots: u32) -> CallQueue {
    let mut queue = CallQueue::new(CallConfig::default());
    let runner = RunnerEntry::new("r1", slots);
    queue.handle(CallEvent::RunnersChanged(vec![runner]), Duration::ZERO);
    queue
}

fn request(queue: &mut CallQueue, call: CallRequest) -> Vec<CallAction> {
    queue.handle(CallEvent::Requested(call), Duration::ZERO)
}

/// Guards against more calls at a runner than it has slots.
#[test]
fn calls_wait_for_a_free_slot() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, CallRequest::new(1, SECOND));

    let waiting = request(&mut queue, CallRequest::new(2, SECOND));
    let granted = queue.handle(
        CallEvent::Returned(1, GrantResult::Answered),
        Duration::ZERO,
    );

    assert_eq!(waiting, vec![]);
    assert!(matches!(&granted[..], [CallAction::Grant(grant)] if grant.request == 2));
}

/// Guards against an urgent call that waits behind less urgent ones.
#[test]
fn urgent_calls_are_granted_first() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, CallRequest::new(1, SECOND));
    request(&mut queue, CallRequest::new(2, SECOND));
    let mut urgent = CallRequest::new(3, SECOND);
    urgent.urgency = UrgencyClass::Urgent;
    request(&mut queue, urgent);

    let granted = queue.handle(
        CallEvent::Returned(1, GrantResult::Answered),
        Duration::ZERO,
    );

    assert!(matches!(&granted[..], [CallAction::Grant(grant)] if grant.request == 3));
}

/// Guards against a slot granted to a call whose deadline has passed.
#[test]
fn calls_are_rejected_at_their_deadline() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, CallRequest::new(1, 2 * SECOND));
    request(&mut queue, CallRequest::new(2, SECOND));

    let actions = queue.handle(CallEvent::TimerFired, SECOND);

    assert_eq!(
        actions,
        vec![CallAction::Reject(2, NotRunReason::DeadlineUnmeetable)]
    );
}

fn queue_with_runners(runners: u32, slots: u32, config: CallConfig) -> CallQueue {
    let mut queue = CallQueue::new(config);
    let entries = (0..runners).map(|index| RunnerEntry::new(&format!("r{index:02}"), slots));
    let event = CallEvent::RunnersChanged(entries.collect());
    queue.handle(event, Duration::ZERO);
    queue
}

fn team_call(request: u128, team: &str) -> CallRequest {
    let mut call = CallRequest::new(request, 60 * SECOND);
    call.team = Some(team.into());
    call
}

fn granted_requests(actions: &[CallAction]) -> Vec<u128> {
    let grants = actions.iter().filter_map(|action| match action {
        CallAction::Grant(grant) => Some(grant.request),
        _ => None,
    });
    grants.collect()
}

/// Guards against a team with many waiting calls that delays all other teams.
#[test]
fn one_team_cannot_starve_other_teams_of_its_class() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, team_call(0, "flood"));
    for id in 1..100 {
        request(&mut queue, team_call(id, "flood"));
    }
    request(&mut queue, team_call(100, "small"));

    let mut served = Vec::new();
    for grant in 1..=3 {
        let event = CallEvent::Returned(grant, GrantResult::Unused);
        served.extend(granted_requests(&queue.handle(event, Duration::ZERO)));
    }

    assert!(served.contains(&100), "{served:?}");
}

/// Guards against a batch call that starves behind a steady load of normal calls.
#[test]
fn a_waiting_batch_call_is_not_starved_by_normal_calls() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, CallRequest::new(0, 60 * SECOND));
    let mut batch = CallRequest::new(1, 60 * SECOND);
    batch.urgency = UrgencyClass::Batch;
    request(&mut queue, batch);
    queue.handle(CallEvent::TimerFired, SECOND);
    queue.handle(CallEvent::TimerFired, 2 * SECOND);
    let late = CallEvent::Requested(CallRequest::new(2, 60 * SECOND));
    queue.handle(late, 2 * SECOND);

    let actions = queue.handle(CallEvent::Returned(1, GrantResult::Unused), 2 * SECOND);

    assert_eq!(granted_requests(&actions), vec![1]);
}

/// Guards against normal calls in the slots that are reserved for urgent ones.
#[test]
fn normal_calls_leave_the_urgent_share_free() {
    let config = CallConfig::builder().urgent_share_percent(25).build();
    let mut queue = queue_with_runners(1, 4, config);
    for id in 0..4 {
        request(&mut queue, CallRequest::new(id, SECOND));
    }
    let mut urgent = CallRequest::new(9, SECOND);
    urgent.urgency = UrgencyClass::Urgent;

    let actions = request(&mut queue, urgent);

    assert_eq!(granted_requests(&actions), vec![9]);
    assert_eq!(queue.waiting_len(), 1);
}

/// Guards against a queue full of calls that are certain to miss their deadline.
#[test]
fn a_call_that_cannot_meet_its_deadline_is_rejected_on_arrival() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, CallRequest::new(1, 60 * SECOND));
    queue.handle(CallEvent::Returned(1, GrantResult::Answered), SECOND);
    request(&mut queue, CallRequest::new(2, 60 * SECOND));

    let actions = request(&mut queue, CallRequest::new(3, SECOND));

    let reason = NotRunReason::DeadlineUnmeetable;
    assert_eq!(actions, vec![CallAction::Reject(3, reason)]);
}

/// Guards against a runner that fails its calls at once and, as it has the fewest
/// busy slots, receives most of the following ones.
#[test]
fn a_failing_runner_is_put_on_probation_and_recovers() {
    let mut queue = queue_with_runners(5, 1, CallConfig::default());
    let mut id = 0;
    let mut run = |queue: &mut CallQueue, is_failing: bool, now| {
        id += 1;
        let event = CallEvent::Requested(CallRequest::new(id, SECOND));
        let actions = queue.handle(event, now);
        let [CallAction::Grant(grant)] = &actions[..] else {
            panic!("expected a grant of the free slot, got {actions:?}");
        };
        let is_bad = is_failing && &*grant.runner == "r00";
        let result = if is_bad {
            GrantResult::Failed
        } else {
            GrantResult::Answered
        };
        queue.handle(CallEvent::Returned(grant.grant, result), now);
        is_bad
    };

    let failed = (0..50)
        .filter(|_| run(&mut queue, true, Duration::ZERO))
        .count();
    let on_probation = queue.probation_len();
    for _ in 0..50 {
        run(&mut queue, false, 2 * SECOND);
    }

    assert_eq!((failed, on_probation, queue.probation_len()), (3, 1, 0));
}

/// Guards against most runners being put on probation when the network or the
/// calls are at fault.
#[test]
fn at_most_a_fifth_of_the_runners_is_on_probation() {
    let mut queue = queue_with_runners(10, 8, CallConfig::default());
    for id in 0..400 {
        let event = CallEvent::Requested(CallRequest::new(id, SECOND));
        for grant in queue.handle(event, Duration::ZERO) {
            if let CallAction::Grant(grant) = grant {
                let event = CallEvent::Returned(grant.grant, GrantResult::Failed);
                queue.handle(event, Duration::ZERO);
            }
        }
    }

    assert_eq!(queue.probation_len(), 2);
    assert_eq!(queue.load().free, 64);
}

/// Guards against a tight loop of grants that a runner rejects.
#[test]
fn a_runner_is_retried_with_a_delay_after_a_rejection() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, CallRequest::new(1, SECOND));
    request(&mut queue, CallRequest::new(2, SECOND));

    let event = CallEvent::Returned(1, GrantResult::Rejected);
    let at_once = queue.handle(event, Duration::ZERO);
    let due = queue.next_timer();
    let later = queue.handle(CallEvent::TimerFired, Duration::from_millis(50));

    assert_eq!(granted_requests(&at_once), Vec::<u128>::new());
    assert_eq!(due, Some(Duration::from_millis(50)));
    assert_eq!(granted_requests(&later), vec![2]);
}

/// Guards against slots that a lost daemon holds for ever, and against slots that
/// are freed while the runner may still run the call.
#[test]
fn grants_of_a_lost_requester_are_reclaimed_at_their_deadline() {
    let mut queue = queue_with_slots(1);
    let mut call = CallRequest::new(1, SECOND);
    call.requester = Some("d1".into());
    request(&mut queue, call.clone());
    call.request = 2;
    request(&mut queue, call);
    queue.handle(CallEvent::RequesterLost("d1".into()), Duration::ZERO);
    let waiting = queue.waiting_len();
    request(&mut queue, CallRequest::new(3, 2 * SECOND));

    let early = queue.handle(CallEvent::TimerFired, SECOND / 2);
    let due = queue.handle(CallEvent::TimerFired, SECOND);

    assert_eq!(waiting, 0);
    assert_eq!(granted_requests(&early), Vec::<u128>::new());
    assert_eq!(granted_requests(&due), vec![3]);
}

/// Guards against a slot that is never freed because its return message was lost,
/// and against a late return that frees it a second time.
#[test]
fn a_grant_that_is_not_returned_ends_after_its_deadline() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, CallRequest::new(1, SECOND));
    for id in 2..4 {
        request(&mut queue, CallRequest::new(id, 60 * SECOND));
    }

    let early = queue.handle(CallEvent::TimerFired, 30 * SECOND);
    let due = queue.handle(CallEvent::TimerFired, 31 * SECOND);
    let event = CallEvent::Returned(1, GrantResult::Answered);
    let late = queue.handle(event, 31 * SECOND);

    let granted = [early, due, late].map(|actions| granted_requests(&actions));
    assert_eq!(granted, [vec![], vec![2], vec![]]);
}

/// Guards against slots granted twice when runners without epochs still run calls
/// of an earlier owner.
#[test]
fn a_new_owner_grants_nothing_before_its_hold_off_ends() {
    let config = CallConfig::builder()
        .hold_off(SECOND)
        .promotion_period(10 * SECOND)
        .build();
    let mut queue = CallQueue::new_at(config, SECOND);
    let runner = RunnerEntry::new("r1", 1);
    queue.handle(CallEvent::RunnersChanged(vec![runner]), SECOND);
    let event = CallEvent::Requested(CallRequest::new(1, 5 * SECOND));

    let early = queue.handle(event, SECOND);
    let due = queue.next_timer();
    let later = queue.handle(CallEvent::TimerFired, 2 * SECOND);

    assert_eq!(granted_requests(&early), Vec::<u128>::new());
    assert_eq!(due, Some(2 * SECOND));
    assert_eq!(granted_requests(&later), vec![1]);
}

/// Guards against calls that wait in one zone while another has free slots.
#[test]
fn the_oldest_call_is_redirected_and_redirected_calls_are_not() {
    let mut queue = queue_with_slots(1);
    request(&mut queue, CallRequest::new(1, 60 * SECOND));
    queue.handle(CallEvent::Returned(1, GrantResult::Answered), SECOND);
    request(&mut queue, CallRequest::new(2, 60 * SECOND));
    let mut moved = CallRequest::new(3, 60 * SECOND);
    moved.redirected = true;
    request(&mut queue, moved);
    request(&mut queue, CallRequest::new(4, 60 * SECOND));
    request(&mut queue, CallRequest::new(5, 60 * SECOND));
    let load = CallLoad {
        free: 2,
        waiting: 0,
    };

    let event = CallEvent::ZoneLoadChanged("z2".into(), load);
    let actions = queue.handle(event, SECOND);

    // The owner also requests a loan from the other zone.
    let is_loan = |action: &CallAction| matches!(action, CallAction::SendLoan(..));
    let (loans, calls): (Vec<_>, Vec<_>) = actions.into_iter().partition(is_loan);
    assert_eq!(loans.len(), 1);
    assert_eq!(calls, vec![CallAction::Redirect(4, "z2".into())]);
}

/// Guards against cancelled calls that stay in the queue or in its timers.
#[test]
fn cancelled_calls_leave_no_state_behind() {
    let config = CallConfig::builder().queue_limit(20_000).build();
    let mut queue = queue_with_runners(1, 1, config);
    for id in 0..=10_000 {
        request(&mut queue, team_call(id, "team"));
    }

    for id in 1..=10_000 {
        queue.handle(CallEvent::Cancelled(id), Duration::ZERO);
    }

    // The granted call has a deadline of 60 s and a grace period of 30 s.
    let reclaim = Some(90 * SECOND);
    assert_eq!((queue.waiting_len(), queue.next_timer()), (0, reclaim));
}

/// Guards against more retries than a tenth of the first attempts.
#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::new(RetryConfig::default());
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let outcome = CallOutcome::<()>::NotRun(NotRunReason::QueueFull);

    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt();
        let decision = budget.decide(&outcome, false, 1, SECOND, &mut random);
        retries += u32::from(decision != RetryDecision::NoRetry);
    }

    assert_eq!(retries, 100);
}

/// Guards against a second run of a call that may have run, and against retries
/// beyond the attempt limit or the deadline.
#[test]
fn unsafe_exhausted_and_late_calls_are_not_retried() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let unknown = CallOutcome::<()>::Unknown(UnknownReason::ConnectionLost);
    let mut decide = |is_idempotent, attempts, remaining| {
        let mut budget = RetryBudget::new(RetryConfig::default());
        for _ in 0..100 {
            budget.record_first_attempt();
        }
        budget.decide(&unknown, is_idempotent, attempts, remaining, &mut random)
    };

    let decisions = [
        decide(false, 1, SECOND),
        decide(true, 3, SECOND),
        decide(true, 1, Duration::ZERO),
    ];
    let allowed = decide(true, 2, SECOND);

    assert_eq!(decisions, [RetryDecision::NoRetry; 3]);
    assert!(matches!(allowed, RetryDecision::After(delay) if delay < SECOND / 20));
}
