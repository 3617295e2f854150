//! The queue of ready steps.
//!
//! Load pattern: thousands of equal steps of one job wait for a full service. The steps of a job
//! that need the same are a group, so a placement pass that finds no room for one of them leaves
//! out the others.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    ops::Bound,
};

use super::{
    queue::QueueRank,
    spec::{PipelineId, StepKey},
};

/// Identifies the steps of a job that need the same resources and the same label.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct StepGroup {
    pub(super) pipeline: PipelineId,
    /// Lowest index of these steps.
    pub(super) first_step: u32,
}

/// Ready steps of all jobs, in the order in which they are placed.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadyQueue {
    groups: BTreeMap<StepGroup, BTreeSet<(QueueRank, StepKey)>>,
    len: usize,
}

/// The position of a placement pass in the queue: the next step of each group.
#[derive(Debug)]
pub(super) struct QueueCursor {
    heads: BinaryHeap<Reverse<QueueEntry>>,
}

/// A ready step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueEntry {
    pub(super) rank: QueueRank,
    pub(super) key: StepKey,
    group: StepGroup,
}

impl ReadyQueue {
    pub(super) fn insert(&mut self, group: StepGroup, rank: QueueRank, key: StepKey) {
        let steps = self.groups.entry(group).or_default();
        self.len += usize::from(steps.insert((rank, key)));
    }

    pub(super) fn remove(&mut self, group: StepGroup, rank: QueueRank, key: StepKey) {
        let Some(steps) = self.groups.get_mut(&group) else {
            return;
        };
        self.len -= usize::from(steps.remove(&(rank, key)));
        if steps.is_empty() {
            self.groups.remove(&group);
        }
    }

    pub(super) const fn len(&self) -> usize {
        self.len
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns all steps, group by group.
    pub(super) fn steps(&self) -> impl Iterator<Item = (QueueRank, StepKey)> {
        self.groups.values().flatten().copied()
    }

    /// Returns the steps of the jobs that are selected, in the order in which they are placed.
    pub(super) fn steps_of(&self, is_selected: impl Fn(PipelineId) -> bool) -> Vec<StepKey> {
        let groups = self.groups.iter();
        let groups = groups.filter(|(group, _)| is_selected(group.pipeline));
        let mut steps: Vec<(QueueRank, StepKey)> =
            groups.flat_map(|(_, steps)| steps).copied().collect();
        steps.sort_unstable();
        steps.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns a cursor at the first step.
    pub(super) fn cursor(&self) -> QueueCursor {
        let heads = self.groups.iter().filter_map(|(group, steps)| {
            let (rank, key) = *steps.first()?;
            let group = *group;
            Some(Reverse(QueueEntry { rank, key, group }))
        });
        QueueCursor {
            heads: heads.collect(),
        }
    }

    /// Returns the step of the same group that follows an entry.
    fn next_in_group(&self, entry: &QueueEntry) -> Option<QueueEntry> {
        let after = (Bound::Excluded((entry.rank, entry.key)), Bound::Unbounded);
        let steps = self.groups.get(&entry.group)?;
        let (rank, key) = *steps.range(after).next()?;
        let group = entry.group;
        Some(QueueEntry { rank, key, group })
    }
}

impl QueueCursor {
    /// Returns the next step. The others of its group follow once [`Self::continue_group`] is called.
    pub(super) fn pop(&mut self) -> Option<QueueEntry> {
        self.heads.pop().map(|Reverse(entry)| entry)
    }

    /// Adds the step that follows an entry in its group.
    pub(super) fn continue_group(&mut self, entry: &QueueEntry, queue: &ReadyQueue) {
        self.heads.extend(queue.next_in_group(entry).map(Reverse));
    }
}
