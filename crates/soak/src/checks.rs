//! Checks of the promises against the history of a run.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::history::{FaultSpan, JobId, JobRecord, RunRecord, SoakHistory, SubmitOutcome};

/// Time allowed for a request to reach a daemon. A request that was sent less than this
/// before a stop may not have been read, so that its failure breaks no promise.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Time without a fault in which an owner has met each instance of a worker that answers: a takeover
/// (2.5 s) and the renewal of a worker (1.9 s until one without an answer fails).
const CONTACT_TIME: Duration = Duration::from_secs(5);

/// Maximum time for which a task that lasts may be without a run, counted from the last fault:
/// the 3 s of `contact-ms`, the 4 s that the rule LOST requires to be calm, and the 3 s that it
/// allows.
pub(crate) const RESTORE_BOUND: Duration = Duration::from_secs(10);

/// Time from the cancellation of a job until its tasks have stopped: `cancel_ms` and
/// `stop-grace-ms`.
pub(crate) const CANCEL_TIME: Duration = Duration::from_millis(3_200);

/// Number of workers that must have ended under a task before its job may be given up. The users
/// permit it from two on; an owner is to be surer than that.
const MIN_CRASHES: usize = 3;

/// A violation of a promise.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BrokenPromise {
    /// Name of the promise.
    pub promise: &'static str,
    /// Observation that violates it, with the job, worker or daemon.
    pub detail: String,
}

/// Returns the violations in a history, sorted. `capacity` is that of a worker, in thousandths of
/// a core.
#[must_use]
pub fn check_history(history: &SoakHistory, capacity: usize) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    for (id, job) in &history.jobs {
        check_job(*id, job, history, &mut broken);
    }
    check_lasting_tasks(history, &mut broken);
    check_single_placement(history, &mut broken);
    check_labels(history, &mut broken);
    check_capacity(history, capacity, &mut broken);
    check_team_cap(history, &mut broken);
    check_planned_stops(history, &mut broken);
    for (daemon, before, after) in &history.manifest_reverts {
        broken.push(BrokenPromise {
            promise: "the manifest does not go back",
            detail: format!("daemon {daemon} used version {before} and then {after}"),
        });
    }
    broken.sort();
    broken
}

/// Checks the promises about a single job: accepted work is kept, refused work does not
/// run, completed work is done, steps run in order and cancelled work stops.
fn check_job(id: JobId, job: &JobRecord, history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    let mut report_broken = |promise, detail| broken.push(BrokenPromise { promise, detail });
    let runs: Vec<&RunRecord> = history.runs.iter().filter(|run| run.task.0 == id).collect();
    let is_accepted = job.outcomes.contains(&SubmitOutcome::Accepted);
    let is_refused = job
        .outcomes
        .iter()
        .all(|outcome| *outcome == SubmitOutcome::Refused);
    if is_refused && !runs.is_empty() {
        report_broken(
            "refused work does not run",
            format!("{id:016x} ran: {runs:?}"),
        );
    }
    let has_ended = match job.state.as_deref() {
        Some("completed") => !job.is_lasting,
        Some("cancelled") => job.cancel_requested_at.is_some(),
        Some("failed") => may_be_given_up(id, history),
        _ => false,
    };
    if is_accepted && (job.has_gone_response || !has_ended) {
        let detail = format!(
            "{id:016x}: gone: {}, last state: {:?}",
            job.has_gone_response, job.state
        );
        report_broken("accepted work is kept", detail);
    }
    if job.state.as_deref() == Some("completed") {
        let done_tasks: BTreeSet<(u32, u32)> = runs
            .iter()
            .filter(|run| matches!(run.ended, Some((_, "done"))))
            .map(|run| (run.task.1, run.task.2))
            .collect();
        let task_count = job
            .tasks_per_step
            .iter()
            .map(|count| *count as usize)
            .sum::<usize>();
        if done_tasks.len() < task_count {
            let detail = format!("{id:016x}: {} of {task_count} tasks", done_tasks.len());
            report_broken("completed work is done", detail);
        }
    }
    for run in &runs {
        let (_, step, index) = run.task;
        let Some(previous_step) = step.checked_sub(1) else {
            continue;
        };
        let done_before = runs.iter().filter(|other| other.task.1 == previous_step);
        let done_before = done_before.filter_map(|other| match other.ended {
            Some((at, "done")) if at <= run.began_at => Some(other.task.2),
            _ => None,
        });
        let done_before: BTreeSet<u32> = done_before.collect();
        if done_before.len() < job.tasks_per_step[previous_step as usize] as usize {
            report_broken(
                "steps run in order",
                format!("{id:016x}.{step}.{index} began before the previous step was done"),
            );
        }
    }
    // A job may be cancelled shortly before the end of the run.
    let stops_by = job.cancel_requested_at.map(|at| at + CANCEL_TIME);
    let late_runs = runs
        .iter()
        .filter(|run| match history.settled_at.max(stops_by) {
            Some(at) if job.state.as_deref() == Some("cancelled") => {
                run.began_at > at || run.ended.is_none()
            }
            _ => false,
        });
    for run in late_runs {
        report_broken("cancelled work stops", format!("{id:016x}: {run:?}"));
    }
}

