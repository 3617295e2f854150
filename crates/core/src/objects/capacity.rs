//! Checks of the demand of work and teams against the capacity of pools.

use super::{
    check::SetCheck,
    messages::{ObjectKind, ObjectProblemKind},
    spec::PoolSpec,
    work::WorkSpec,
};
use crate::types::ResourceVector;

/// Returns the number of declared hosts of a pool.
pub(super) fn count_pool_hosts(pool: &PoolSpec) -> u64 {
    let counts = pool.shapes.iter().map(|shape| shape.count);
    counts.fold(0, u64::saturating_add)
}

/// Checks that the work fits into its pool and into the quota of its team.
///
/// A pool without declared shapes counts as unlimited here. The owner of the pool
/// rejects work that no live worker can hold.
pub(super) fn check_work(check: &mut SetCheck<'_>, work: &WorkSpec) {
    let is_gang = matches!(&check.object, Some(object) if object.kind == ObjectKind::Gang);
    let set = check.set;
    match set.pools.get(&work.pool) {
        Some(pool) if !pool.shapes.is_empty() => {
            let pool_name = pool.name.to_string();
            let max_tasks = max_concurrent_tasks(pool, &work.request);
            if max_tasks == 0 {
                check.report_problem(ObjectProblemKind::TaskTooLarge { pool: pool_name });
            } else if is_gang && max_tasks < work.count {
                check.report_problem(ObjectProblemKind::GangTooLarge {
                    pool: pool_name,
                    max_tasks,
                    wanted: work.count,
                });
            }
        }
        _ => {}
    }
    let concurrent_tasks = if is_gang { work.count } else { 1 };
    match set.teams.get(&work.team) {
        Some(team) if !work.request.times(concurrent_tasks).fits_in(&team.quota) => {
            check.report_problem(ObjectProblemKind::OverQuota {
                team: team.name.to_string(),
            });
        }
        _ => {}
    }
}

/// Checks that the guarantees of all teams together fit into all declared hosts.
///
/// Nothing is checked if a pool has no declared shapes.
pub(super) fn check_guarantees(check: &mut SetCheck<'_>) {
    let set = check.set;
    if set.pools.values().any(|pool| pool.shapes.is_empty()) {
        return;
    }
    let shapes = set.pools.values().flat_map(|pool| &pool.shapes);
    let capacity = shapes
        .map(|shape| shape.capacity.times(shape.count))
        .fold(ResourceVector::default(), |sum, part| sum.plus(&part));
    let teams = set.teams.values();
    let guaranteed = teams.fold(ResourceVector::default(), |sum, team| {
        sum.plus(&team.guaranteed)
    });
    let resources = [
        ("cpu_milli", guaranteed.cpu_milli, capacity.cpu_milli),
        ("memory_mib", guaranteed.memory_mib, capacity.memory_mib),
        (
            "accelerators",
            guaranteed.accelerators,
            capacity.accelerators,
        ),
    ];
    for (resource, guaranteed, capacity) in resources {
        if guaranteed > capacity {
            check.report_problem(ObjectProblemKind::GuaranteesOverCapacity {
                resource,
                guaranteed,
                capacity,
            });
        }
    }
}

/// Returns how many tasks of one size the empty pool can run at once.
///
/// Work without accelerators may use only a configured share of the processors of
/// accelerator hosts.
fn max_concurrent_tasks(pool: &PoolSpec, request: &ResourceVector) -> u64 {
    let shapes = pool.shapes.iter().map(|shape| {
        let mut capacity = shape.capacity;
        if request.accelerators == 0 && capacity.accelerators > 0 {
            let share = pool.accelerator_host_share_percent.min(100);
            capacity.cpu_milli = capacity.cpu_milli.saturating_mul(share) / 100;
        }
        max_tasks_per_host(&capacity, request).saturating_mul(shape.count)
    });
    shapes.fold(0, u64::saturating_add)
}

fn max_tasks_per_host(capacity: &ResourceVector, request: &ResourceVector) -> u64 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
    ratio(capacity.cpu_milli, request.cpu_milli)
        .min(ratio(capacity.memory_mib, request.memory_mib))
        .min(ratio(capacity.accelerators, request.accelerators))
}
