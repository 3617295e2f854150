//! A tree over workers that finds room in a logarithmic number of steps.

use crate::types::ResourceVector;

/// Index steps and comparisons done so far; benches read it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkCounter {
    /// Steps in indexes and comparisons of workers.
    pub steps: u64,
    /// Tasks that were given a place.
    pub placed: u64,
}

/// Steps of one search, as a multiple of the depth of the tree. The maxima of a
/// node may stem from different workers, so a search can enter subtrees in
/// vain; this bound keeps such searches logarithmic.
const STEPS_PER_LEVEL: u64 = 8;

/// The greatest free amounts of each subtree, in slot order.
#[derive(Clone, Debug, Default)]
pub(super) struct RoomIndex {
    nodes: Vec<ResourceVector>,
    leaves: usize,
}

/// One bounded search through a tree.
struct RoomSearch<'a> {
    demand: &'a ResourceVector,
    from: usize,
    limit: usize,
    steps_left: u64,
    found: &'a mut Vec<usize>,
}

impl RoomIndex {
    pub(super) fn new(free: &[ResourceVector]) -> Self {
        let leaves = free.len().next_power_of_two();
        let mut index = Self {
            nodes: vec![ResourceVector::default(); 2 * leaves],
            leaves,
        };
        index.nodes[leaves..leaves + free.len()].copy_from_slice(free);
        for node in (1..leaves).rev() {
            index.nodes[node] = index.joined(node);
        }
        index
    }

    fn joined(&self, node: usize) -> ResourceVector {
        let (left, right) = (self.nodes[2 * node], self.nodes[2 * node + 1]);
        ResourceVector {
            cpu_milli: left.cpu_milli.max(right.cpu_milli),
            memory_mib: left.memory_mib.max(right.memory_mib),
            accelerators: left.accelerators.max(right.accelerators),
        }
    }

    pub(super) fn set(&mut self, slot: usize, free: ResourceVector, work: &mut WorkCounter) {
        let mut node = self.leaves + slot;
        self.nodes[node] = free;
        while node > 1 {
            node /= 2;
            self.nodes[node] = self.joined(node);
            work.steps += 1;
        }
    }

    pub(super) const fn leaves(&self) -> usize {
        self.leaves
    }

    /// Adds up to `limit` slots from `from` on that have room for `demand`.
    pub(super) fn find(
        &self,
        demand: &ResourceVector,
        from: usize,
        limit: usize,
        found: &mut Vec<usize>,
        work: &mut WorkCounter,
    ) {
        let budget = STEPS_PER_LEVEL * u64::from(self.leaves.ilog2() + 1);
        let mut search = RoomSearch {
            demand,
            from,
            limit: found.len() + limit,
            steps_left: budget,
            found,
        };
        self.descend(1, 0, self.leaves, &mut search);
        work.steps += budget - search.steps_left;
    }

    fn descend(&self, node: usize, first: usize, width: usize, search: &mut RoomSearch<'_>) {
        let done = search.found.len() >= search.limit || search.steps_left == 0;
        if done || first + width <= search.from {
            return;
        }
        search.steps_left -= 1;
        if !search.demand.fits_in(&self.nodes[node]) {
            return;
        }
        if width == 1 {
            search.found.push(first);
            return;
        }
        let half = width / 2;
        self.descend(2 * node, first, half, search);
        self.descend(2 * node + 1, first + half, half, search);
    }
}
