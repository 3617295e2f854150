//! This daemon's share of the store's rates, call counters and backoff.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use serde::Serialize;

/// First bound of the backoff.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Last bound of the backoff; a recovering store is found within this time.
const LAST_BACKOFF: Duration = Duration::from_secs(5);

/// Calls that may be made at once after a quiet time, in seconds of the rate.
const BURST_TIME: Duration = Duration::from_secs(1);

/// What a call costs the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StoreCallKind {
    /// A reading of ranges.
    Read,
    /// A transaction that may write.
    Write,
    /// The grant, renewal or end of a lease.
    Lease,
    /// The start of a watch.
    Watch,
}

impl StoreCallKind {
    const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Lease, Self::Watch];

    /// Returns the name of the kind in metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Lease => "lease",
            Self::Watch => "watch",
        }
    }

    const fn is_read(self) -> bool {
        matches!(self, Self::Read | Self::Watch)
    }
}

/// The calls made so far, by kind.
#[derive(Debug, Default)]
pub(crate) struct StoreCounts {
    calls: [AtomicU64; 4],
}

impl StoreCounts {
    pub(super) fn note(&self, kind: StoreCallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts by the name of the kind.
    pub(crate) fn by_kind(&self) -> BTreeMap<&'static str, u64> {
        StoreCallKind::ALL
            .into_iter()
            .map(|kind| {
                let calls = self.calls[kind as usize].load(Ordering::Relaxed);
                (kind.as_str(), calls)
            })
            .collect()
    }
}

/// Half of the store's limits of 400 writes and 2,000 reads per second. All
/// daemons together stay below the limits even while each uses its burst.
const SHARED_WRITES: u32 = 200;
const SHARED_READS: u32 = 1_000;

/// Daemons that are assumed until the store has been read.
const ASSUMED_DAEMONS: u32 = 48;

/// Rates of calls per second of this daemon; those that are `None` are derived
/// from the number of daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StoreRates {
    /// Writes and lease calls.
    pub(crate) writes: Option<u32>,
    /// Reads and watches.
    pub(crate) reads: Option<u32>,
}

/// Spaces the calls of one kind so that a rate is kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimiter {
    interval: Duration,
    /// When the calls so far are paid for at the rate.
    paid_at: Duration,
}

impl RateLimiter {
    /// Returns a limiter that has a full burst left.
    pub(super) fn new(per_second: u32) -> Self {
        Self {
            interval: BURST_TIME / per_second.max(1),
            paid_at: Duration::ZERO,
        }
    }

    /// Changes the rate for the calls to come.
    pub(super) fn set_rate(&mut self, per_second: u32) {
        self.interval = BURST_TIME / per_second.max(1);
    }

    /// Books a call and returns how long it has to wait.
    pub(super) fn book(&mut self, now: Duration) -> Duration {
        self.paid_at = self.paid_at.max(now) + self.interval;
        self.paid_at.saturating_sub(now + BURST_TIME)
    }
}

/// The limiters of reads and writes.
#[derive(Debug)]
pub(super) struct RateLimits {
    rates: StoreRates,
    reads: RateLimiter,
    writes: RateLimiter,
}

impl RateLimits {
    pub(super) fn new(rates: StoreRates) -> Self {
        let mut limits = Self {
            rates,
            reads: RateLimiter::new(1),
            writes: RateLimiter::new(1),
        };
        limits.set_daemon_count(ASSUMED_DAEMONS);
        limits
    }

    /// Divides the rates that are not set by the number of daemons.
    pub(super) fn set_daemon_count(&mut self, daemons: u32) {
        let part = |set: Option<u32>, shared: u32| set.unwrap_or(shared / daemons.max(1));
        let reads = part(self.rates.reads, SHARED_READS);
        let writes = part(self.rates.writes, SHARED_WRITES);
        self.reads.set_rate(reads);
        self.writes.set_rate(writes);
    }

    /// Books a call and returns how long it has to wait.
    pub(super) fn book(&mut self, kind: StoreCallKind, now: Duration) -> Duration {
        if kind.is_read() {
            self.reads.book(now)
        } else {
            self.writes.book(now)
        }
    }
}

/// Growing waits between attempts, random so that the daemons do not call a
/// recovering store at the same moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreBackoff {
    bound: Duration,
}

impl Default for StoreBackoff {
    fn default() -> Self {
        Self {
            bound: FIRST_BACKOFF,
        }
    }
}

impl StoreBackoff {
    /// Returns the next wait; `fraction` is a random number from 0 to 1.
    pub(crate) fn next(&mut self, fraction: f64) -> Duration {
        let wait = self.bound.mul_f64(fraction);
        self.bound = (self.bound * 2).min(LAST_BACKOFF);
        wait
    }
}
