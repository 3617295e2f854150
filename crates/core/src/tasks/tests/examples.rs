//! Tests of placement, quotas, reservations, cancellation and worker failures.

use super::*;
use crate::tasks::{
    CancelResult, JobRejection, ReportedTask, TaskOutcome, TaskState, WaitReason, WorkerReport,
};

/// Returns the event of a report from a worker.
fn report_event(worker: &str, report: WorkerReport) -> TaskEvent {
    TaskEvent::WorkerReported(worker.into(), report)
}

/// Returns a report in which the first attempt of a task ended.
fn completion_report(task: TaskId, success: bool) -> WorkerReport {
    WorkerReport {
        completions: vec![(task, 1, success)],
        ..WorkerReport::default()
    }
}

/// Guards against a start that the next owner cannot find in the records.
#[test]
fn a_start_is_sent_only_after_its_record_is_durable() {
    let mut queue = queue_with_workers(1);

    let submitted = submit(&mut queue, job(1, 1, 1), Duration::ZERO);
    let before = sent_starts(&submitted).len();
    let after = sent_starts(&commit_records(&mut queue, submitted, Duration::ZERO)).len();

    assert_eq!((before, after), (0, 1));
}

/// Guards against a store outage that blocks `anytime` tasks, which need no
/// record before their start.
#[test]
fn anytime_tasks_start_while_records_fail() {
    let mut queue = queue_with_workers(1);
    let spec = JobSpec {
        restart: RestartPolicy::Anytime,
        ..job(1, 2, 16)
    };
    let submitted = submit(&mut queue, spec, Duration::ZERO);
    let first = queue.handle(TaskEvent::Recorded(record_ids(&submitted)), Duration::ZERO);
    queue.handle(TaskEvent::RecordsFailed(record_ids(&first)), Duration::ZERO);

    let actions = queue.handle(
        report_event("w0", completion_report(task(1_000), true)),
        Duration::ZERO,
    );

    assert_eq!(sent_starts(&first).len() + sent_starts(&actions).len(), 2);
}

/// Guards against a start without a record during a store outage.
#[test]
fn tasks_that_need_a_record_wait_while_records_fail() {
    let mut queue = queue_with_workers(1);
    let submitted = submit(&mut queue, job(1, 1, 16), Duration::ZERO);
    let [accept, start] = record_ids(&submitted).into_iter().collect::<Vec<_>>()[..] else {
        panic!("expected a record of the acceptance and one of the start");
    };
    queue.handle(TaskEvent::Recorded([accept].into()), Duration::ZERO);

    let actions = queue.handle(TaskEvent::RecordsFailed([start].into()), Duration::ZERO);

    let state = queue.view(task(1_000)).map(|view| view.state);
    assert_eq!(
        state,
        Some(TaskState::Waiting(WaitReason::StoreUnavailable))
    );
    assert!(sent_starts(&actions).is_empty());
}

/// Guards against a job that waits forever because no worker can ever fit it.
#[test]
fn a_job_that_can_never_fit_is_rejected() {
    let mut queue = queue_with_workers(2);

    let actions = submit(&mut queue, job(1, 1, 17), Duration::ZERO);
    let gang = submit(&mut queue, gang(2, 3, 16), Duration::ZERO);

    assert_eq!(
        actions,
        vec![TaskAction::Reject(1, JobRejection::NeverFits)]
    );
    assert_eq!(
        gang,
        vec![TaskAction::Reject(2, JobRejection::GangNeverFits)]
    );
}

/// Guards against a job that waits forever after a configuration change made it
/// infeasible.
#[test]
fn a_reduced_quota_rejects_waiting_jobs_above_it() {
    let mut queue = queue_with_workers(1);
    let spec = job(1, 2, 16);
    let submitted = submit(&mut queue, spec, Duration::ZERO);
    commit_records(&mut queue, submitted, Duration::ZERO);
    let quota = team(ResourceVector::new(8_000, u64::MAX, 0));

    let actions = queue.handle(TaskEvent::TeamsChanged(vec![quota]), Duration::ZERO);

    assert!(actions.contains(&TaskAction::Reject(1, JobRejection::AboveQuota)));
}

