use std::{
    collections::BTreeSet,
    fs,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::{
    BrokenRequest, FaultSpan, HOST, JobRecord, PlannedFault, RunRecord, SoakFault, SoakHistory,
    SoakSize, SubmitOutcome, check_history, generate_plan, process::write_settings,
    proxy::LinkProxy,
};

const SECOND: Duration = Duration::from_secs(1);

fn soak_size() -> SoakSize {
    SoakSize {
        daemons: 3,
        workers: 4,
        load_duration: Duration::from_secs(30),
        lasting_tasks: 0,
    }
}

fn run_record(task: (u64, u32, u32), began_at: Instant, end: Option<&'static str>) -> RunRecord {
    RunRecord {
        worker: 0,
        task,
        began_at,
        ended: end.map(|end| (began_at + SECOND, end)),
    }
}

/// Returns a valid history: one job of two steps with one task each, completed.
fn valid_history(start: Instant) -> SoakHistory {
    let job = JobRecord {
        tasks_per_step: vec![1, 1],
        outcomes: vec![SubmitOutcome::Accepted],
        state: Some("completed".to_owned()),
        ..JobRecord::default()
    };
    SoakHistory {
        jobs: [(1, job)].into(),
        runs: vec![
            run_record((1, 0, 0), start, Some("done")),
            run_record((1, 1, 0), start + SECOND, Some("done")),
        ],
        settled_at: Some(start + SECOND * 30),
        ..SoakHistory::default()
    }
}

/// Returns the promises that a history breaks after `change` is applied to it.
fn broken_promises(change: impl FnOnce(&mut SoakHistory, Instant)) -> BTreeSet<&'static str> {
    let start = Instant::now();
    let mut history = valid_history(start);
    change(&mut history, start);
    let broken = check_history(&history, 2);
    broken.iter().map(|row| row.promise).collect()
}

fn only(promise: &'static str) -> BTreeSet<&'static str> {
    [promise].into()
}

/// Guards against failures that cannot be reproduced from their seed.
#[test]
fn same_seed_generates_same_plan() {
    let (first, second) = (
        generate_plan(7, &soak_size()),
        generate_plan(7, &soak_size()),
    );

    assert_eq!(first, second);
    assert!(first.len() > 20);
    assert_ne!(first, generate_plan(8, &soak_size()));
}

/// Guards against checks that report a violation in a valid history.
#[test]
fn valid_history_breaks_no_promise() {
    assert_eq!(broken_promises(|_, _| {}), BTreeSet::new());
}

/// Guards against a check of accepted jobs that misses a lost job: one still queued at the
/// end, one reported as gone, and one cancelled without a request.
#[test]
fn lost_accepted_job_is_detected() {
    let still_queued = broken_promises(|history, _| {
        history.jobs.get_mut(&1).unwrap().state = Some("queued".to_owned());
    });
    let gone =
        broken_promises(|history, _| history.jobs.get_mut(&1).unwrap().has_gone_response = true);
    let not_requested = broken_promises(|history, _| {
        history.jobs.get_mut(&1).unwrap().state = Some("cancelled".to_owned());
        history.runs.clear();
    });

    assert_eq!(still_queued, only("accepted work is kept"));
    assert_eq!(gone, only("accepted work is kept"));
    assert_eq!(not_requested, only("accepted work is kept"));
}

/// Guards against a check of refused jobs that misses a run, or that reports the run of a
/// job with an unknown submit outcome.
#[test]
fn refused_job_that_runs_is_detected() {
    let broken = broken_promises(|history, _| {
        let job = history.jobs.get_mut(&1).unwrap();
        job.outcomes = vec![SubmitOutcome::Refused];
    });
    let unknown = broken_promises(|history, _| {
        let job = history.jobs.get_mut(&1).unwrap();
        job.outcomes = vec![SubmitOutcome::Refused, SubmitOutcome::Unknown];
    });

    assert_eq!(broken, only("refused work does not run"));
    assert_eq!(unknown, BTreeSet::new());
}

/// Guards against a check that misses a task that runs on two workers or again after it is
/// done, and against one that reports a repetition after a fault of the worker.
///
/// A worker that cannot report the end of a task loses its lease, and the task runs again.
#[test]
fn duplicate_task_run_is_detected() {
    let overlapping = broken_promises(|history, start| {
        let half = start + SECOND + SECOND / 2;
        history.runs.push(RunRecord {
            worker: 1,
            ..run_record((1, 1, 0), half, Some("stopped"))
        });
    });
    let repeated = |has_worker_fault: bool| {
        broken_promises(|history, start| {
            history
                .runs
                .push(run_record((1, 1, 0), start + SECOND * 9, Some("done")));
            let span = FaultSpan {
                index: 0,
                from: start + SECOND,
                to: start + SECOND * 8,
            };
            history
                .worker_faults
                .extend(has_worker_fault.then_some(span));
        })
    };

    assert_eq!(overlapping, only("a task runs in one place"));
    assert_eq!(repeated(false), only("a task runs in one place"));
    assert_eq!(repeated(true), BTreeSet::new());
}

/// Returns a valid history: a job with one task that lasts for 60 s on worker 0, which is lost
/// after 20 s, and then on worker 1.
fn lasting_history(start: Instant) -> SoakHistory {
    let job = JobRecord {
        tasks_per_step: vec![1],
        is_lasting: true,
        outcomes: vec![SubmitOutcome::Accepted],
        accepted_at: Some(start),
        cancel_requested_at: Some(start + SECOND * 60),
        state: Some("cancelled".to_owned()),
        ..JobRecord::default()
    };
    let run = |worker, from: u32, to: u32, end| RunRecord {
        worker,
        ended: Some((start + SECOND * to, end)),
        ..run_record((1, 0, 0), start + SECOND * from, None)
    };
    SoakHistory {
        jobs: [(1, job)].into(),
        runs: vec![run(0, 1, 20, "lost"), run(1, 29, 60, "stopped")],
        worker_faults: vec![fault_span(start, 0, 20, 20)],
        faults_ended_at: Some(start + SECOND * 50),
        settled_at: Some(start + SECOND * 62),
        ..SoakHistory::default()
    }
}

fn fault_span(start: Instant, index: usize, from: u32, to: u32) -> FaultSpan {
    FaultSpan {
        index,
        from: start + SECOND * from,
        to: start + SECOND * to,
    }
}

/// Returns the promises that a history with a task that lasts breaks after `change`.
fn broken_lasting_promises(
    change: impl FnOnce(&mut SoakHistory, Instant),
) -> BTreeSet<&'static str> {
    broken_promises(|history, start| {
        *history = lasting_history(start);
        change(history, start);
    })
}

