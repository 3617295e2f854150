/*!
Publication of configuration versions through the store and between peers.

The store holds `config/head`, one `config/delta/<n>` for each version and, at
every 32nd version, `config/snapshot/<n>/<part>`. A version is published by one
transaction that compares the head.
*/

mod dump;
mod messages;
mod state;
#[cfg(test)]
mod tests;
mod transfer;

pub(crate) use dump::ConfigDump;
pub(crate) use messages::CommitResult;
pub(crate) use state::{HEAD_KEY, decode_head};
pub(crate) use transfer::{commit_update, fetch_versions};
