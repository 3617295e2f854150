//! Detection of cyclic dependencies between batch runs.

use std::collections::BTreeSet;

use super::{
    check::SetCheck,
    messages::{ObjectKind, ObjectProblemKind, ObjectRef},
};
use crate::types::ObjectName;

/// Reports each cycle once, at its first batch run by name.
pub(super) fn check_cycles(check: &mut SetCheck<'_>) {
    let set = check.set;
    let mut visited = BTreeSet::new();
    for name in set.batches.keys() {
        for path in find_cycles(check, name, &mut visited) {
            let first = path.iter().min().cloned().unwrap_or_default();
            check.object = Some(ObjectRef::new(ObjectKind::Batch, &first));
            check.report_problem(ObjectProblemKind::Cycle {
                path: path.iter().map(ToString::to_string).collect(),
            });
        }
    }
}

/// Returns the cycles reachable from `start`. The depth-first search uses an
/// explicit stack, so that a long chain cannot overflow the thread's stack.
fn find_cycles(
    check: &SetCheck<'_>,
    start: &ObjectName,
    visited: &mut BTreeSet<ObjectName>,
) -> Vec<Vec<ObjectName>> {
    let mut path: Vec<(ObjectName, usize)> = vec![(start.clone(), 0)];
    let mut cycles = Vec::new();
    while let Some((name, next)) = path.last_mut() {
        let batch = check.set.batches.get(name);
        let dependency = batch.and_then(|batch| batch.after.get(*next)).cloned();
        *next += 1;
        match dependency {
            Some(dependency) if visited.contains(&dependency) => {}
            Some(dependency) => match path.iter().position(|(name, _)| *name == dependency) {
                Some(index) => {
                    let cycle = path[index..].iter().map(|(name, _)| name.clone());
                    cycles.push(cycle.chain([dependency]).collect());
                }
                None => path.push((dependency, 0)),
            },
            None => {
                visited.extend(path.pop().map(|(name, _)| name));
            }
        }
    }
    cycles
}