/// Returns whether so many workers have ended under a task of a job that the job may be given up. The
/// owner cannot tell a task that crashes its workers from one whose workers are restarted.
fn may_be_given_up(id: JobId, history: &SoakHistory) -> bool {
    let mut crashes: BTreeMap<(u32, u32), usize> = BTreeMap::new();
    for run in history.runs.iter().filter(|run| run.task.0 == id) {
        let (_, step, index) = run.task;
        let is_crash = matches!(run.ended, Some((_, "lost")));
        *crashes.entry((step, index)).or_default() += usize::from(is_crash);
    }
    crashes.values().any(|count| *count >= MIN_CRASHES)
}

/// Checks that each task that lasts has a run within [`RESTORE_BOUND`] of the latest fault, from
/// the acceptance of its job to its cancellation.
fn check_lasting_tasks(history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    let faults = collect_faults(history);
    for (id, job) in history.jobs.iter().filter(|(_, job)| job.is_lasting) {
        let cancelled_at = job.cancel_requested_at.or(history.settled_at);
        let (Some(accepted_at), Some(cancelled_at)) = (job.accepted_at, cancelled_at) else {
            continue;
        };
        if job.state.as_deref() == Some("failed") && may_be_given_up(*id, history) {
            continue;
        }
        let steps = (0..).zip(&job.tasks_per_step);
        let tasks = steps.flat_map(|(step, count)| (0..*count).map(move |index| (step, index)));
        for (step, index) in tasks {
            let runs = history.runs.iter();
            let runs = runs.filter(|run| run.task == (*id, step, index));
            let runs = runs.map(|run| (run.began_at, run.ended.map_or(cancelled_at, |(at, _)| at)));
            for (from, to) in free_spans((accepted_at, cancelled_at), runs.collect()) {
                let calm_spans = free_spans((from, to), faults.clone());
                let calm_times = calm_spans.into_iter().map(|(from, to)| to - from);
                let longest_calm = calm_times.max().unwrap_or_default();
                if longest_calm > RESTORE_BOUND {
                    broken.push(BrokenPromise {
                        promise: "a lasting task is at work",
                        detail: format!(
                            "{id:016x}.{step}.{index}: without a run for {:?}, {:?} after its \
                             acceptance, and {longest_calm:?} of that without a fault",
                            to - from,
                            from - accepted_at,
                        ),
                    });
                }
            }
        }
    }
}

/// Returns the spans of all faults that can affect a task, up to the time at which all faults
/// had ended.
fn collect_faults(history: &SoakHistory) -> Vec<(Instant, Instant)> {
    let spans = history.daemon_faults.iter().chain(&history.worker_faults);
    let spans = spans.chain(&history.store_faults);
    let spans = spans.map(|span| {
        (
            span.from,
            span.to.min(history.faults_ended_at.unwrap_or(span.to)),
        )
    });
    let stops = history.planned_stops.iter();
    spans
        .chain(stops.map(|stop| (stop.from, stop.to)))
        .collect()
}

