/*!
Teams of callers, and the terms under which their jobs share the workers.

Operators set the terms of each team. A [`TeamTable`] holds those in force: the weight that decides
a team's share when there is too little room, and the [`ResourceCap`] on what it may have running
across all services.
*/

mod rates;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use rates::SubmissionRates;
pub use state::{ResourceCap, TeamTable, TeamTerms};