/// Guards against a check of tasks that last that misses one without a run for longer than 10 s
/// after the last fault: the task comes back late, begins late, or does not come back.
#[test]
fn lasting_task_without_a_run_is_detected() {
    let valid = broken_lasting_promises(|_, _| {});
    let late_return = broken_lasting_promises(|history, start| {
        history.runs[1].began_at = start + SECOND * 31;
    });
    let late_begin = broken_lasting_promises(|history, start| {
        history.runs[0].began_at = start + SECOND * 11;
    });
    let no_return = broken_lasting_promises(|history, _| {
        history.runs.pop();
    });
    let completed = broken_lasting_promises(|history, _| {
        history.jobs.get_mut(&1).unwrap().state = Some("completed".to_owned());
    });

    assert_eq!(valid, BTreeSet::new());
    assert_eq!(late_return, only("a lasting task is at work"));
    assert_eq!(late_begin, only("a lasting task is at work"));
    assert_eq!(no_return, only("a lasting task is at work"));
    assert_eq!(
        completed,
        ["accepted work is kept", "completed work is done"].into()
    );
}

/// Guards against a check of tasks that last that ignores the end of a suspension, or that takes
/// a kill for good, an earlier fault or the time after all faults for a fault that lasts.
#[test]
fn lasting_task_is_owed_from_the_last_fault() {
    let return_after = |seconds: u32, spans: &[(u32, u32)]| {
        broken_lasting_promises(|history, start| {
            history.runs[1].began_at = start + SECOND * seconds;
            let spans = spans.iter();
            let spans = spans.map(|(from, to)| fault_span(start, 1, *from, *to));
            history.daemon_faults.extend(spans);
        })
    };

    assert_eq!(return_after(35, &[(21, 26)]), BTreeSet::new());
    assert_eq!(
        return_after(37, &[(21, 26)]),
        only("a lasting task is at work")
    );
    assert_eq!(
        return_after(32, &[(21, 21)]),
        only("a lasting task is at work")
    );
    assert_eq!(
        return_after(31, &[(2, 19)]),
        only("a lasting task is at work")
    );
    assert_eq!(return_after(59, &[(20, 70)]), BTreeSet::new());
    assert_eq!(
        return_after(59, &[(20, 48)]),
        only("a lasting task is at work")
    );
}

/// Guards against a check that counts the run of a lost worker as running, and against one that
/// misses a second run of a task that lasts.
#[test]
fn second_run_of_a_lasting_task_is_detected() {
    let after_loss = broken_lasting_promises(|history, start| {
        history.runs[1].began_at = start + SECOND * 20;
    });
    let before_loss = broken_lasting_promises(|history, start| {
        history.runs[1].began_at = start + SECOND * 19;
    });

    assert_eq!(after_loss, BTreeSet::new());
    assert_eq!(before_loss, only("a task runs in one place"));
}

