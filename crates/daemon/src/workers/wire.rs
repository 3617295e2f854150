//! JSON wire format of requests to workers and of their responses.

use std::time::Duration;

use auburnsaddle_core::{Attempt, Epoch, ResourceVector, TaskId};
use serde::{Deserialize, Serialize};

use super::messages::{
    AttemptEnd, AttemptName, AttemptStart, ClaimReport, CompletionReport, EventSequence,
    SyncReport, WorkerTarget,
};

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct ClaimRequest {
    shard: String,
    epoch: Epoch,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct StartRequest<'a> {
    shard: String,
    epoch: Epoch,
    task: TaskId,
    attempt: Attempt,
    resources: ResourceVector,
    lease_ms: u64,
    payload: &'a serde_json::Value,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct AttemptRequest {
    shard: String,
    epoch: Epoch,
    task: TaskId,
    attempt: Attempt,
    cpu_milli: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct SyncRequest {
    shard: String,
    epoch: Epoch,
    lease_ms: u64,
    after: EventSequence,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ClaimReply {
    capacity: ResourceVector,
    running: Vec<RunningItem>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RunningItem {
    task: TaskId,
    attempt: Attempt,
    resources: ResourceVector,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct AttemptReply {
    pub(super) found: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct SyncReply {
    usage: ResourceVector,
    completions: Vec<CompletionItem>,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct CompletionItem {
    sequence: EventSequence,
    task: TaskId,
    attempt: Attempt,
    result: ResultItem,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ResultItem {
    Succeeded,
    Failed,
    Stopped,
    LeaseExpired,
}

impl ClaimRequest {
    pub(super) fn new(target: &WorkerTarget) -> Self {
        Self {
            shard: target.shard.to_string(),
            epoch: target.epoch,
        }
    }
}

impl<'a> StartRequest<'a> {
    pub(super) fn new(target: &WorkerTarget, start: &'a AttemptStart) -> Self {
        Self {
            shard: target.shard.to_string(),
            epoch: target.epoch,
            task: start.name.task,
            attempt: start.name.attempt,
            resources: start.resources,
            lease_ms: to_milliseconds(start.lease),
            payload: &start.payload,
        }
    }
}

impl AttemptRequest {
    pub(super) fn new(target: &WorkerTarget, name: AttemptName, cpu_milli: u64) -> Self {
        Self {
            shard: target.shard.to_string(),
            epoch: target.epoch,
            task: name.task,
            attempt: name.attempt,
            cpu_milli,
        }
    }
}

impl SyncRequest {
    pub(super) fn new(target: &WorkerTarget, lease: Duration, after: EventSequence) -> Self {
        Self {
            shard: target.shard.to_string(),
            epoch: target.epoch,
            lease_ms: to_milliseconds(lease),
            after,
        }
    }
}

impl From<ClaimReply> for ClaimReport {
    fn from(reply: ClaimReply) -> Self {
        let running = reply.running.into_iter();
        Self {
            capacity: reply.capacity,
            running: running
                .map(|item| {
                    let RunningItem {
                        task,
                        attempt,
                        resources,
                    } = item;
                    (AttemptName { task, attempt }, resources)
                })
                .collect(),
        }
    }
}

impl From<SyncReply> for SyncReport {
    fn from(reply: SyncReply) -> Self {
        let completions = reply.completions.into_iter();
        Self {
            usage: reply.usage,
            completions: completions.map(CompletionReport::from).collect(),
        }
    }
}

impl From<CompletionItem> for CompletionReport {
    fn from(item: CompletionItem) -> Self {
        Self {
            sequence: item.sequence,
            name: AttemptName {
                task: item.task,
                attempt: item.attempt,
            },
            end: match item.result {
                ResultItem::Succeeded => AttemptEnd::Succeeded,
                ResultItem::Failed => AttemptEnd::Failed,
                ResultItem::Stopped => AttemptEnd::Stopped,
                ResultItem::LeaseExpired => AttemptEnd::LeaseExpired,
            },
        }
    }
}

fn to_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
