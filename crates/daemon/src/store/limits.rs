//! Rate limits, call counters and retry backoff for calls to the store.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use serde::Serialize;

/// Upper bound of the wait before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Largest upper bound of a wait, and so the longest delay until a daemon
/// notices that the store has recovered.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Bounds a burst after an idle period to the calls that the rate permits in
/// this time.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Kind of a store call; decides which rate limit and which counter apply.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StoreCallKind {
    /// Reads key ranges.
    Read,
    /// Commits a transaction.
    Write,
    /// Grants, renews or revokes a lease; counts towards the write limit.
    Lease,
    /// Opens a watch; counts towards the read limit.
    Watch,
}

impl StoreCallKind {
    const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Lease, Self::Watch];

    /// Returns the value of the label `kind` in metrics.
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

/// Counts the store calls of this process, indexed by [`StoreCallKind`].
#[derive(Debug, Default)]
pub(crate) struct StoreCounts {
    calls: [AtomicU64; 4],
}

impl StoreCounts {
    pub(super) fn record(&self, kind: StoreCallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the calls so far, keyed by [`StoreCallKind::as_str`].
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

/// Writes of all daemons together: half of the store's limit of 400 writes per
/// second, so that the limit holds even while each daemon uses its burst.
const TOTAL_WRITES_PER_SECOND: u32 = 200;

/// Reads of all daemons together: half of the store's limit of 2,000 reads per
/// second, for the same reason.
const TOTAL_READS_PER_SECOND: u32 = 1_000;

/// Number of daemons assumed until the registrations have been read from the
/// store.
const DEFAULT_DAEMON_COUNT: u32 = 48;

/// Configured call rates of this daemon, per second; a rate that is `None` is
/// derived from the number of daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StoreRates {
    /// Limit for writes and lease calls.
    pub(crate) writes: Option<u32>,
    /// Limit for reads and opened watches.
    pub(crate) reads: Option<u32>,
}

/// Limits calls to a rate with bursts, by the generic cell rate algorithm.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimiter {
    interval: Duration,
    /// Theoretical arrival time: when the calls so far would end if they were
    /// made exactly at the rate.
    theoretical_arrival: Duration,
}

impl RateLimiter {
    /// Returns a limiter that permits a full burst.
    pub(super) fn new(per_second: u32) -> Self {
        Self {
            interval: BURST_WINDOW / per_second.max(1),
            theoretical_arrival: Duration::ZERO,
        }
    }

    /// Changes the rate for later calls.
    pub(super) fn set_rate(&mut self, per_second: u32) {
        self.interval = BURST_WINDOW / per_second.max(1);
    }

    /// Reserves the next call and returns the delay before it may be made.
    pub(super) fn reserve(&mut self, now: Duration) -> Duration {
        self.theoretical_arrival = self.theoretical_arrival.max(now) + self.interval;
        self.theoretical_arrival.saturating_sub(now + BURST_WINDOW)
    }
}

/// Rate limiters of this daemon for reads and for writes.
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
        limits.set_daemon_count(DEFAULT_DAEMON_COUNT);
        limits
    }

    /// Sets each rate that is not configured to an equal share of the total
    /// rate.
    pub(super) fn set_daemon_count(&mut self, daemon_count: u32) {
        let daemon_share =
            |configured: Option<u32>, total: u32| configured.unwrap_or(total / daemon_count.max(1));
        let reads = daemon_share(self.rates.reads, TOTAL_READS_PER_SECOND);
        let writes = daemon_share(self.rates.writes, TOTAL_WRITES_PER_SECOND);
        self.reads.set_rate(reads);
        self.writes.set_rate(writes);
    }

    /// Reserves a call of a kind and returns the delay before it may be made.
    pub(super) fn reserve(&mut self, kind: StoreCallKind, now: Duration) -> Duration {
        if kind.is_read() {
            self.reads.reserve(now)
        } else {
            self.writes.reserve(now)
        }
    }
}

/// Exponential backoff with full jitter, so that the daemons do not all call a
/// recovering store at the same moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreBackoff {
    max_wait: Duration,
}

impl Default for StoreBackoff {
    fn default() -> Self {
        Self {
            max_wait: INITIAL_BACKOFF,
        }
    }
}

impl StoreBackoff {
    /// Returns the wait before the next retry; `fraction` is a random number
    /// from 0 to 1.
    pub(crate) fn next(&mut self, fraction: f64) -> Duration {
        let wait = self.max_wait.mul_f64(fraction);
        self.max_wait = (self.max_wait * 2).min(MAX_BACKOFF);
        wait
    }
}
