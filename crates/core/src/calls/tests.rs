//! Tests of the call queue.

use std::time::Duration;

use super::{CallAction, CallConfig, CallEvent, CallQueue, CallRequest, GrantResult, RunnerEntry};
use crate::types::{NotRunReason, UrgencyClass};

const SECOND: Duration = Duration::from_secs(1);

fn queue(slots: u32) -> CallQueue {
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
    let mut queue = queue(1);
    request(&mut queue, CallRequest::new(1, SECOND));

    let waiting = request(&mut queue, CallRequest::new(2, SECOND));
    let granted = queue.handle(
        CallEvent::Returned(1, GrantResult::Answered),
        Duration::ZERO,
    );

    assert_eq!(waiting, vec![]);
    assert!(matches!(&granted[..], [CallAction::Grant(grant)] if grant.request == 2));
}

/// Guards against a redemption that waits behind less urgent calls.
#[test]
fn urgent_calls_go_first() {
    let mut queue = queue(1);
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

/// Guards against granting a slot to a call whose caller has given up.
#[test]
fn expired_calls_are_rejected() {
    let mut queue = queue(1);
    request(&mut queue, CallRequest::new(1, 2 * SECOND));
    request(&mut queue, CallRequest::new(2, SECOND));

    let actions = queue.handle(CallEvent::TimerFired, SECOND);

    assert_eq!(
        actions,
        vec![CallAction::Reject(2, NotRunReason::DeadlineUnmeetable)]
    );
}