/// Guards against placement on a worker whose running tasks are not yet known.
#[test]
fn no_task_is_placed_before_the_worker_is_claimed() {
    let mut queue = configured_queue(&[worker(0, GENERAL_CAPACITY)]);
    let submitted = submit(&mut queue, job(1, 1, 1), Duration::ZERO);
    let before = sent_starts(&commit_records(&mut queue, submitted, Duration::ZERO)).len();

    let claimed = queue.handle(
        TaskEvent::WorkerClaimed("w0".into(), vec![]),
        Duration::ZERO,
    );
    let after = sent_starts(&commit_records(&mut queue, claimed, Duration::ZERO)).len();

    assert_eq!((before, after), (0, 1));
}

/// Guards against idle accelerators on a host whose processors are all used by
/// work without accelerators.
#[test]
fn cpu_only_work_uses_at_most_its_share_of_accelerator_hosts() {
    let mut queue = claimed_queue(&[worker(0, ACCELERATED_CAPACITY)]);

    let submitted = submit(&mut queue, job(1, 32, 1), Duration::ZERO);
    let started = sent_starts(&commit_records(&mut queue, submitted, Duration::ZERO)).len();

    assert_eq!(started, 16);
}

/// Guards against a gang that starves because small jobs take every freed
/// worker, and against hosts that stay idle until the gang starts.
#[test]
fn a_waiting_gang_gets_a_reservation_with_backfill() {
    let mut queue = queue_with_workers(2);
    let minute = Duration::from_mins(1);
    let long = JobSpec {
        run_time: Some(minute * 10),
        ..job(1, 1, 16)
    };
    for spec in [long, job(2, 1, 8), gang(3, 2, 16)] {
        let actions = submit(&mut queue, spec, Duration::ZERO);
        commit_records(&mut queue, actions, Duration::ZERO);
    }
    let actions = queue.handle(TaskEvent::TimerFired, minute);
    commit_records(&mut queue, actions, minute);

    let short = submit(&mut queue, job(4, 1, 4), minute);
    let short = sent_starts(&commit_records(&mut queue, short, minute)).len();
    let long = JobSpec {
        run_time: Some(minute * 30),
        ..job(5, 1, 4)
    };
    let long = submit(&mut queue, long, minute);
    let long = sent_starts(&commit_records(&mut queue, long, minute)).len();
    for (name, id) in [
        ("w0", 1_000),
        ("w1", 2_000),
        ("w1", 4_000),
        ("w0", 2_000),
        ("w0", 4_000),
    ] {
        queue.handle(
            report_event(name, completion_report(task(id), true)),
            minute * 9,
        );
    }
    let state = queue.view(task(3_000)).map(|view| view.state);

    assert_eq!((short, long), (1, 0));
    assert!(matches!(state, Some(TaskState::Recording(_))));
}

/// Guards against a start that is sent after its task was reported as cancelled
/// and not started.
#[test]
fn a_cancellation_before_the_start_record_prevents_the_start() {
    let mut queue = queue_with_workers(1);
    let submitted = submit(&mut queue, job(1, 1, 1), Duration::ZERO);
    let ids = record_ids(&submitted);

    let cancelled = queue.handle(TaskEvent::Cancel(task(1_000)), Duration::ZERO);
    let recorded = queue.handle(TaskEvent::Recorded(ids), Duration::ZERO);

    let result = TaskAction::Cancelled(task(1_000), CancelResult::NotStarted);
    assert!(cancelled.contains(&result));
    assert!(sent_starts(&recorded).is_empty());
}

/// Guards against a cancellation by label that misses a task or includes an
/// unrelated one, with 10,000 tasks of each kind.
#[test]
fn cancellation_by_label_affects_exactly_the_labelled_tasks() {
    let mut queue = queue_with_workers(4);
    for number in 1..=10 {
        let mut spec = job(number, 1_000, 1);
        spec.labels = vec![format!("half={}", number % 2).into()];
        submit(&mut queue, spec, Duration::ZERO);
    }
    let mut many = job(20, 10_000, 1);
    many.tasks = (100_000..110_000).map(task).collect();
    submit(&mut queue, many, Duration::ZERO);

    let actions = queue.handle(TaskEvent::CancelLabel("run=night".into()), Duration::ZERO);

    let cancelled = |action: &&TaskAction| matches!(action, TaskAction::Cancelled(..));
    assert_eq!(actions.iter().filter(cancelled).count(), 10_000);
}

