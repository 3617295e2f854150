//! Fault injection and call counters, which tests use through `/control`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// The faults that the store injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call fails with status 503 and has no effect; open watches are reset.
    pub unavailable: bool,
    /// Delay before each call is processed, in milliseconds.
    pub latency_ms: u64,
    /// Number of upcoming transactions that are applied but whose response is
    /// dropped. Decremented with each dropped response.
    pub lose_responses: u32,
    /// Calls per second above which calls are rejected with status 429; `0` for
    /// no limit.
    pub calls_per_second: u32,
    /// Watches stay open but deliver no events while this is set.
    pub silent_watches: bool,
    /// Delay in milliseconds before a new list of hosts becomes visible.
    pub host_lag_ms: u64,
}

/// Call counters by path, and the window of the rate limit.
#[derive(Debug, Default)]
pub struct CallCounts {
    by_path: BTreeMap<String, u64>,
    /// Start of the current window of one second and the number of calls in it.
    window: Option<(Instant, u32)>,
}

impl CallCounts {
    /// Counts a call and returns whether the rate limit admits it.
    pub fn admit(&mut self, path: &str, limit: u32, now: Instant) -> bool {
        *self.by_path.entry(path.to_owned()).or_insert(0) += 1;
        let (window_start, calls) = match self.window {
            Some((window_start, calls)) if now - window_start < Duration::from_secs(1) => {
                (window_start, calls + 1)
            }
            _ => (now, 1),
        };
        self.window = Some((window_start, calls));
        limit == 0 || calls <= limit
    }

    /// Returns the number of calls by path, including rejected calls.
    #[must_use]
    pub const fn by_path(&self) -> &BTreeMap<String, u64> {
        &self.by_path
    }
}
