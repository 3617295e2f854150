//! What pools can hold, compared with what work and teams need.

use super::{
    check::SetCheck,
    messages::{ObjectKind, ObjectProblemKind},
    spec::PoolSpec,
    work::WorkSpec,
};
use crate::types::ResourceVector;

/// Returns the declared hosts of a pool.
pub(super) fn pool_hosts(pool: &PoolSpec) -> u64 {
    let counts = pool.shapes.iter().map(|shape| shape.count);
    counts.fold(0, u64::saturating_add)
}

/// Checks whether the pool and the team's quota can hold the work.
///
/// A pool without declared shapes is taken to hold anything; the owner of the
/// pool then rejects what no live worker can hold.
pub(super) fn check_work(check: &mut SetCheck<'_>, work: &WorkSpec) {
    let is_gang = matches!(&check.object, Some(object) if object.kind == ObjectKind::Gang);
    let set = check.set;
    match set.pools.get(&work.pool) {
        Some(pool) if !pool.shapes.is_empty() => {
            let pool_name = pool.name.to_string();
            let held = tasks_held(pool, &work.request);
            if held == 0 {
                check.note(ObjectProblemKind::TaskTooLarge { pool: pool_name });
            } else if is_gang && held < work.count {
                check.note(ObjectProblemKind::GangTooLarge {
                    pool: pool_name,
                    held,
                    wanted: work.count,
                });
            }
        }
        _ => {}
    }
    let together = if is_gang { work.count } else { 1 };
    match set.teams.get(&work.team) {
        Some(team) if !work.request.times(together).fits_in(&team.quota) => {
            check.note(ObjectProblemKind::OverQuota {
                team: team.name.to_string(),
            });
        }
        _ => {}
    }
}

/// Checks the guarantees of all teams against all declared hosts.
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
            check.note(ObjectProblemKind::GuaranteesOverCapacity {
                resource,
                guaranteed,
                capacity,
            });
        }
    }
}

/// Returns how many tasks of one size the empty pool holds at once.
///
/// Work without accelerators may use only a share of the processors of
/// accelerator hosts.
fn tasks_held(pool: &PoolSpec, request: &ResourceVector) -> u64 {
    let shapes = pool.shapes.iter().map(|shape| {
        let mut capacity = shape.capacity;
        if request.accelerators == 0 && capacity.accelerators > 0 {
            let share = pool.accelerator_host_share_percent.min(100);
            capacity.cpu_milli = capacity.cpu_milli.saturating_mul(share) / 100;
        }
        tasks_on_host(&capacity, request).saturating_mul(shape.count)
    });
    shapes.fold(0, u64::saturating_add)
}

fn tasks_on_host(capacity: &ResourceVector, request: &ResourceVector) -> u64 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
    ratio(capacity.cpu_milli, request.cpu_milli)
        .min(ratio(capacity.memory_mib, request.memory_mib))
        .min(ratio(capacity.accelerators, request.accelerators))
}
