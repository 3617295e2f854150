use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::{
    BrokenRequest, JobRecord, RunRecord, SoakHistory, SoakSize, SubmitOutcome, TimeSpan,
    check_history, draw_plan,
};

const SECOND: Duration = Duration::from_secs(1);

fn size() -> SoakSize {
    SoakSize {
        daemons: 3,
        workers: 4,
        load_duration: Duration::from_secs(30),
    }
}

fn run(task: (u64, u32, u32), began_at: Instant, end: Option<&'static str>) -> RunRecord {
    RunRecord {
        worker: 0,
        task,
        began_at,
        ended: end.map(|end| (began_at + SECOND, end)),
    }
}

/// Returns a history of one job of two steps of one task that went well.
fn history(start: Instant) -> SoakHistory {
    let job = JobRecord {
        steps: vec![1, 1],
        outcomes: vec![SubmitOutcome::Accepted],
        state: Some("completed".to_owned()),
        ..JobRecord::default()
    };
    SoakHistory {
        jobs: [(1, job)].into(),
        runs: vec![
            run((1, 0, 0), start, Some("done")),
            run((1, 1, 0), start + SECOND, Some("done")),
        ],
        settled_at: Some(start + SECOND * 30),
        ..SoakHistory::default()
    }
}

/// Returns the promises that a changed history breaks.
fn broken_by(change: impl FnOnce(&mut SoakHistory, Instant)) -> BTreeSet<&'static str> {
    let start = Instant::now();
    let mut history = history(start);
    change(&mut history, start);
    let broken = check_history(&history, 2);
    broken.iter().map(|row| row.promise).collect()
}

fn only(promise: &'static str) -> BTreeSet<&'static str> {
    [promise].into()
}

/// Guards against a seed that cannot be played again.
#[test]
fn a_seed_gives_the_same_faults() {
    let (first, second) = (draw_plan(7, &size()), draw_plan(7, &size()));

    assert_eq!(first, second);
    assert!(first.len() > 20);
    assert_ne!(first, draw_plan(8, &size()));
}

/// Guards against checks that find something in every history.
#[test]
fn a_history_that_went_well_breaks_nothing() {
    assert_eq!(broken_by(|_, _| {}), BTreeSet::new());
}

/// Guards against a check of accepted work that cannot fail.
#[test]
fn accepted_work_that_is_lost_is_found() {
    let still_queued = broken_by(|history, _| {
        history.jobs.get_mut(&1).unwrap().state = Some("queued".to_owned());
    });
    let gone = broken_by(|history, _| history.jobs.get_mut(&1).unwrap().was_gone = true);
    let unasked = broken_by(|history, _| {
        history.jobs.get_mut(&1).unwrap().state = Some("cancelled".to_owned());
        history.runs.clear();
    });

    assert_eq!(still_queued, only("accepted work is kept"));
    assert_eq!(gone, only("accepted work is kept"));
    assert_eq!(unasked, only("accepted work is kept"));
}

/// Guards against a check of refused work that cannot fail.
#[test]
fn refused_work_that_runs_is_found() {
    let broken = broken_by(|history, _| {
        let job = history.jobs.get_mut(&1).unwrap();
        job.outcomes = vec![SubmitOutcome::Refused];
    });
    let unknown = broken_by(|history, _| {
        let job = history.jobs.get_mut(&1).unwrap();
        job.outcomes = vec![SubmitOutcome::Refused, SubmitOutcome::Unknown];
    });

    assert_eq!(broken, only("refused work does not run"));
    assert_eq!(unknown, BTreeSet::new());
}

/// Guards against checks of places and room that cannot fail, and against blaming a
/// worker that could not tell its ends.
#[test]
fn work_in_two_places_is_found() {
    let same_time = broken_by(|history, start| {
        let half = start + SECOND + SECOND / 2;
        history.runs.push(RunRecord {
            worker: 1,
            ..run((1, 1, 0), half, Some("stopped"))
        });
    });
    let again = |is_cut: bool| {
        broken_by(|history, start| {
            history
                .runs
                .push(run((1, 1, 0), start + SECOND * 9, Some("done")));
            let span = TimeSpan {
                target: 0,
                from: start + SECOND,
                to: start + SECOND * 8,
            };
            history.worker_faults.extend(is_cut.then_some(span));
        })
    };

    assert_eq!(same_time, only("a task runs in one place"));
    assert_eq!(again(false), only("a task runs in one place"));
    assert_eq!(again(true), BTreeSet::new());
}

/// Guards against a check of room that cannot fail.
#[test]
fn a_worker_over_its_size_is_found() {
    let broken = broken_by(|history, start| {
        history.jobs.get_mut(&1).unwrap().steps = vec![3];
        history.runs = (0..3)
            .map(|index| run((1, 0, index), start, Some("done")))
            .collect();
    });

    assert_eq!(broken, only("no worker is over its size"));
}

/// Guards against checks of order and completion that cannot fail.
#[test]
fn steps_out_of_order_and_missing_work_are_found() {
    let early = broken_by(|history, start| {
        history.runs[1].began_at = start + SECOND / 2;
    });
    let missing = broken_by(|history, _| {
        history.runs.pop();
    });

    assert_eq!(early, only("steps run in order"));
    assert_eq!(missing, only("completed work is done"));
}

/// Guards against a check of cancelled work that cannot fail.
#[test]
fn cancelled_work_that_goes_on_is_found() {
    let cancel = |history: &mut SoakHistory| {
        let job = history.jobs.get_mut(&1).unwrap();
        job.state = Some("cancelled".to_owned());
        job.is_cancelled = true;
    };
    let well = broken_by(|history, _| cancel(history));
    let goes_on = broken_by(|history, _| {
        cancel(history);
        history.runs[1].ended = None;
    });
    let starts_late = broken_by(|history, start| {
        cancel(history);
        history.runs[1].began_at = start + SECOND * 31;
    });

    assert_eq!(well, BTreeSet::new());
    assert_eq!(goes_on, only("cancelled work stops"));
    assert_eq!(starts_late, only("cancelled work stops"));
}

/// Guards against checks of stops and versions that cannot fail.
#[test]
fn cut_answers_and_older_versions_are_found() {
    let cut = |is_disturbed: bool| {
        broken_by(|history, start| {
            let stop = TimeSpan {
                target: 2,
                from: start + SECOND,
                to: start + SECOND * 4,
            };
            history.stops.push(stop);
            history.daemon_faults.extend(is_disturbed.then_some(stop));
            history.broken.push(BrokenRequest {
                daemon: 2,
                sent_at: start + SECOND / 2,
                broke_at: start + SECOND * 2,
            });
        })
    };
    let reverted = broken_by(|history, _| history.reverted.push((0, 3, 2)));

    assert_eq!(cut(false), only("a planned stop cuts no answer"));
    assert_eq!(cut(true), BTreeSet::new());
    assert_eq!(reverted, only("the manifest does not go back"));
}