/// Guards against plans that lose a majority of the daemons or too many workers, that lack the
/// loss of a worker shortly before a fault of the owner, or that have losses without tasks
/// that last, which would change the plans of former seeds.
#[test]
fn plan_with_lasting_tasks_has_bounded_losses() {
    let size = SoakSize {
        daemons: 9,
        workers: 8,
        lasting_tasks: 8,
        ..soak_size()
    };
    let is_worker_loss = |row: &&PlannedFault| matches!(row.fault, SoakFault::LoseWorker(..));
    let is_owner_fault = |row: &&PlannedFault| {
        matches!(
            row.fault,
            SoakFault::LoseOwner | SoakFault::PauseOwner | SoakFault::OwnerStoreLink(_)
        )
    };
    let is_daemon_loss =
        |row: &&PlannedFault| matches!(row.fault, SoakFault::LoseOwner | SoakFault::LoseDaemon(_));

    for seed in 0..200 {
        let plan = generate_plan(seed, &size);
        let former = generate_plan(
            seed,
            &SoakSize {
                lasting_tasks: 0,
                ..size
            },
        );

        let owner_fault = plan.iter().find(is_owner_fault).unwrap();
        let latest_loss = plan.iter().rfind(is_worker_loss).unwrap();
        assert!(owner_fault.at < latest_loss.at + SECOND * 3 / 2, "{seed}");
        assert!(plan.iter().filter(is_worker_loss).count() <= 2, "{seed}");
        assert!(plan.iter().filter(is_daemon_loss).count() <= 4, "{seed}");
        assert!(!former.iter().any(|row| is_worker_loss(&row)), "{seed}");
        assert!(!former.iter().any(|row| is_daemon_loss(&row)), "{seed}");
    }
}

/// Guards against a check of the capacity that misses an overloaded worker.
#[test]
fn overloaded_worker_is_detected() {
    let broken = broken_promises(|history, start| {
        history.jobs.get_mut(&1).unwrap().tasks_per_step = vec![3];
        history.runs = (0..3)
            .map(|index| run_record((1, 0, index), start, Some("done")))
            .collect();
    });

    assert_eq!(broken, only("no worker is over its size"));
}

/// Guards against checks that miss a step that starts too early, or a completed job with a
/// task that did not run.
#[test]
fn early_step_and_missing_task_are_detected() {
    let early = broken_promises(|history, start| {
        history.runs[1].began_at = start + SECOND / 2;
    });
    let missing = broken_promises(|history, _| {
        history.runs.pop();
    });

    assert_eq!(early, only("steps run in order"));
    assert_eq!(missing, only("completed work is done"));
}

/// Guards against a check of cancelled jobs that misses a task that keeps running, or one
/// that starts after the settle time.
#[test]
fn cancelled_job_that_keeps_running_is_detected() {
    let cancel = |history: &mut SoakHistory| {
        let job = history.jobs.get_mut(&1).unwrap();
        job.state = Some("cancelled".to_owned());
        job.cancel_requested_at = history.runs.first().map(|run| run.began_at);
    };
    let all_stopped = broken_promises(|history, _| cancel(history));
    let still_running = broken_promises(|history, _| {
        cancel(history);
        history.runs[1].ended = None;
    });
    let starts_late = broken_promises(|history, start| {
        cancel(history);
        history.runs[1].began_at = start + SECOND * 31;
    });

    assert_eq!(all_stopped, BTreeSet::new());
    assert_eq!(still_running, only("cancelled work stops"));
    assert_eq!(starts_late, only("cancelled work stops"));
}

/// Guards against checks that miss a connection that a planned stop breaks, or a return to
/// an older manifest, and against blaming a stop for another fault of the daemon.
#[test]
fn connection_cut_by_stop_and_manifest_revert_are_detected() {
    let cut_by_stop = |has_other_fault: bool| {
        broken_promises(|history, start| {
            let stop = FaultSpan {
                index: 2,
                from: start + SECOND,
                to: start + SECOND * 4,
            };
            history.planned_stops.push(stop);
            history
                .daemon_faults
                .extend(has_other_fault.then_some(stop));
            history.broken_requests.push(BrokenRequest {
                daemon: 2,
                sent_at: start + SECOND / 2,
                broke_at: start + SECOND * 2,
            });
        })
    };
    let reverted = broken_promises(|history, _| history.manifest_reverts.push((0, 3, 2)));

    assert_eq!(cut_by_stop(false), only("a planned stop cuts no answer"));
    assert_eq!(cut_by_stop(true), BTreeSet::new());
    assert_eq!(reverted, only("the manifest does not go back"));
}

/// Guards against calls of a soak to the former port of a killed daemon that reach a server of
/// another test on the same machine.
#[tokio::test]
async fn a_soak_calls_no_address_of_other_tests() {
    let upstream = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let proxy = LinkProxy::start(upstream).await.unwrap();
    let path = std::env::temp_dir().join(format!("soak-settings-{}", std::process::id()));

    write_settings(&path, "daemon-0", &proxy.address().to_string()).unwrap();
    let settings: Value = serde_json::from_slice(&fs::read(&path).unwrap()).unwrap();
    fs::remove_file(&path).unwrap();

    let listening = settings["listen-addrs"].as_object().unwrap().values();
    let mut addresses: Vec<&str> = listening.filter_map(Value::as_str).collect();
    addresses.extend(settings["platform"]["address"].as_str());
    assert_eq!(addresses.len(), 4);
    assert!(
        addresses.iter().all(|address| address.starts_with(HOST)),
        "{addresses:?}"
    );
    assert_ne!(HOST, Ipv4Addr::LOCALHOST.to_string());
}