/// Returns the parts of a time span that none of the given spans covers. A span without a
/// duration divides the part that contains it.
fn free_spans(
    (from, to): (Instant, Instant),
    mut covered: Vec<(Instant, Instant)>,
) -> Vec<(Instant, Instant)> {
    covered.sort_unstable();
    let mut free = Vec::new();
    let mut free_from = from;
    for (covered_from, covered_to) in covered {
        if free_from < covered_from.min(to) {
            free.push((free_from, covered_from.min(to)));
        }
        free_from = free_from.max(covered_to);
    }
    if free_from < to {
        free.push((free_from, to));
    }
    free
}

/// Checks that the runs of a task neither overlap nor follow a successful run.
///
/// A run that an instance has started by an order for its former one, before an owner knew of it,
/// is allowed beside another one: the instance knows no higher fencing token, the deadline is on the
/// clock of the former instance, and an owner cannot bound the time for which the network holds an
/// order.
fn check_single_placement(history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    let mut tasks: BTreeMap<(JobId, u32, u32), Vec<&RunRecord>> = BTreeMap::new();
    for run in &history.runs {
        tasks.entry(run.task).or_default().push(run);
    }
    for ((id, step, index), mut runs) in tasks {
        runs.sort_by_key(|run| run.began_at);
        let pairs = runs.iter().enumerate();
        let pairs = pairs.flat_map(|(index, first)| {
            let later_runs = runs[index + 1..].iter();
            later_runs.map(move |second| (*first, *second))
        });
        for (first, second) in pairs {
            let has_ended = first.ended.is_some_and(|(at, _)| at <= second.began_at);
            // If a fault of the worker delays the report of an end until the lease of the
            // worker has expired, the task may run again.
            let was_reported = |at: Instant| {
                let faults = history.worker_faults.iter();
                !faults
                    .filter(|span| span.index == first.worker)
                    .any(|span| overlaps(span, at, second.began_at))
            };
            let is_repeated = matches!(first.ended, Some((at, "done")) if was_reported(at));
            let is_preventable =
                [first, second].map(|run| !run.is_for_former_instance || is_known(history, run));
            if is_preventable == [true; 2] && (!has_ended || is_repeated) {
                broken.push(BrokenPromise {
                    promise: "a task runs in one place",
                    detail: format!("{id:016x}.{step}.{index}: {first:?}, {second:?}"),
                });
            }
        }
    }
}

/// Checks that no task starts on an instance of a worker without the label that it requires.
///
/// Starts before an owner knows of a new instance are by orders for the former one.
fn check_labels(history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    for run in &history.runs {
        let job = history.jobs.get(&run.task.0);
        let required_label = job.and_then(|job| job.required_label);
        let has_label = required_label.is_none_or(|label| label == run.kind);
        if !has_label && is_known(history, run) {
            let (id, step, index) = run.task;
            broken.push(BrokenPromise {
                promise: "a task runs on a worker with its label",
                detail: format!("{id:016x}.{step}.{index}: {run:?}"),
            });
        }
    }
}

/// Returns whether an owner knew of the instance of a worker when it started a run, so that it
/// could have called the instance with a higher fencing token.
///
/// Only the answer to a renewal names an instance. The first one counts if no fault of the daemons,
/// the store or the links of the worker follows before the next call is under way, and otherwise
/// those in [`CONTACT_TIME`] without such a fault.
fn is_known(history: &SoakHistory, run: &RunRecord) -> bool {
    let Some(renewed_at) = run.renewed_at else {
        return false;
    };
    let links = history.worker_link_faults.iter();
    let faults = links
        .filter(|span| span.index == run.worker)
        .chain(&history.daemon_faults)
        .chain(&history.store_faults)
        .chain(&history.planned_stops)
        .map(|span| (span.from, span.to));
    let calm_spans = free_spans((renewed_at, run.began_at), faults.collect());
    calm_spans.into_iter().any(|(from, to)| {
        let time_to_know = match from {
            _ if from == renewed_at => DELIVERY_TIME,
            _ => CONTACT_TIME,
        };
        to - from > time_to_know
    })
}

