/*!
The scheduling decisions of auburnsaddle.

This crate decides; it does not communicate. Every module here takes its state,
an event and the current time, and returns actions. Nothing in it opens a
socket, reads a clock, draws unseeded randomness or knows an encoding, so each
decision can be tested in virtual time and reused behind another front end.

# Slices

Each folder is one duty with its own state, messages and tests:

* `objects`: the objects that operators write, parsed and checked as one set.
* `publication`: configuration versions, which only ever go forward.
* `hosts`: the platform's list of live and leaving hosts.
* `membership`: which peer daemons are alive.
* `ownership`: which daemon owns which shard, and under which epoch.
* `journal`: durable records in group commits.
* `keys`: idempotency keys.
* `calls`: short calls, queued at their shard until a runner slot is free.
* `tasks`: batch runs, gang jobs and long-running tasks, placed on workers.
* `health`: workers, runners and jobs that fail too often.

# Time

`now` is always a [`Duration`](std::time::Duration) since the origin of the
process's monotonic clock. Wall-clock time is never used, so a clock step has
no effect.

# Example

A call shard with one runner grants its only slot, then queues:

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
mod membership;
mod objects;
mod ownership;
mod tasks;
mod types;

pub use calls::{CallAction, CallConfig, CallEvent, CallQueue, CallRequest};
pub use calls::{GrantResult, RunnerEntry, SlotGrant};
pub use health::{HealthAction, HealthConfig, HealthEvent, HealthTable};
pub use hosts::{HostEntry, HostKind, HostState, HostTable};
pub use membership::{Heartbeat, MemberRecord, PeerConfig, PeerState, PeerTable};
pub use objects::{FencingMode, ObjectError, ObjectErrorKind, ObjectSet};
pub use objects::{MarketSpec, PoolSpec, ServiceSpec, TeamSpec};
pub use ownership::{OwnerRecord, OwnerTable, OwnershipAction, OwnershipEvent};
pub use tasks::{CancelResult, Candidate, GangMode, JobId, JobSpec, PackingFirst, PlacementPolicy};
pub use tasks::{RecordId, RejectReason, ReportedTask, RestartPolicy, TaskAction, TaskConfig};
pub use tasks::{TaskEvent, TaskOutcome, TaskQueue, TaskRecord, TaskState, TaskView, TeamQuota};
pub use tasks::{WaitReason, WaitingFirst, WorkCounter, WorkerEntry, WorkerReport};
pub use types::{Attempt, ConfigVersion, DaemonId, Epoch, GrantId, HostId, ObjectName};
pub use types::{CallOutcome, NotRunReason, ResourceVector, ShardName, UnknownReason};
pub use types::{PoolId, RackId, RegionId, RequestId, RunnerId, ServiceId, TaskId, TeamId};
pub use types::{ShardNameError, UrgencyClass, WorkerId, ZoneId};
