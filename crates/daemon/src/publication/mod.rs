/*!
Publication of configuration versions in the store.

The store holds the newest version's number and digest in `config/head`, a delta
for each version in `config/delta/<n>` and, for every 32nd version, a snapshot in
`config/snapshot/<n>/<part>`. One transaction publishes a version, on condition
that the head is still the version that it is based on.
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