/// Returns whether the span has an instant between `from` and `to`, both included.
fn overlaps(span: &FaultSpan, from: Instant, to: Instant) -> bool {
    span.from <= to && from <= span.to
}

/// Checks that the tasks that a worker runs at a time fit into its capacity. Runs that no owner
/// can prevent, as in [`check_single_placement`], do not count.
fn check_capacity(history: &SoakHistory, capacity: usize, broken: &mut Vec<BrokenPromise>) {
    let mut starts_and_ends: BTreeMap<usize, Vec<(Instant, bool, usize)>> = BTreeMap::new();
    let runs = history.runs.iter();
    for run in runs.filter(|run| !run.is_for_former_instance || is_known(history, run)) {
        let job = history.jobs.get(&run.task.0);
        let cpu = job.map_or(0, |job| job.cpu);
        let changes = starts_and_ends.entry(run.worker).or_default();
        changes.push((run.began_at, true, cpu));
        changes.extend(run.ended.map(|(at, _)| (at, false, cpu)));
    }
    for (worker, mut changes) in starts_and_ends {
        // At the same instant, ends sort before starts.
        changes.sort_unstable();
        let mut used = 0_usize;
        let mut peak = 0;
        for (_, is_start, cpu) in changes {
            used = if is_start {
                used + cpu
            } else {
                used.saturating_sub(cpu)
            };
            peak = peak.max(used);
        }
        if peak > capacity {
            broken.push(BrokenPromise {
                promise: "no worker is over its size",
                detail: format!(
                    "worker {worker} ran tasks for {peak} of {capacity} thousandths of a core"
                ),
            });
        }
    }
}

/// Checks that no start brings the team with a cap above it by more than a tenth and one task. Runs on
/// workers that were lost have no end.
fn check_team_cap(history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    let is_capped = |run: &&RunRecord| {
        let job = history.jobs.get(&run.task.0);
        job.is_some_and(|job| job.is_capped) && run.ended.is_some()
    };
    let runs: Vec<&RunRecord> = history.runs.iter().filter(is_capped).collect();
    for run in &runs {
        let running = runs.iter().filter(|other| {
            let is_over = other.ended.is_some_and(|(at, _)| at <= run.began_at);
            other.began_at <= run.began_at && !is_over
        });
        let cpu = |run: &RunRecord| history.jobs.get(&run.task.0).map_or(0, |job| job.cpu);
        let used: usize = running.map(|other| cpu(other)).sum();
        if used > history.team_cap * 11 / 10 + cpu(run) {
            broken.push(BrokenPromise {
                promise: "a team keeps to its cap",
                detail: format!(
                    "the start of {:x?} brought it to {used} of {} thousandths of a core",
                    run.task, history.team_cap
                ),
            });
        }
    }
}

/// Checks that a planned stop breaks no connection with an open request, unless another
/// fault affects the daemon during the stop.
fn check_planned_stops(history: &SoakHistory, broken: &mut Vec<BrokenPromise>) {
    for stop in &history.planned_stops {
        let mut faults = history.daemon_faults.iter();
        let has_other_fault =
            faults.any(|span| span.index == stop.index && overlaps(span, stop.from, stop.to));
        let cut_requests = history.broken_requests.iter().filter(|request| {
            request.daemon == stop.index
                && request.sent_at + DELIVERY_TIME < stop.from
                && stop.from < request.broke_at
                && request.broke_at <= stop.to
        });
        for request in cut_requests.filter(|_| !has_other_fault) {
            broken.push(BrokenPromise {
                promise: "a planned stop cuts no answer",
                detail: format!("daemon {}: {request:?}", stop.index),
            });
        }
    }
}
