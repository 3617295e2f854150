/*!
The platform's list of live and leaving hosts.

The list is not always up to date, so a host that is missing from it once has not
necessarily failed. The scheduler reacts only to a host that is marked as leaving
or stays missing.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::{HostEntry, HostKind, HostState};
pub use state::HostTable;
