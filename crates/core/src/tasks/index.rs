//! A segment tree over the workers' available capacity, which finds workers
//! that fit a demand in a logarithmic number of steps.

use crate::types::ResourceVector;

/// Counters of the work that placement has done. Benches read them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkCounter {
    /// Steps in indexes plus comparisons of workers.
    pub steps: u64,
    /// Tasks that were placed on a worker.
    pub placed: u64,
}

/// Bound on the steps of one search, as a multiple of the depth of the tree.
/// A search can descend into a subtree without a fitting worker, since a node
/// only knows processors by class, and its maximum of accelerators and its
/// memory can come from different workers. The bound keeps such searches
/// logarithmic.
const STEPS_PER_LEVEL: u64 = 16;
/// Lower bounds of the processor classes, in thousandths of a processor. A
/// worker counts in each class whose bound its free processors reach.
const CPU_CLASS_FLOORS_MILLI: [u64; 16] = [
    250, 500, 1_000, 1_500, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000, 32_000,
    48_000, 64_000, 96_000,
];

/// Summary of the available capacity in a subtree.
///
/// The maximum of each resource alone is not enough. If one worker is short of
/// memory and another is short of processors, the maxima come from different
/// workers, and the subtree seems to fit a demand that neither of them fits. In a
/// full pool nearly every subtree is of that kind, and a search would use up its
/// steps before it reaches a worker that fits. The node therefore also keeps the
/// maximum memory for each class of processors.
#[derive(Clone, Debug, Default)]
struct CapacityNode {
    /// Maximum of each resource over the workers, each taken separately.
    maximum: ResourceVector,
    /// For each processor class, the maximum memory of the workers in it.
    class_memory_mib: [u32; CPU_CLASS_FLOORS_MILLI.len()],
}

impl CapacityNode {
    /// Returns the summary of a single worker.
    fn new(available: ResourceVector) -> Self {
        let memory_mib = saturating_u32(available.memory_mib);
        Self {
            maximum: available,
            class_memory_mib: CPU_CLASS_FLOORS_MILLI.map(|floor| {
                if available.cpu_milli < floor {
                    0
                } else {
                    memory_mib
                }
            }),
        }
    }

    /// Returns the summary of two subtrees.
    fn merged(&self, other: &Self) -> Self {
        let (one, two) = (&self.maximum, &other.maximum);
        Self {
            maximum: ResourceVector {
                cpu_milli: one.cpu_milli.max(two.cpu_milli),
                memory_mib: one.memory_mib.max(two.memory_mib),
                accelerators: one.accelerators.max(two.accelerators),
            },
            class_memory_mib: std::array::from_fn(|cpu_class| {
                self.class_memory_mib[cpu_class].max(other.class_memory_mib[cpu_class])
            }),
        }
    }

    /// Returns whether a worker of the subtree may fit `demand`, whose
    /// processors are of `cpu_class`. May return `true` without such a worker.
    fn may_fit(&self, demand: &ResourceVector, cpu_class: Option<usize>) -> bool {
        let memory_mib = cpu_class.map_or(u32::MAX, |cpu_class| self.class_memory_mib[cpu_class]);
        demand.fits_in(&self.maximum) && saturating_u32(demand.memory_mib) <= memory_mib
    }
}

/// Converts an amount of memory to the integer type of a node, saturating.
fn saturating_u32(memory_mib: u64) -> u32 {
    u32::try_from(memory_mib).unwrap_or(u32::MAX)
}

/// A segment tree over the available capacity of workers, by position.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityIndex {
    /// The root is at 1, and the children of node `n` are at `2n` and `2n + 1`.
    nodes: Vec<CapacityNode>,
    leaf_count: usize,
}

/// State of one bounded search through the tree.
struct CapacitySearch<'a> {
    demand: &'a ResourceVector,
    cpu_class: Option<usize>,
    /// First position to consider.
    from: usize,
    /// Length of `found` at which the search ends.
    limit: usize,
    steps_left: u64,
    found: &'a mut Vec<usize>,
}

impl CapacityIndex {
    /// Returns an index of the available capacity at each position.
    pub(super) fn new(available: &[ResourceVector]) -> Self {
        let leaf_count = available.len().next_power_of_two();
        let mut index = Self {
            nodes: vec![CapacityNode::default(); 2 * leaf_count],
            leaf_count,
        };
        for (node, available) in index.nodes[leaf_count..].iter_mut().zip(available) {
            *node = CapacityNode::new(*available);
        }
        for node in (1..leaf_count).rev() {
            index.nodes[node] = index.merged(node);
        }
        index
    }

    /// Returns the summary of the two children of a node.
    fn merged(&self, node: usize) -> CapacityNode {
        self.nodes[2 * node].merged(&self.nodes[2 * node + 1])
    }

    /// Updates the capacity at a position and in the nodes above it.
    pub(super) fn set(
        &mut self,
        position: usize,
        available: ResourceVector,
        work: &mut WorkCounter,
    ) {
        let mut node = self.leaf_count + position;
        self.nodes[node] = CapacityNode::new(available);
        while node > 1 {
            node /= 2;
            self.nodes[node] = self.merged(node);
            work.steps += 1;
        }
    }

    /// Returns the number of positions, rounded up to a power of two.
    pub(super) const fn leaf_count(&self) -> usize {
        self.leaf_count
    }

    /// Appends up to `limit` positions that fit `demand` to `found`, in
    /// ascending order from `from`.
    pub(super) fn find(
        &self,
        demand: &ResourceVector,
        from: usize,
        limit: usize,
        found: &mut Vec<usize>,
        work: &mut WorkCounter,
    ) {
        let budget = STEPS_PER_LEVEL * u64::from(self.leaf_count.ilog2() + 1);
        let mut search = CapacitySearch {
            demand,
            cpu_class: CPU_CLASS_FLOORS_MILLI
                .iter()
                .rposition(|floor| *floor <= demand.cpu_milli),
            from,
            limit: found.len() + limit,
            steps_left: budget,
            found,
        };
        self.descend(1, 0, self.leaf_count, &mut search);
        work.steps += budget - search.steps_left;
    }

    /// Searches the subtree of `node`, which covers `width` positions from
    /// `first`.
    fn descend(&self, node: usize, first: usize, width: usize, search: &mut CapacitySearch<'_>) {
        let done = search.found.len() >= search.limit || search.steps_left == 0;
        if done || first + width <= search.from {
            return;
        }
        search.steps_left -= 1;
        if !self.nodes[node].may_fit(search.demand, search.cpu_class) {
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
