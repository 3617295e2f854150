/*!
The scheduling decisions of auburnsaddle.

This crate contains state machines without I/O. Each takes an event and the
current time, updates its state and returns actions for its caller to perform.
No code here opens a socket, reads a clock, draws unseeded random numbers or
depends on a wire encoding, so that each decision can be tested in virtual time
and reused behind another front end.

# Slices

Each module is one slice, with its own state, messages and tests:

* `objects`: parsing and validation of the objects that operators define.
* `publication`: distribution of configuration versions.
* `hosts`: the platform's list of live and leaving hosts.
* `membership`: registration of daemons and failure detection.
* `ownership`: assignment of shards to daemons, with epochs as fencing tokens.
* `journal`: durable records, written in group commits.
* `keys`: idempotency keys.
* `calls`: short calls, queued at their shard until a runner slot is free.
* `tasks`: batch runs, gang jobs and long-running tasks, placed on workers.
* `pipelines`: jobs of dependent steps on the workers of a service.
* `teams`: terms of teams, which share the workers.
* `quotas`: caps on what a team has running across services.
* `intake`: what the connections of a listener hold in memory.
* `health`: detection of workers, runners and jobs that fail repeatedly.

# Time

The parameter `now` is the [`Duration`](std::time::Duration) since the origin of
the process's monotonic clock. Wall-clock time is never used, so clock steps have
no effect.

# Example

A call shard with one runner grants its only slot and queues the next call:

```
use std::time::Duration;

use auburnsaddle_core::{CallAction, CallConfig, CallEvent, CallQueue, CallRequest, RunnerEntry};

let mut queue = CallQueue::new(CallConfig::default());
let runner = RunnerEntry::new("runner-1", 1);
queue.handle(CallEvent::RunnersChanged(vec![runner]), Duration::ZERO);

let first = CallRequest::new(1, Duration::from_secs(1));
let actions = queue.handle(CallEvent::Requested(first), Duration::ZERO);
assert!(matches!(actions[..], [CallAction::Grant(_)]));

let second = CallRequest::new(2, Duration::from_secs(1));
let actions = queue.handle(CallEvent::Requested(second), Duration::ZERO);
assert!(actions.is_empty());
```
*/

mod calls;
mod health;
mod hosts;
mod instances;
mod intake;
mod journal;
mod keys;
mod membership;
mod objects;
mod ownership;
mod pipelines;
mod publication;
mod quotas;
mod streaks;
mod tasks;
mod teams;
mod types;
mod wall_clock;