/// Guards against a second run of a `never` task, and against one that stays
/// unresolved after its lease has expired.
#[test]
fn a_lost_never_task_ends_with_an_unknown_outcome() {
    let mut queue = queue_with_workers(1);
    let spec = JobSpec {
        restart: RestartPolicy::Never,
        ..job(1, 1, 1)
    };
    let submitted = submit(&mut queue, spec, Duration::ZERO);
    commit_records(&mut queue, submitted, Duration::ZERO);
    queue.handle(
        TaskEvent::WorkerUnresponsive("w0".into()),
        Duration::from_secs(1),
    );
    let early = queue.handle(TaskEvent::TimerFired, Duration::from_mins(1));
    let unresolved = queue.view(task(1_000)).map(|view| view.state);

    queue.handle(TaskEvent::TimerFired, Duration::from_secs(70));

    let state = queue.view(task(1_000)).map(|view| view.state);
    assert!(sent_starts(&early).is_empty());
    assert_eq!(unresolved, Some(TaskState::Unresolved("w0".into())));
    assert_eq!(state, Some(TaskState::Ended(TaskOutcome::Unknown)));
}

/// Guards against two attempts that overlap after a takeover, because the new
/// owner starts a task again before its worker has reported it.
#[test]
fn a_replayed_start_is_unresolved_until_its_worker_is_claimed() {
    let mut former = queue_with_workers(2);
    let submitted = submit(&mut former, job(1, 1, 1), Duration::ZERO);
    let records = submitted.iter().filter_map(|action| match action {
        TaskAction::Record(_, record) => Some(record.clone()),
        _ => None,
    });
    let mut queue = TaskQueue::new(TaskConfig::default(), PackingFirst);
    queue.handle(TaskEvent::Replayed(records.collect()), Duration::ZERO);
    let quota = ResourceVector::new(u64::MAX, u64::MAX, u64::MAX);
    queue.handle(TaskEvent::TeamsChanged(vec![team(quota)]), Duration::ZERO);
    let workers = vec![worker(0, GENERAL_CAPACITY), worker(1, GENERAL_CAPACITY)];
    queue.handle(TaskEvent::WorkersChanged(workers), Duration::ZERO);
    queue.handle(
        TaskEvent::WorkerClaimed("w1".into(), vec![]),
        Duration::ZERO,
    );
    let waiting = queue.view(task(1_000)).map(|view| view.state);

    let running = ReportedTask {
        task: task(1_000),
        attempt: 1,
        demand: GENERAL_CAPACITY,
    };
    queue.handle(
        TaskEvent::WorkerClaimed("w0".into(), vec![running]),
        Duration::ZERO,
    );

    let state = queue.view(task(1_000)).map(|view| view.state);
    assert_eq!(waiting, Some(TaskState::Unresolved("w0".into())));
    assert_eq!(state, Some(TaskState::Running("w0".into())));
}

/// Guards against a host whose usage stays above its capacity.
#[test]
fn overload_leads_to_throttle_then_checkpoint_then_stop() {
    let mut queue = queue_with_workers(1);
    let spec = JobSpec {
        checkpoint: true,
        ..job(1, 1, 1)
    };
    let submitted = submit(&mut queue, spec, Duration::ZERO);
    commit_records(&mut queue, submitted, Duration::ZERO);
    queue.handle(TaskEvent::StartAccepted(task(1_000), 1), Duration::ZERO);
    let running = ReportedTask {
        task: task(1_000),
        attempt: 1,
        demand: GENERAL_CAPACITY,
    };
    let over = WorkerReport {
        usage: ACCELERATED_CAPACITY,
        running: vec![running],
        ..WorkerReport::default()
    };

    let steps: Vec<_> = (0..3)
        .flat_map(|_| queue.handle(report_event("w0", over.clone()), Duration::ZERO))
        .filter(|action| !matches!(action, TaskAction::Changed(_)))
        .collect();

    let name: WorkerId = "w0".into();
    let expected = vec![
        TaskAction::Throttle(task(1_000), name.clone()),
        TaskAction::Checkpoint(task(1_000), name.clone()),
        TaskAction::Stop(task(1_000), 1, name),
    ];
    assert_eq!(steps, expected);
}

