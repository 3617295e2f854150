/*!
The pipelines of the services that this daemon owns.

Their state is in the store, below the prefix `auburnsaddle/`:

| key | value |
|---|---|
| `pub/owner/SERVICE` | the owner, attached to the lease of that daemon |
| `pub/member/DAEMON` | the daemon's address for peers, attached to its lease |
| `phase/ID` | the summary of a job, written when the job is accepted, or the mark of a job that was cancelled while there was none |
| `seq/SERVICE` | the epoch and number of the latest commit |
| `own/SERVICE` | the ownerships that may not have ended |
| `wit/SERVICE` | the witnesses of these ownerships |
| `job/SERVICE/jID` | a job, until its final phase is committed |
| `job/SERVICE/xID` | a cancellation request, until the job has ended |
| `prog/SERVICE/NUMBER` | the progress of the jobs that one commit changed |
| `quota/TEAM` | what each service may have running of a team; only where caps are enforced |

The daemon that stores a job or a cancellation request also notifies the owner, which
otherwise learns of it by its watch.

A commit writes the sequence and one record. Summaries follow in writes of their own,
which also remove the keys of the jobs that have ended.

Each commit of an owner is conditional on the revision of `seq/SERVICE` that its
previous commit wrote. Commits of a replaced owner therefore fail, and so do
commits that the store executes late, after newer ones.
*/

mod acquire;
mod advisors;
mod log;
mod notices;
mod orders;
mod quotas;
mod records;
mod sessions;
mod shard;
mod summaries;
#[cfg(test)]
pub(crate) mod tests;

pub(crate) use acquire::{AcquireOutcome, LoadedShard, acquire_shard};
pub(crate) use advisors::count_advisors;
pub(crate) use advisors::{
    AdviceRequest, AdviceResponse, AdvisorTable, expected_answer_ms, request_advice,
};
pub(crate) use notices::{JobChange, JobNotice, NOTICE_PATH, NoticeSender, deliver_notices};
pub(crate) use orders::WorkerOrders;
pub(crate) use quotas::{decode_quotas, quota_event};
pub(crate) use records::{CellKey, PUBLIC_PREFIX, QUOTA_PREFIX, SUMMARY_PREFIX};
pub(crate) use records::{MemberEntry, OwnerEntry, StoredJob};
pub(crate) use records::{decode_team_value, encode_team_value};
pub(crate) use records::{decode_value, encode_value};
pub(crate) use sessions::DaemonRegistration;
pub(crate) use shard::{CommitStatus, OwnedShard, ShardSettings};
pub(crate) use summaries::WriteNumber;
