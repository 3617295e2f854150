//! Tests of the end of an ownership as planned.

use std::{sync::Arc, time::Duration};

use auburnsaddle_core::PipelineEvent;
use auburnsaddle_platform::TransactionOutcome;

use super::{job, shard_with_cancelled_job};

/// Guards against a planned handover that takes until no worker reports an end any more, which is
/// never the case in a busy service. Nothing is placed meanwhile.
#[test]
fn a_drain_waits_only_for_the_changes_before_it() {
    let mut shard = shard_with_cancelled_job();
    let at_begin = shard.is_drained();
    shard.next_commit(Duration::ZERO).unwrap();
    let stored = PipelineEvent::Stored(2, Arc::new(job()), None);
    shard.handle(stored, Duration::ZERO);
    shard.handle(PipelineEvent::Cancelled(2), Duration::ZERO);

    shard.finish_commit(&TransactionOutcome::Done(50), Duration::ZERO);

    assert!(!at_begin);
    assert!(shard.is_drained());
    assert!(!shard.is_durable());
}