/// Guards against a team that gets most of a pool because it needs another
/// resource than the other teams, or because it submitted its jobs first.
#[test]
fn teams_share_a_pool_by_dominant_share() {
    let entries: Vec<_> = (0..4)
        .map(|number| worker(number, GENERAL_CAPACITY))
        .collect();
    let mut queue = configured_queue(&entries);
    let orders = team(ResourceVector::new(u64::MAX, u64::MAX, 0));
    let crews = TeamQuota {
        team: "crews".into(),
        ..orders.clone()
    };
    queue.handle(TaskEvent::TeamsChanged(vec![orders, crews]), Duration::ZERO);
    let mut processors = job(1, 40, 4);
    processors.demand.memory_mib = 1_024;
    let mut memory = job(2, 40, 1);
    memory.demand.memory_mib = 8_192;
    memory.team = "crews".into();
    for spec in [processors, memory] {
        let actions = submit(&mut queue, spec, Duration::ZERO);
        commit_records(&mut queue, actions, Duration::ZERO);
    }

    let mut counts = [0, 0];
    for entry in entries {
        let claimed = TaskEvent::WorkerClaimed(entry.worker, Vec::new());
        let actions = queue.handle(claimed, Duration::ZERO);
        for (id, ..) in sent_starts(&commit_records(&mut queue, actions, Duration::ZERO)) {
            counts[usize::from(id >= task(2_000))] += 1;
        }
    }

    assert_eq!(counts, [12, 12]);
}

/// Guards against placement above a quota, and against a job that still waits
/// after its team released enough quota.
#[test]
fn a_job_above_the_quota_waits_until_quota_is_released() {
    let mut queue = queue_with_workers(1);
    let quota = team(ResourceVector::new(8_000, u64::MAX, 0));
    queue.handle(TaskEvent::TeamsChanged(vec![quota]), Duration::ZERO);
    for spec in [job(1, 1, 8), job(2, 1, 4)] {
        let actions = submit(&mut queue, spec, Duration::ZERO);
        commit_records(&mut queue, actions, Duration::ZERO);
    }
    let waiting = queue.view(task(2_000)).map(|view| view.state);

    let released = queue.handle(
        report_event("w0", completion_report(task(1_000), true)),
        Duration::ZERO,
    );

    let started = sent_starts(&commit_records(&mut queue, released, Duration::ZERO));
    assert_eq!(waiting, Some(TaskState::Waiting(WaitReason::Quota)));
    assert_eq!(started, vec![(task(2_000), 1, "w0".into())]);
}

/// Guards against starvation of a job by a stream of more urgent jobs, or of
/// larger jobs of its urgency class.
#[test]
fn a_long_waiting_job_is_promoted_ahead_of_newer_jobs() {
    let (batch, normal, urgent) = (
        UrgencyClass::Batch,
        UrgencyClass::Normal,
        UrgencyClass::Urgent,
    );
    for (old, new) in [(batch, normal), (normal, urgent), (urgent, urgent)] {
        let mut queue = queue_with_workers(1);
        let first = submit(&mut queue, job(1, 1, 16), Duration::ZERO);
        commit_records(&mut queue, first, Duration::ZERO);
        let waited = TaskConfig::default().promote_after;
        let arrivals = [(2, 9, old, Duration::ZERO), (3, 16, new, waited / 2)];
        for (number, cores, urgency, at) in arrivals {
            let spec = JobSpec {
                urgency,
                ..job(number, 1, cores)
            };
            let actions = submit(&mut queue, spec, at);
            commit_records(&mut queue, actions, at);
        }
        queue.handle(TaskEvent::TimerFired, waited);

        let freed = queue.handle(
            report_event("w0", completion_report(task(1_000), true)),
            waited,
        );

        let started = sent_starts(&commit_records(&mut queue, freed, waited));
        assert_eq!(started, vec![(task(2_000), 1, "w0".into())], "{old:?}");
    }
}

/// Guards against a service whose tasks all fail with one rack.
#[test]
fn a_service_is_spread_over_racks() {
    let mut queue = queue_with_workers(6);
    let spec = JobSpec {
        spread: true,
        run_time: None,
        ..job(1, 6, 1)
    };

    let actions = submit(&mut queue, spec, Duration::ZERO);

    let mut racks = [0; 3];
    for (_, _, name) in sent_starts(&commit_records(&mut queue, actions, Duration::ZERO)) {
        let number: usize = name[1..].parse().expect("workers are numbered");
        racks[number / 2] += 1;
    }
    assert_eq!(racks, [2, 2, 2]);
}

