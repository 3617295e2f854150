//! The phase and the lease of a shard that this daemon owns.

use std::time::Duration;

use super::messages::ShardPhase;
use crate::types::Epoch;

/// Time to live of a store lease.
pub(super) const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Margin by which the owner stops relying on its lease before the store expires
/// it. It covers the difference in rate between the two clocks: 10 % of the
/// lease, far above the drift of a monotonic clock.
pub(super) const LEASE_DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// Time between renewals; two may fail before the lease expires.
pub(super) const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// The local state of one owned shard under one epoch.
#[derive(Clone, Debug)]
pub(super) struct OwnedShard {
    pub(super) epoch: Epoch,
    pub(super) phase: ShardPhase,
    /// Until when the owner may rely on the lease, margin deducted.
    lease_valid_until: Duration,
    lease_requested_at: Option<Duration>,
    failed_replays: u32,
    /// When the next replay is due after a failed one.
    replay_retry_at: Option<Duration>,
}

impl OwnedShard {
    /// Returns the state of a newly acquired shard, with its replay pending.
    pub(super) const fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            phase: ShardPhase::Replaying,
            lease_valid_until: Duration::ZERO,
            lease_requested_at: None,
            failed_replays: 0,
            replay_retry_at: None,
        }
    }

    /// Returns whether the shard counts towards the limit of concurrent
    /// takeovers. A shard that waits to repeat a failed replay does not, so a
    /// damaged journal blocks no other takeover.
    pub(super) fn is_starting(&self) -> bool {
        self.phase < ShardPhase::Active && self.replay_retry_at.is_none()
    }

    /// Schedules another replay after a failed one, with exponential backoff
    /// from `min_delay` to `max_delay`.
    pub(super) fn schedule_replay_retry(
        &mut self,
        now: Duration,
        min_delay: Duration,
        max_delay: Duration,
    ) {
        if self.phase == ShardPhase::Replaying && self.replay_retry_at.is_none() {
            let factor = 1_u32 << self.failed_replays.min(16);
            self.failed_replays += 1;
            self.replay_retry_at = Some(now + min_delay.saturating_mul(factor).min(max_delay));
        }
    }

    /// Returns whether a repeated replay is due, and marks it as started.
    pub(super) fn start_due_replay(&mut self, now: Duration) -> bool {
        self.replay_retry_at.take_if(|at| now >= *at).is_some()
    }

    /// Returns whether a handover to another daemon is in progress.
    pub(super) fn is_handing_over(&self) -> bool {
        self.phase > ShardPhase::Active
    }

    /// Changes the phase from `before` to `after` and returns whether it did.
    /// In any other phase it does nothing, so a repeated or late report has no
    /// effect.
    pub(super) fn advance(&mut self, before: ShardPhase, after: ShardPhase) -> bool {
        let matches = self.phase == before;
        if matches {
            self.phase = after;
        }
        matches
    }

    /// Returns whether a lease request is due, and records it as sent.
    pub(super) fn start_due_lease_request(&mut self, now: Duration) -> bool {
        let due = self
            .lease_requested_at
            .is_none_or(|requested_at| now >= requested_at + LEASE_RENEWAL_INTERVAL);
        if due {
            self.lease_requested_at = Some(now);
        }
        due
    }

    /// Extends the lease, counted from `sent_at`, which was read before the
    /// request was sent, so that the owner's lease ends before the store's.
    pub(super) fn extend_lease(&mut self, sent_at: Duration) {
        let until = sent_at + LEASE_DURATION.saturating_sub(LEASE_DRIFT_MARGIN);
        self.lease_valid_until = self.lease_valid_until.max(until);
    }

    /// Returns whether the lease is valid at `now`, margin deducted.
    pub(super) fn has_lease(&self, now: Duration) -> bool {
        now < self.lease_valid_until
    }
}
