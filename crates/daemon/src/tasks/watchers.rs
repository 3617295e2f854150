//! Callers that wait for a change or for the record of an end.

use std::collections::{BTreeMap, BTreeSet};

use auburnsaddle_core::{
    CancelItem, CancelReply, CancelResult, TaskId, TaskPhase, TaskReply, TaskStatus,
};
use tokio::sync::oneshot;

/// A caller that waits until a task has left a position.
#[derive(Debug)]
struct TaskWatcher {
    after: u64,
    reply: oneshot::Sender<TaskReply>,
}

/// A cancellation that is answered once the ends are durable.
#[derive(Debug)]
struct PendingCancel {
    waiting: BTreeSet<TaskId>,
    items: Vec<CancelItem>,
    reply: oneshot::Sender<TaskReply>,
}

/// The waiting callers of one pool.
#[derive(Debug, Default)]
pub(super) struct TaskWatchers {
    watchers: BTreeMap<TaskId, Vec<TaskWatcher>>,
    cancels: Vec<PendingCancel>,
    /// Tasks that ended, but whose end is not durable.
    unrecorded: BTreeSet<TaskId>,
}

impl TaskWatchers {
    /// Hides the end of a task until its record is durable.
    pub(super) fn hide_end(&mut self, task: TaskId) {
        self.unrecorded.insert(task);
    }

    /// Tells whether a caller waits for a change of a task.
    pub(super) fn has_watcher(&self, task: TaskId) -> bool {
        self.watchers.contains_key(&task)
    }

    /// Returns a status without an end that is not durable.
    pub(super) fn shown(&self, status: TaskStatus) -> TaskStatus {
        if !self.unrecorded.contains(&status.id) {
            return status;
        }
        TaskStatus {
            state: TaskPhase::Stopping,
            outcome: None,
            sequence: status.sequence.saturating_sub(1),
            ..status
        }
    }

    /// Answers now if the task is not at the position, else after a change.
    ///
    /// Positions start anew with each owner, so a greater one is no reason to
    /// wait either.
    pub(super) fn watch(
        &mut self,
        status: TaskStatus,
        after: u64,
        reply: oneshot::Sender<TaskReply>,
    ) {
        if status.sequence != after || status.state == TaskPhase::Ended {
            // The caller may have gone away meanwhile.
            let _ = reply.send(TaskReply::Status(status));
            return;
        }
        let watchers = self.watchers.entry(status.id).or_default();
        watchers.retain(|watcher| !watcher.reply.is_closed());
        watchers.push(TaskWatcher { after, reply });
    }

    /// Answers a cancellation once the ends that it caused are durable, since
    /// a next owner could start a task whose end it does not find.
    pub(super) fn cancel(&mut self, items: Vec<CancelItem>, reply: oneshot::Sender<TaskReply>) {
        let ended = items.iter().filter(|item| {
            item.result == CancelResult::NotStarted && self.unrecorded.contains(&item.id)
        });
        let cancel = PendingCancel {
            waiting: ended.map(|item| item.id).collect(),
            items,
            reply,
        };
        self.cancels.push(cancel);
        self.answer_cancels();
    }

    /// Shows a change of a task.
    pub(super) fn show(&mut self, status: &TaskStatus) {
        if status.state == TaskPhase::Ended && self.unrecorded.remove(&status.id) {
            for cancel in &mut self.cancels {
                cancel.waiting.remove(&status.id);
            }
            self.answer_cancels();
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

    fn answer_cancels(&mut self) {
        let done = self
            .cancels
            .extract_if(.., |cancel| cancel.waiting.is_empty());
        for cancel in done {
            let reply = CancelReply {
                tasks: cancel.items,
            };
            let _ = cancel.reply.send(TaskReply::Cancelled(reply));
        }
    }
}
