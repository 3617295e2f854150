/*!
Settings of the daemon, read from flags and environment variables.

Each flag, such as `--peer-listen`, has an environment variable, here
`AUBURNSADDLE_PEER_LISTEN`; the flag takes precedence. A single table of settings
drives parsing, the help text and the operators' documentation.
*/

mod messages;
mod reader;
mod state;
mod table;
#[cfg(test)]
mod tests;

pub use messages::SettingsError;
pub use state::{CallerLimits, DaemonCommand, DaemonSettings};
