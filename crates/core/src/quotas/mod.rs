/*!
Caps on what a team has running across all services.

Each service has an owner of its own, and no owner sees the runs of another. The store therefore holds
a [`QuotaRecord`] for each team, with an allotment for each service; the allotments add up to at
most the team's cap. An owner places work within its allotment, counts its runs in a
[`QuotaLedger`], and moves its allotment by conditional writes, which it gets as [`QuotaChange`]s.

`docs/design/quotas.md` has the failure modes and the alternatives.
*/

mod messages;
mod resource;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{QuotaAllotment, QuotaChange, QuotaOutcome, QuotaRecord, QuotaWrite};
pub use messages::{StoredQuota, TeamUsage};
pub use state::QuotaLedger;
