//! Leases and their expiry.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Identifier of a lease; `0` stands for no lease.
pub type LeaseId = u64;

/// One granted lease.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    duration: Duration,
    expires_at: Instant,
}

/// All leases that have not expired or been revoked.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseId, GrantedLease>,
    last_id: LeaseId,
    last_renewal_expiry: Option<Instant>,
}

impl LeaseTable {
    /// Grants a lease.
    pub fn grant(&mut self, duration: Duration, now: Instant) -> LeaseId {
        self.last_id += 1;
        let lease = GrantedLease {
            duration,
            expires_at: now + duration,
        };
        self.last_renewal_expiry = Some(lease.expires_at);
        self.leases.insert(self.last_id, lease);
        self.last_id
    }

    /// Renews a lease and returns its duration, or `None` if it has expired.
    pub fn renew(&mut self, lease: LeaseId, now: Instant) -> Option<Duration> {
        let granted = self.leases.get_mut(&lease)?;
        granted.expires_at = now + granted.duration;
        self.last_renewal_expiry = Some(granted.expires_at);
        Some(granted.duration)
    }

    /// Returns the expiry of the most recently granted or renewed lease.
    #[must_use]
    pub const fn last_renewal_expiry(&self) -> Option<Instant> {
        self.last_renewal_expiry
    }

    /// Removes a lease; its keys are left to the caller.
    pub fn remove(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
    }

    /// Removes and returns the leases that have expired.
    pub fn take_expired(&mut self, now: Instant) -> Vec<LeaseId> {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, granted)| granted.expires_at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &expired {
            self.leases.remove(lease);
        }
        expired
    }
}
