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

/// Steps of one search, as a multiple of the depth of the tree. A search can
/// still enter a subtree in vain, because processors count by class and the
/// accelerators of a node may stem from another worker than its memory; this
/// bound keeps such searches logarithmic.
const STEPS_PER_LEVEL: u64 = 16;
/// Free processors, in thousandths, from which on a worker counts in each class.
const CLASS_FLOORS: [u64; 16] = [
    250, 500, 1_000, 1_500, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000, 32_000,
    48_000, 64_000, 96_000,
];

/// The room of a subtree.
///
/// With the greatest processors and the greatest memory alone, a subtree with
/// one worker that is short of memory and one that is short of processors looks
/// as if it had room. In a full pool nearly every subtree is of that kind, and
/// a search used up its steps before it came to a worker with room.
#[derive(Clone, Debug, Default)]
struct RoomNode {
    greatest: ResourceVector,
    /// For each class of processors, the greatest memory of a worker in it.
    memory: [u32; CLASS_FLOORS.len()],
}

impl RoomNode {
    fn new(free: ResourceVector) -> Self {
        let memory = narrow(free.memory_mib);
        Self {
            greatest: free,
            memory: CLASS_FLOORS.map(|floor| if free.cpu_milli < floor { 0 } else { memory }),
        }
    }

    fn joined(&self, other: &Self) -> Self {
        let (one, two) = (&self.greatest, &other.greatest);
        Self {
            greatest: ResourceVector {
                cpu_milli: one.cpu_milli.max(two.cpu_milli),
                memory_mib: one.memory_mib.max(two.memory_mib),
                accelerators: one.accelerators.max(two.accelerators),
            },
            memory: std::array::from_fn(|class| self.memory[class].max(other.memory[class])),
        }
    }

    /// Tells whether a worker of the subtree may have room for `demand`, whose
    /// processors are of `class`.
    fn may_hold(&self, demand: &ResourceVector, class: Option<usize>) -> bool {
        let memory = class.map_or(u32::MAX, |class| self.memory[class]);
        demand.fits_in(&self.greatest) && narrow(demand.memory_mib) <= memory
    }
}

/// Returns an amount of memory, or the greatest one that a node can note.
fn narrow(memory_mib: u64) -> u32 {
    u32::try_from(memory_mib).unwrap_or(u32::MAX)
}

/// The greatest free amounts of each subtree, in slot order.
#[derive(Clone, Debug, Default)]
pub(super) struct RoomIndex {
    nodes: Vec<RoomNode>,
    leaves: usize,
}

/// One bounded search through a tree.
struct RoomSearch<'a> {
    demand: &'a ResourceVector,
    class: Option<usize>,
    from: usize,
    limit: usize,
    steps_left: u64,
    found: &'a mut Vec<usize>,
}

impl RoomIndex {
    pub(super) fn new(free: &[ResourceVector]) -> Self {
        let leaves = free.len().next_power_of_two();
        let mut index = Self {
            nodes: vec![RoomNode::default(); 2 * leaves],
            leaves,
        };
        for (node, free) in index.nodes[leaves..].iter_mut().zip(free) {
            *node = RoomNode::new(*free);
        }
        for node in (1..leaves).rev() {
            index.nodes[node] = index.joined(node);
        }
        index
    }

    fn joined(&self, node: usize) -> RoomNode {
        self.nodes[2 * node].joined(&self.nodes[2 * node + 1])
    }

    pub(super) fn set(&mut self, slot: usize, free: ResourceVector, work: &mut WorkCounter) {
        let mut node = self.leaves + slot;
        self.nodes[node] = RoomNode::new(free);
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
            class: CLASS_FLOORS
                .iter()
                .rposition(|floor| *floor <= demand.cpu_milli),
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
        if !self.nodes[node].may_hold(search.demand, search.class) {
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
