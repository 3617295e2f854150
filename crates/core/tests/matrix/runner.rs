//! Runners, which keep their own log of calls.

use std::{collections::BTreeMap, time::Duration};

use auburnsaddle_core::{Epoch, KeyDigest, RequestId};

use super::{SLOTS, network::Node};

/// How long a call runs.
pub(crate) const CALL_TIME: Duration = Duration::from_millis(300);

/// A request of a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RunnerRequest {
    Call {
        epoch: Epoch,
        request: RequestId,
        key: KeyDigest,
        fingerprint: KeyDigest,
    },
    Query(KeyDigest),
}

/// What a runner answers; a response repeats the fingerprint of its request.
#[derive(Clone, Debug)]
pub(crate) enum RunnerReply {
    Response(Vec<u8>),
    Rejected,
    Running,
    NotKnown,
}

#[derive(Clone, Debug)]
struct RunningCall {
    ends_at: Duration,
    key: KeyDigest,
    body: Vec<u8>,
    caller: Node,
    id: u64,
}

#[derive(Default)]
pub(crate) struct Runner {
    pub(crate) log: Vec<(RequestId, KeyDigest)>,
    epoch: Epoch,
    running: Vec<RunningCall>,
    done: BTreeMap<KeyDigest, Vec<u8>>,
}

impl Runner {
    pub(crate) const fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Returns the responses of calls that have ended.
    pub(crate) fn finish(&mut self, now: Duration) -> Vec<(Node, u64, RunnerReply)> {
        let ended = self.running.extract_if(.., |call| call.ends_at <= now);
        let mut replies = Vec::new();
        for call in ended {
            self.done.insert(call.key, call.body.clone());
            replies.push((call.caller, call.id, RunnerReply::Response(call.body)));
        }
        replies
    }

    /// Answers at once, or returns `None` for a call that now runs.
    pub(crate) fn answer(
        &mut self,
        caller: Node,
        id: u64,
        request: RunnerRequest,
        now: Duration,
    ) -> Option<RunnerReply> {
        match request {
            RunnerRequest::Query(key) => Some(self.query(key)),
            RunnerRequest::Call { epoch, .. }
                if epoch < self.epoch || self.running.len() >= SLOTS as usize =>
            {
                Some(RunnerReply::Rejected)
            }
            RunnerRequest::Call {
                epoch,
                request,
                key,
                fingerprint,
            } => {
                self.epoch = epoch;
                self.log.push((request, key));
                self.running.push(RunningCall {
                    ends_at: now + CALL_TIME,
                    key,
                    body: fingerprint.to_vec(),
                    caller,
                    id,
                });
                None
            }
        }
    }

    fn query(&self, key: KeyDigest) -> RunnerReply {
        match self.done.get(&key) {
            Some(body) => RunnerReply::Response(body.clone()),
            None if self.running.iter().any(|call| call.key == key) => RunnerReply::Running,
            None => RunnerReply::NotKnown,
        }
    }
}
