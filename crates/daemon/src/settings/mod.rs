/*!
Settings of the daemon, from flags and environment variables.

A flag `--peer-listen` has the environment variable
`AUBURNSADDLE_PEER_LISTEN`; the flag wins. One table of settings drives
parsing, help and the operators' page.
*/

mod messages;
mod reader;
mod state;
mod table;
#[cfg(test)]
mod tests;

pub use messages::SettingsError;
pub use state::{CallerLimits, DaemonCommand, DaemonSettings};
