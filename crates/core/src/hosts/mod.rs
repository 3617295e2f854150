/*!
The platform's list of live and leaving hosts.

The list lags, so an entry that is missing from one reading is not taken as a
failure of the host; only an entry marked as leaving, or one that stays away,
changes what the scheduler does.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{HostEntry, HostKind, HostState};
pub use state::HostTable;
