//! Tests of workers on probation.

use super::*;
use crate::tasks::{ReportedTask, WorkerReport};

/// Interval of the reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports within which a waiting task must start on a worker that is idle and sound.
const MAX_REPORTS: u32 = 3;

/// Returns a queue of five workers, four of which are full, and the fifth is on probation.
fn queue_with_probation() -> TaskQueue<PackingFirst> {
    let mut queue = queue_with_workers(5);
    let submitted = submit(&mut queue, job(1, 4, 16), Duration::ZERO);
    commit_records(&mut queue, submitted, Duration::ZERO);
    for number in 2..=4 {
        let failing = JobSpec {
            restart: RestartPolicy::Never,
            ..job(number, 1, 1)
        };
        let submitted = submit(&mut queue, failing, Duration::ZERO);
        let actions = commit_records(&mut queue, submitted, Duration::ZERO);
        let (task, attempt, worker) = sent_starts(&actions).remove(0);
        let report = WorkerReport {
            completions: vec![(task, attempt, false)],
            ..WorkerReport::default()
        };
        let reported = queue.handle(TaskEvent::WorkerReported(worker, report), Duration::ZERO);
        commit_records(&mut queue, reported, Duration::ZERO);
    }
    queue
}

/// Guards against tasks that wait for as long as another one runs, as the worker is on probation and
/// only the end of that run shows that it is sound.
#[test]
fn a_task_that_lasts_does_not_keep_others_from_a_worker_on_probation() {
    let mut queue = queue_with_probation();
    assert!(queue.workers.get(&"w4".into()).unwrap().is_on_probation);
    let (mut now, mut running) = (Duration::ZERO, Vec::new());
    let submitted = submit(&mut queue, job(9, 4, 1), now);
    let mut actions = commit_records(&mut queue, submitted, now);
    let mut counts = Vec::new();

    for _ in 0..=4 * MAX_REPORTS {
        let starts = sent_starts(&actions);
        running.extend(starts.iter().map(|(task, attempt, _)| ReportedTask {
            task: *task,
            attempt: *attempt,
            demand: ResourceVector::new(1_000, 1_024, 0),
        }));
        counts.push(running.len());
        now += REPORT_INTERVAL;
        let report = WorkerReport {
            running: running.clone(),
            ..WorkerReport::default()
        };
        let reported = queue.handle(TaskEvent::WorkerReported("w4".into(), report), now);
        actions = commit_records(&mut queue, reported, now);
    }

    assert_eq!(counts.last(), Some(&4), "{counts:?}");
}
