/*!
Settings of the daemon, from flags and environment variables.

A flag `--peer-listen` has the environment variable
`AUBURNSADDLE_PEER_LISTEN`; the flag wins.
*/

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::SettingsError;
pub use state::DaemonSettings;
