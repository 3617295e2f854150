//! Fault switches and call counters, used by tests through `/control`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// What the store does wrong at present.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call fails without effect.
    pub unavailable: bool,
    /// Every call takes this much longer.
    pub latency_ms: u64,
    /// This many writes from now on take effect without a response.
    pub lose_responses: u32,
    /// Calls beyond this number per second are rejected; `0` is no limit.
    pub calls_per_second: u32,
    /// Watches stay open but deliver nothing until this ends.
    pub silent_watches: bool,
    /// A new list of hosts becomes visible after this time.
    pub host_lag_ms: u64,
}

/// Counts calls and enforces the rate limit.
#[derive(Debug, Default)]
pub struct CallCounts {
    by_path: BTreeMap<String, u64>,
    window: Option<(Instant, u32)>,
}

impl CallCounts {
    /// Counts a call and tells whether the rate limit permits it.
    pub fn admit(&mut self, path: &str, limit: u32, now: Instant) -> bool {
        *self.by_path.entry(path.to_owned()).or_insert(0) += 1;
        let (start, calls) = match self.window {
            Some((start, calls)) if now - start < Duration::from_secs(1) => (start, calls + 1),
            _ => (now, 1),
        };
        self.window = Some((start, calls));
        limit == 0 || calls <= limit
    }

    /// Returns the number of calls by path, rejected ones included.
    #[must_use]
    pub const fn by_path(&self) -> &BTreeMap<String, u64> {
        &self.by_path
    }
}
