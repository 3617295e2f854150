//! Jobs that teams submit beyond the rate for which their shares are meant.

use std::collections::BTreeMap;

use crate::types::TeamId;

/// Length of the interval in which the jobs of a team are counted, in ms.
const INTERVAL_MS: u64 = 1_000;

/// Time for which submissions are remembered, in ms. A successor learns of jobs in another order than
/// that of their submission.
const RETENTION_MS: u64 = 10_000;

/// Accepted jobs within the rates of their teams, by the time of their acceptance.
///
/// Load pattern: one team of many sends several times its usual load while a service is full. Its
/// jobs beyond its rate wait behind those of all teams that keep to theirs.
#[derive(Clone, Debug, Default)]
pub(crate) struct SubmissionRates {
    /// Number of jobs of each team within its rate, by ms since 1970.
    accepted: BTreeMap<TeamId, BTreeMap<u64, u32>>,
}

impl SubmissionRates {
    /// Counts a job that was accepted at the given time, in ms since 1970. Returns whether its team has
    /// `weight` jobs in the second before it already.
    pub(crate) fn record(&mut self, team: &TeamId, accepted_ms: u64, weight: u32) -> bool {
        let counts = self.accepted.entry(TeamId::clone(team)).or_default();
        let latest = counts.last_key_value().map_or(0, |(latest, _)| *latest);
        let oldest = latest.max(accepted_ms).saturating_sub(RETENTION_MS);
        *counts = counts.split_off(&oldest);
        let begin = accepted_ms.saturating_sub(INTERVAL_MS) + 1;
        let count: u32 = counts
            .range(begin..=accepted_ms)
            .map(|(_, count)| *count)
            .sum();
        let is_excess = count >= weight;
        if !is_excess {
            *counts.entry(accepted_ms).or_default() += 1;
        }
        is_excess
    }
}
