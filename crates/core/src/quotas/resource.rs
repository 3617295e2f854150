//! The part of a team's ledger that concerns one resource.

use crate::{teams::ResourceCap, types::ResourceVector};

/// Part of the cap that an owner asks for beyond its use, as a divisor, so that tasks do not wait
/// for a write. Also the part that an idle allotment may exceed that by.
const RESERVE_DIVISOR: u64 = 4;

/// Part of the cap below which a spare allotment is raised before tasks lack it, and from which
/// capacity is returned to a service that wants it, as a divisor. Smaller changes would cost a write
/// for each run that ends.
const STEP_DIVISOR: u64 = 16;

/// Amounts of one resource that decide a team's allotment in one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResourceShare {
    /// The cap; `None` if there is none.
    pub(super) cap: Option<u64>,
    /// Amount of the runs in the service.
    pub(super) used: u64,
    /// Amount that waiting tasks of the service lack.
    pub(super) lacking: u64,
    /// Largest demand of one of these tasks.
    pub(super) lacking_task: u64,
    /// Allotment of the service.
    pub(super) own: u64,
    /// Allotments of the other services.
    pub(super) others: u64,
    /// Amount that the other services want beyond their allotments.
    pub(super) wanted: u64,
    /// Number of services with an allotment or a want, with this one.
    pub(super) service_count: u64,
}

/// What a service should have of one resource.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ShareTarget {
    pub(super) allotted: u64,
    pub(super) wanted: u64,
    /// Whether tasks or another service wait for the change.
    pub(super) is_urgent: bool,
}

/// Returns the amounts of a vector in a fixed order.
pub(super) const fn amounts(vector: &ResourceVector) -> [u64; 3] {
    [vector.cpu_milli, vector.memory_mib, vector.accelerators]
}

/// Returns the bounds of a cap in the order of [`amounts`].
pub(super) const fn bounds(cap: &ResourceCap) -> [Option<u64>; 3] {
    [cap.cpu_milli, cap.memory_mib, cap.accelerators]
}

impl ResourceShare {
    /// Returns how many tasks with this demand may be placed.
    ///
    /// A task may exceed the cap if less than the cap is in use before it starts. Only a service whose
    /// allotment covers the task, while no other has one, starts it, so that no two services do.
    pub(super) fn admit(&self, demand: u64) -> u64 {
        match self.cap {
            Some(cap) if demand > 0 => {
                let limit = self.own.min(cap.saturating_sub(self.others));
                let limit = limit.min(self.kept_from_others(cap));
                let within = limit.saturating_sub(self.used) / demand;
                let end = self.used.saturating_add(demand.saturating_mul(within + 1));
                let is_alone = self.others == 0 && self.wanted == 0;
                let has_extra_task = is_alone && self.used <= cap && end <= self.own;
                within + u64::from(has_extra_task)
            }
            _ => u64::MAX,
        }
    }

    /// Returns what the service keeps at least while others want more: an equal part of the cap, or
    /// all but what they want. New tasks stay within it, since the runs of a busy service would
    /// otherwise be replaced as they end.
    fn kept_from_others(&self, cap: u64) -> u64 {
        if self.wanted == 0 {
            return self.own;
        }
        let given = self.wanted.max(cap / STEP_DIVISOR);
        let equal_part = cap / self.service_count.max(1);
        self.own.saturating_sub(given).max(equal_part.min(self.own))
    }

    /// Returns the largest sum of the allotments, of which one may exceed the cap by a task.
    const fn ceiling(&self, cap: u64) -> u64 {
        if self.others == 0 {
            cap.saturating_add(self.lacking_task)
        } else {
            cap
        }
    }

    /// Returns what the service needs now.
    fn need(&self, cap: u64) -> u64 {
        let need = self.used.saturating_add(self.lacking);
        need.min(self.ceiling(cap))
    }

    /// Returns what the service asks for: its need, and a reserve if it uses the resource.
    fn target(&self, cap: u64) -> u64 {
        match self.need(cap) {
            0 => 0,
            need => need
                .saturating_add(cap / RESERVE_DIVISOR)
                .min(cap.max(need)),
        }
    }

    /// Returns whether the allotment is much more than the service asks for.
    pub(super) fn is_idle(&self) -> bool {
        self.cap.is_some_and(|cap| {
            let target = self.target(cap);
            let slack = if target > 0 { cap / RESERVE_DIVISOR } else { 0 };
            self.own > target.saturating_add(slack)
        })
    }

    /// Returns what the service should have. With `returns_idle`, an allotment that is much more
    /// than that is returned.
    pub(super) fn choose_target(&self, returns_idle: bool) -> ShareTarget {
        let Some(cap) = self.cap else {
            return ShareTarget {
                allotted: 0,
                wanted: 0,
                is_urgent: false,
            };
        };
        let (need, target, own) = (self.need(cap), self.target(cap), self.own);
        // A lowered cap can be below the allotments.
        let available = self.ceiling(cap).saturating_sub(self.others);
        let equal_part = cap / self.service_count.max(1);
        let step = cap / STEP_DIVISOR;
        // What another service may have if it wants it: all but what runs, and what is needed of
        // an equal part.
        let kept = need.min(equal_part).max(self.used);
        let given = kept.max(own.saturating_sub(self.wanted.max(step)));
        let is_wanted = self.wanted > 0;
        let is_above_cap = own > available;
        let allotted = if is_above_cap {
            kept.min(own)
        } else if is_wanted && own > given && (own - given >= step || kept == 0) {
            given
        } else if need > own {
            let goal = if is_wanted {
                need.min(equal_part.max(own))
            } else {
                target
            };
            goal.min(available).max(own)
        } else if !is_wanted && target > own && own - need < step {
            target.min(available).max(own)
        } else if returns_idle && self.is_idle() {
            target.max(self.used).min(own)
        } else {
            own
        };
        ShareTarget {
            allotted,
            wanted: need.saturating_sub(allotted.min(available)),
            is_urgent: need > own || (allotted < own && (is_wanted || is_above_cap)),
        }
    }
}