pub use calls::{CallAction, CallConfig, CallConfigBuilder, CallEvent, CallLoad, CallQueue};
pub use calls::{CallRequest, GrantResult, RunnerEntry, SlotGrant, SlotLender};
pub use calls::{ConfigBuilder, RetryBudget, RetryConfig, RetryConfigBuilder, RetryDecision};
pub use calls::{LoanBody, LoanConfig, LoanKey, LoanMessage};
pub use calls::{QueueView, RunnerHealth, RunnerView};
pub use health::{HealthAction, HealthConfig, HealthEvent, HealthTable};
pub use hosts::{HostEntry, HostKind, HostState, HostTable};
pub use intake::{ConnectionNumber, IntakeLimits, IntakeRefusal, IntakeTable};
pub use journal::{BatchNumber, JournalAction, JournalBatch, JournalCodec, JournalConfig};
pub use journal::{JournalError, JournalEvent, JournalKey, JournalRecord, JournalReplay};
pub use journal::{RecordId, RecordKind, RecordLog, RecordUrgency, SegmentBody, SegmentPosition};
pub use journal::{
    SegmentWrite, SnapshotManifest, decode_envelope, encode_envelope, replay_journal,
};
pub use keys::{KEY_SHARDS, KeyRequest, KeyResponse, KeyTable, RunnerAnswer, digest_key};
pub use keys::{KeyAction, KeyConfig, KeyDigest, KeyEvent, KeyOutcome, KeyRecord, KeyReply};
pub use keys::{digest_request, key_shard_index};
pub use membership::{Heartbeat, LoadReporter, MemberRecord, OwnedDigest, PeerConfig, PeerState};
pub use membership::{PeerTable, RegistrationAction, RegistrationEvent, RegistrationLease};
pub use membership::{ShardLoad, digest_owned, heartbeat_bytes_per_second};
pub use objects::{ChangeKind, ObjectChange, ObjectDelta, ObjectSet, ObjectSpec, check_objects};
pub use objects::{FencingMode, HostShape, MarketSpec, PoolObjective, PoolSpec};
pub use objects::{ObjectKind, ObjectLoader, ObjectProblem, ObjectProblemKind, ObjectRef};
pub use objects::{ObjectReport, ServiceSpec, TeamSpec, WorkSpec};
pub use ownership::{OwnerRecord, OwnerTable, OwnershipAction, OwnershipConfig};
pub use ownership::{OwnershipEvent, ShardPhase};
pub use pipelines::{AdviceOrder, AdvicePolicy, AdviceReport, CommitEntry, EndedRun};
pub use pipelines::{
    LossCause, ObservedRun, PaceOrder, RenewalFailure, RenewalOrder, RenewalReport, RenewalStamp,
};
pub use pipelines::{MAX_OPEN_TASKS, MAX_PREDECESSOR_TIME, UNCONFIRMED_RENEWAL_TIME};
pub use pipelines::{PipelineAction, PipelineConfig, PipelineEvent, PipelineId, PipelineLoad};
pub use pipelines::{PipelineNote, SLOW_DECISION_MS};
pub use pipelines::{PipelinePhase, PipelineProgress, PipelineSchedule, PipelineSpec};
pub use pipelines::{PipelineState, ProgressCommit, QueuePolicy, RunEnd, RunHolder, RunKey};
pub use pipelines::{
    StartAnswer, StartOrder, StartResult, StepKey, StepProgress, StepSpec, StepWait, StopOrder,
};
pub use pipelines::{TaskKey, TaskKeyError, TaskPlace, TaskProgress, WorkerListing};
pub use publication::{ConfigAction, ConfigDelta, ConfigDigest, ConfigEvent, ConfigHead};
pub use publication::{ConfigPull, ConfigReply, ConfigSnapshot, ConfigSource, ConfigState};
pub use publication::{ConfigRejection, SNAPSHOT_INTERVAL, StatusReply, digest_objects};
pub use publication::{ConfigUpdate, ErrorReply, PublishError, PublishReply, PublishRequest};
pub use quotas::{QuotaAllotment, QuotaChange, QuotaLedger, QuotaOutcome, QuotaRecord};
pub use quotas::{QuotaWrite, StoredQuota, TeamUsage};
pub use tasks::{CancelItem, CancelReply, SubmitReply, SubmitRequest, TaskList, TaskPhase};
pub use tasks::{
    CancelResult, GangMode, JobId, JobRejection, JobSpec, PackingFirst, WorkerCandidate,
};
pub use tasks::{PlacementPolicy, ReportedTask, TaskAction, TaskConfig, TaskEvent, TaskOutcome};
pub use tasks::{TaskQueue, TaskRecord, TaskState, TaskView, TeamQuota, WaitReason, WaitingFirst};
pub use tasks::{TaskRefusal, TaskReply, TaskRequest, TaskStatus, WatchReply};
pub use tasks::{WorkCounter, WorkerEntry, WorkerReport};
pub use teams::{ResourceCap, TeamTable, TeamTerms};
pub use types::{Attempt, ConfigVersion, DaemonId, Epoch, GrantId, HostId, ObjectName};
pub use types::{CallOutcome, NotRunReason, ResourceVector, ShardName, UnknownReason};
pub use types::{PoolId, RackId, RegionId, RequestId, RestartPolicy, RunnerId, ServiceId};
pub use types::{ShardNameError, TaskId, TeamId, UrgencyClass, WorkerId, ZoneId};
pub use wall_clock::WallClock;
