//! Detection of cyclic dependencies between batch runs.

use std::collections::BTreeSet;

use super::{
    check::SetCheck,
    messages::{ObjectKind, ObjectProblemKind, ObjectRef},
};
use crate::types::ObjectName;

/// Reports each cycle once, at its first batch run by name.
pub(super) fn check(check: &mut SetCheck<'_>) {
    let set = check.set;
    let mut finished = BTreeSet::new();
    for name in set.batches.keys() {
        for path in find_cycles(check, name, &mut finished) {
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
    finished: &mut BTreeSet<ObjectName>,
) -> Vec<Vec<ObjectName>> {
    let mut path: Vec<(ObjectName, usize)> = vec![(start.clone(), 0)];
    let mut cycles = Vec::new();
    while let Some((name, next)) = path.last_mut() {
        let batch = check.set.batches.get(name);
        let target = batch.and_then(|batch| batch.after.get(*next)).cloned();
        *next += 1;
        match target {
            Some(target) if finished.contains(&target) => {}
            Some(target) => match path.iter().position(|(name, _)| *name == target) {
                Some(index) => {
                    let members = path[index..].iter().map(|(name, _)| name.clone());
                    cycles.push(members.chain([target]).collect());
                }
                None => path.push((target, 0)),
            },
            None => {
                finished.extend(path.pop().map(|(name, _)| name));
            }
        }
    }
    cycles
}