/// Guards against a gang that starves under a steady load of small jobs, and
/// against hosts outside its reservation that stay idle meanwhile.
#[test]
fn a_gang_starts_under_load_without_idling_other_hosts() {
    let mut queue = queue_with_workers(3);
    let mut running = Vec::new();
    let mut least = usize::MAX;
    let mut started_in = None;
    for number in [1, 2, 3, 100, 4, 5] {
        let spec = match number {
            100 => gang(100, 2, 16),
            _ => job(number, 1, 16),
        };
        let actions = submit(&mut queue, spec, Duration::ZERO);
        running.extend(sent_starts(&commit_records(
            &mut queue,
            actions,
            Duration::ZERO,
        )));
    }

    for round in 1..=12 {
        let now = Duration::from_secs(20) * round;
        let (id, _, name) = running.remove(0);
        let events = [
            report_event(&name, completion_report(id, true)),
            TaskEvent::Submitted(job(5 + u64::from(round), 1, 16)),
            TaskEvent::TimerFired,
        ];
        for event in events {
            let actions = queue.handle(event, now);
            running.extend(sent_starts(&commit_records(&mut queue, actions, now)));
        }
        least = least.min(running.len());
        let in_gang = |(id, ..): &(TaskId, Attempt, WorkerId)| *id >= task(100_000);
        if running.iter().any(in_gang) {
            started_in = started_in.or(Some(round));
        }
    }

    // The gang gets its reservation after two rounds. Until its second host is
    // free, only the first one is idle.
    assert!(started_in.is_some_and(|round| round <= 5), "{started_in:?}");
    assert!(least >= 2, "only {least} of 3 hosts are busy");
}

/// Guards against a second run of a job with an idempotency key after its ended
/// tasks were evicted, also under the next owner, and against jobs that are
/// retained forever.
#[test]
fn duplicates_of_an_accepted_job_are_rejected_for_a_day() {
    let config = TaskConfig {
        ended_task_limit: 0,
        ..TaskConfig::default()
    };
    let mut queue = configured_queue_with(config, &[]);
    let submitted = submit(&mut queue, job(1, 1, 1), Duration::ZERO);
    commit_records(&mut queue, submitted, Duration::ZERO);
    queue.handle(TaskEvent::Cancel(task(1_000)), Duration::ZERO);
    let mut next = configured_queue_with(config, &[]);
    next.handle(TaskEvent::Replayed(queue.export()), Duration::ZERO);

    let repeated =
        [&mut queue, &mut next].map(|queue| submit(queue, job(1, 1, 1), Duration::from_hours(23)));
    next.handle(TaskEvent::TimerFired, Duration::from_hours(24));
    let later = submit(&mut next, job(1, 1, 1), Duration::from_hours(24));

    let duplicate = vec![TaskAction::Reject(1, JobRejection::Duplicate)];
    assert_eq!(repeated, [duplicate.clone(), duplicate]);
    assert_eq!(record_ids(&later).len(), 1);
}

/// Guards against a pool limit that takes effect only under the next owner, and
/// against a task that is started again before a longer lease granted before the
/// change has expired.
#[test]
fn changed_pool_limits_apply_at_once_except_to_granted_leases() {
    let mut queue = claimed_queue(&[worker(0, ACCELERATED_CAPACITY)]);
    let submitted = submit(&mut queue, job(1, 32, 1), Duration::ZERO);
    let before = sent_starts(&commit_records(&mut queue, submitted, Duration::ZERO)).len();
    let changed = TaskEvent::PoolChanged {
        accelerator_host_share: 75,
        lease: Duration::from_secs(10),
    };

    let actions = queue.handle(changed, Duration::ZERO);

    let after = sent_starts(&commit_records(&mut queue, actions, Duration::ZERO)).len();
    queue.handle(TaskEvent::WorkerUnresponsive("w0".into()), Duration::ZERO);
    let mut state_at = |seconds| {
        queue.handle(TaskEvent::TimerFired, Duration::from_secs(seconds));
        queue.view(task(1_000)).map(|view| view.state)
    };
    assert_eq!((before, after), (16, 8));
    assert_eq!(state_at(65), Some(TaskState::Unresolved("w0".into())));
    assert!(matches!(state_at(66), Some(TaskState::Waiting(_))));
}
