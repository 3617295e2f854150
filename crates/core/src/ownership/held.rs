//! A shard that this daemon owns: its phase and its lease.

use std::time::Duration;

use super::messages::ShardPhase;
use crate::types::Epoch;

/// Duration of a store lease.
pub(super) const LEASE_TIME: Duration = Duration::from_secs(10);

/// Allowance for the difference in rate between the owner's clock and the
/// store's: 10 % of the lease, far above the drift of a monotonic clock.
pub(super) const LEASE_DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// Time between renewals; two may fail before the lease runs out.
pub(super) const LEASE_RENEW_TIME: Duration = Duration::from_secs(3);

/// Ownership of one shard under one epoch.
#[derive(Clone, Debug)]
pub(super) struct HeldShard {
    pub(super) epoch: Epoch,
    pub(super) phase: ShardPhase,
    lease_until: Duration,
    lease_asked_at: Option<Duration>,
    failed_replays: u32,
    /// When the journal is read again after a failed replay.
    replay_at: Option<Duration>,
}

impl HeldShard {
    /// Returns a shard whose journal has yet to be read.
    pub(super) const fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            phase: ShardPhase::Replaying,
            lease_until: Duration::ZERO,
            lease_asked_at: None,
            failed_replays: 0,
            replay_at: None,
        }
    }

    /// Tells whether takeover work is still under way. A shard that waits for
    /// another replay keeps no other shard from being taken over.
    pub(super) fn is_starting(&self) -> bool {
        self.phase < ShardPhase::Active && self.replay_at.is_none()
    }

    /// Notes a replay that failed and is repeated after a delay that doubles
    /// from `first` to `last`.
    pub(super) fn fail_replay(&mut self, now: Duration, first: Duration, last: Duration) {
        if self.phase == ShardPhase::Replaying && self.replay_at.is_none() {
            let factor = 1_u32 << self.failed_replays.min(16);
            self.failed_replays += 1;
            self.replay_at = Some(now + first.saturating_mul(factor).min(last));
        }
    }

    /// Tells whether the journal is to be read again now, and notes it.
    pub(super) fn take_replay(&mut self, now: Duration) -> bool {
        self.replay_at.take_if(|at| now >= *at).is_some()
    }

    /// Tells whether a handover is under way.
    pub(super) fn is_leaving(&self) -> bool {
        self.phase > ShardPhase::Active
    }

    /// Moves on from `before` only, so that a repeated or late report has no
    /// effect.
    pub(super) fn advance(&mut self, before: ShardPhase, after: ShardPhase) -> bool {
        let matches = self.phase == before;
        if matches {
            self.phase = after;
        }
        matches
    }

    /// Tells whether a lease is to be requested now, and notes the request.
    pub(super) fn ask_lease(&mut self, now: Duration) -> bool {
        let due = self
            .lease_asked_at
            .is_none_or(|asked_at| now >= asked_at + LEASE_RENEW_TIME);
        if due {
            self.lease_asked_at = Some(now);
        }
        due
    }

    /// Extends the lease, counted from before its request was sent.
    pub(super) fn extend_lease(&mut self, sent_at: Duration) {
        let until = sent_at + LEASE_TIME.saturating_sub(LEASE_DRIFT_MARGIN);
        self.lease_until = self.lease_until.max(until);
    }

    /// Tells whether the lease is certainly still in the store.
    pub(super) fn has_lease(&self, now: Duration) -> bool {
        now < self.lease_until
    }
}
