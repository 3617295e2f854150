/*!
Durable records of the owned shards: the record log and its store calls.

The control thread owns [`ShardJournals`]. A module with durable shard state,
such as the keys or the tasks, uses it as follows:

1. [`JournalNotice::Opened`] delivers the records of an acquired shard.
2. [`ShardJournals::append`] queues a record and returns its identifier. The
   record is committed after the current control event, as the commit interval
   permits.
3. [`JournalNotice::Durable`] or [`JournalNotice::Failed`] reports the outcome
   for the identifier.
4. On [`JournalNotice::SnapshotNeeded`] the module passes the records that describe
   the shard's current state to [`ShardJournals::start_snapshot`] at once.

Payloads are encoded with [`encode_payload`], which keeps the encoding out of the
decision logic. [`has_journal`] returns whether a shard has a journal.
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
pub(crate) use state::{JournalOutput, ShardJournals, has_journal};
