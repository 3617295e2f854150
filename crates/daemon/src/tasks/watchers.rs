//! Callers that wait for a change of a task or for a durable cancellation.

use std::collections::{BTreeMap, BTreeSet};

use auburnsaddle_core::{
    CancelItem, CancelReply, CancelResult, TaskId, TaskPhase, TaskReply, TaskStatus,
};
use tokio::sync::oneshot;

/// A caller that waits until the status of a task has another sequence number.
#[derive(Debug)]
struct TaskWatcher {
    /// The sequence number that the caller has seen.
    after: u64,
    reply: oneshot::Sender<TaskReply>,
}

/// A cancellation whose reply waits until the ends that it caused are durable.
#[derive(Debug)]
struct PendingCancel {
    /// Tasks that it ended, but whose end is not durable yet.
    unrecorded_tasks: BTreeSet<TaskId>,
    items: Vec<CancelItem>,
    reply: oneshot::Sender<TaskReply>,
}

/// The waiting callers of one pool.
#[derive(Debug, Default)]
pub(super) struct TaskWatchers {
    watchers: BTreeMap<TaskId, Vec<TaskWatcher>>,
    pending_cancels: Vec<PendingCancel>,
    /// Tasks that ended, but whose end is not durable yet.
    unrecorded_ends: BTreeSet<TaskId>,
}

impl TaskWatchers {
    /// Hides the end of a task from callers until its record is durable.
    pub(super) fn mark_end_unrecorded(&mut self, task: TaskId) {
        self.unrecorded_ends.insert(task);
    }

    /// Returns whether a caller waits for a change of a task.
    pub(super) fn has_watcher(&self, task: TaskId) -> bool {
        self.watchers.contains_key(&task)
    }

    /// Returns the status as callers may see it: a task whose end is not durable is
    /// shown as stopping, with the previous sequence number.
    pub(super) fn hide_unrecorded_end(&self, status: TaskStatus) -> TaskStatus {
        if !self.unrecorded_ends.contains(&status.id) {
            return status;
        }
        TaskStatus {
            state: TaskPhase::Stopping,
            outcome: None,
            sequence: status.sequence.saturating_sub(1),
            ..status
        }
    }

    /// Replies at once if the sequence number differs from `after` or the task has
    /// ended, else after the next change.
    ///
    /// Each owner starts its own series of sequence numbers, so an `after` above
    /// the current number does not wait either.
    pub(super) fn add_watcher(
        &mut self,
        status: TaskStatus,
        after: u64,
        reply: oneshot::Sender<TaskReply>,
    ) {
        if status.sequence != after || status.state == TaskPhase::Ended {
            // The send fails if the caller has disconnected.
            let _ = reply.send(TaskReply::Status(status));
            return;
        }
        let watchers = self.watchers.entry(status.id).or_default();
        watchers.retain(|watcher| !watcher.reply.is_closed());
        watchers.push(TaskWatcher { after, reply });
    }

    /// Replies to a cancellation once the ends that it caused are durable, because
    /// the next owner starts a task again if it does not find its end.
    pub(super) fn add_cancel(&mut self, items: Vec<CancelItem>, reply: oneshot::Sender<TaskReply>) {
        let ended = items.iter().filter(|item| {
            item.result == CancelResult::NotStarted && self.unrecorded_ends.contains(&item.id)
        });
        let cancel = PendingCancel {
            unrecorded_tasks: ended.map(|item| item.id).collect(),
            items,
            reply,
        };
        self.pending_cancels.push(cancel);
        self.answer_recorded_cancels();
    }

    /// Replies to the callers that wait for this change of a task, and records that
    /// an end is durable.
    pub(super) fn publish_status(&mut self, status: &TaskStatus) {
        if status.state == TaskPhase::Ended && self.unrecorded_ends.remove(&status.id) {
            for cancel in &mut self.pending_cancels {
                cancel.unrecorded_tasks.remove(&status.id);
            }
            self.answer_recorded_cancels();
        }
        for watcher in self.watchers.remove(&status.id).unwrap_or_default() {
            if watcher.after == status.sequence {
                let watchers = self.watchers.entry(status.id).or_default();
                watchers.push(watcher);
            } else {
                let _ = watcher.reply.send(TaskReply::Status(status.clone()));
            }
        }
    }

    /// Replies to the cancellations whose ends are all durable.
    fn answer_recorded_cancels(&mut self) {
        let done = self
            .pending_cancels
            .extract_if(.., |cancel| cancel.unrecorded_tasks.is_empty());
        for cancel in done {
            let reply = CancelReply {
                tasks: cancel.items,
            };
            let _ = cancel.reply.send(TaskReply::Cancelled(reply));
        }
    }
}
