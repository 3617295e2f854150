//! The promises of the product, checked on a history.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::history::{JobId, JobRecord, RunRecord, SoakHistory, SubmitOutcome, TimeSpan};

/// Time for a request to reach a daemon; one that was sent later before a stop may
/// not have been read.
const SENDING_TIME: Duration = Duration::from_millis(100);

/// A promise that was not kept.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BrokenPromise {
    /// Its name.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

/// Returns the promises that were not kept. `capacity` is the number of tasks for
/// which a worker has room.
#[must_use]
pub fn check_history(history: &SoakHistory, capacity: usize) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    for (id, job) in &history.jobs {
        check_job(*id, job, history, &mut broken);
    }
    check_places(history, &mut broken);
    check_room(history, capacity, &mut broken);
    check_stops(history, &mut broken);
    for (daemon, before, after) in &history.reverted {
        broken.push(BrokenPromise {
            promise: "the manifest does not go back",
            detail: format!("daemon {daemon} used version {before} and then {after}"),
        });
    }
    broken.sort();
    broken
}

fn check_job(id: JobId, job: &JobRecord, history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    let mut note = |promise, detail| broken.push(BrokenPromise { promise, detail });
    let runs: Vec<&RunRecord> = history.runs.iter().filter(|run| run.task.0 == id).collect();
    let is_accepted = job.outcomes.contains(&SubmitOutcome::Accepted);
    let is_refused = job
        .outcomes
        .iter()
        .all(|outcome| *outcome == SubmitOutcome::Refused);
    if is_refused && !runs.is_empty() {
        note(
            "refused work does not run",
            format!("{id:016x} ran: {runs:?}"),
        );
    }
    let is_over = match job.state.as_deref() {
        Some("completed") => true,
        Some("cancelled") => job.is_cancelled,
        _ => false,
    };
    if is_accepted && (job.was_gone || !is_over) {
        let detail = format!(
            "{id:016x} was gone: {}, state {:?}",
            job.was_gone, job.state
        );
        note("accepted work is kept", detail);
    }
    if job.state.as_deref() == Some("completed") {
        let done: BTreeSet<(u32, u32)> = runs
            .iter()
            .filter(|run| matches!(run.ended, Some((_, "done"))))
            .map(|run| (run.task.1, run.task.2))
            .collect();
        let tasks = job.steps.iter().map(|count| *count as usize).sum::<usize>();
        if done.len() < tasks {
            let detail = format!("{id:016x}: {} of {tasks} tasks", done.len());
            note("completed work is done", detail);
        }
    }
    for run in &runs {
        let (_, step, index) = run.task;
        let Some(before) = step.checked_sub(1) else {
            continue;
        };
        let ends = runs.iter().filter(|row| row.task.1 == before);
        let ends = ends.filter_map(|row| match row.ended {
            Some((at, "done")) if at <= run.began_at => Some(row.task.2),
            _ => None,
        });
        let ends: BTreeSet<u32> = ends.collect();
        if ends.len() < job.steps[before as usize] as usize {
            note(
                "steps run in order",
                format!("{id:016x}.{step}.{index} began early"),
            );
        }
    }
    let late = runs.iter().filter(|run| match history.settled_at {
        Some(at) if job.state.as_deref() == Some("cancelled") => {
            run.began_at > at || run.ended.is_none()
        }
        _ => false,
    });
    for run in late {
        note("cancelled work stops", format!("{id:016x}: {run:?}"));
    }
}

fn check_places(history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    let mut tasks: BTreeMap<(JobId, u32, u32), Vec<&RunRecord>> = BTreeMap::new();
    for run in &history.runs {
        tasks.entry(run.task).or_default().push(run);
    }
    for ((id, step, index), mut runs) in tasks {
        runs.sort_by_key(|run| run.began_at);
        for pair in runs.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            let is_over = first.ended.is_some_and(|(at, _)| at <= second.began_at);
            // The end may not have been heard of when the lease of the worker lapsed.
            let was_heard = |at: Instant| {
                let faults = history.worker_faults.iter();
                !faults
                    .filter(|span| span.target == first.worker)
                    .any(|span| overlaps(span, at, second.began_at))
            };
            let is_repeated = matches!(first.ended, Some((at, "done")) if was_heard(at));
            if !is_over || is_repeated {
                broken.push(BrokenPromise {
                    promise: "a task runs in one place",
                    detail: format!("{id:016x}.{step}.{index}: {first:?}, {second:?}"),
                });
            }
        }
    }
}

fn overlaps(span: &TimeSpan, from: Instant, to: Instant) -> bool {
    span.from <= to && from <= span.to
}

fn check_room(history: &SoakHistory, capacity: usize, broken: &mut Vec<BrokenPromise>) {
    let mut changes: BTreeMap<usize, Vec<(Instant, bool)>> = BTreeMap::new();
    for run in &history.runs {
        let rows = changes.entry(run.worker).or_default();
        rows.push((run.began_at, true));
        rows.extend(run.ended.map(|(at, _)| (at, false)));
    }
    for (worker, mut rows) in changes {
        // At the same instant, ends come first.
        rows.sort_unstable();
        let mut running = 0_usize;
        let mut most = 0;
        for (_, is_begin) in rows {
            running = if is_begin {
                running + 1
            } else {
                running.saturating_sub(1)
            };
            most = most.max(running);
        }
        if most > capacity {
            broken.push(BrokenPromise {
                promise: "no worker is over its size",
                detail: format!("worker {worker} ran {most} tasks, and has room for {capacity}"),
            });
        }
    }
}

fn check_stops(history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    for stop in &history.stops {
        let mut faults = history.daemon_faults.iter();
        let is_disturbed =
            faults.any(|span| span.target == stop.target && overlaps(span, stop.from, stop.to));
        let cut = history.broken.iter().filter(|row| {
            row.daemon == stop.target
                && row.sent_at + SENDING_TIME < stop.from
                && stop.from < row.broke_at
                && row.broke_at <= stop.to
        });
        for row in cut.filter(|_| !is_disturbed) {
            broken.push(BrokenPromise {
                promise: "a planned stop cuts no answer",
                detail: format!("daemon {}: {row:?}", stop.target),
            });
        }
    }
}
