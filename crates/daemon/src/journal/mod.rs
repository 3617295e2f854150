/*!
Durable records: the record log and its store calls.

The control thread owns [`ShardJournals`]. A slice with durable state uses it as
follows:

1. [`JournalNotice::Opened`] hands it the records of an acquired shard.
2. [`ShardJournals::append`] takes a record and returns its identifier. The
   record is committed at the end of the control event.
3. [`JournalNotice::Durable`] or [`JournalNotice::Failed`] names the identifier.
4. [`JournalNotice::ExportNeeded`] asks for the records that describe the shard,
   which the slice passes to [`ShardJournals::export`] at once.

Payloads are encoded with [`encode_payload`], so decisions stay free of it.
Which shards keep a journal is said by [`keeps_journal`].
*/

mod codec;
mod dump;
mod exchange;
mod messages;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use codec::{decode_payload, encode_payload};
pub(crate) use dump::JournalDump;
pub(crate) use exchange::run_effect;
pub(crate) use messages::{JournalEffect, JournalNotice, JournalReport};
pub(crate) use state::{JournalOutput, ShardJournals, keeps_journal};
