/*!
The pipelines of the services that this daemon owns.

The store holds, below one prefix:

| key | holds |
|---|---|
| `pub/owner/SERVICE` | the owner, under its lease |
| `pub/member/DAEMON` | the address for peers, under the daemon's lease |
| `phase/ID` | the summary of a job, from its acceptance on |
| `seq/SERVICE` | epoch and number of the latest commit |
| `job/SERVICE/jID` | a job, until it is over |
| `job/SERVICE/xID` | a cancellation, until it is carried out |
| `prog/SERVICE/NUMBER` | the progress of the jobs that a commit changed |

Each commit of an owner names the revision of `seq/SERVICE` that its last commit
left behind. A commit of a replaced owner fails, and so does one that the store
carries out late, after newer ones.
*/

mod acquire;
mod advisors;
mod log;
mod orders;
mod records;
mod shard;
#[cfg(test)]
mod tests;

pub(crate) use acquire::{AcquireOutcome, LoadedShard, acquire_shard};
pub(crate) use advisors::count_advisors;
pub(crate) use advisors::{
    AdvisorTable, PeerAnswer, PeerQuestion, expected_answer_ms, request_advice,
};
pub(crate) use orders::WorkerOrders;
pub(crate) use records::{CellKey, PUBLIC_PREFIX, SUMMARY_PREFIX, decode_value, encode_value};
pub(crate) use records::{MemberEntry, OwnerEntry, StoredJob};
pub(crate) use shard::{CommitStatus, OwnedShard};
