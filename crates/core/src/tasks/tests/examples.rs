//! One situation per test.

use super::*;
use crate::tasks::{
    CancelResult, JobRejection, ReportedTask, TaskOutcome, TaskState, WaitReason, WorkerReport,
};

fn report(worker: &str, report: WorkerReport) -> TaskEvent {
    TaskEvent::WorkerReported(worker.into(), report)
}

fn ended(task: TaskId, success: bool) -> WorkerReport {
    WorkerReport {
        completions: vec![(task, 1, success)],
        ..WorkerReport::default()
    }
}

/// Guards against a start that the owner's successor knows nothing of.
#[test]
fn a_start_follows_its_record() {
    let mut queue = queue(1);

    let submitted = submit(&mut queue, job(1, 1, 1), Duration::ZERO);
    let before = starts(&submitted).len();
    let after = starts(&commit(&mut queue, submitted, Duration::ZERO)).len();

    assert_eq!((before, after), (0, 1));
}

/// Guards against `anytime` work that stops with the store.
#[test]
fn anytime_work_starts_while_records_fail() {
    let mut queue = queue(1);
    let spec = JobSpec {
        restart: RestartPolicy::Anytime,
        ..job(1, 2, 16)
    };
    let submitted = submit(&mut queue, spec, Duration::ZERO);
    let first = queue.handle(TaskEvent::Recorded(record_ids(&submitted)), Duration::ZERO);
    queue.handle(TaskEvent::RecordsFailed(record_ids(&first)), Duration::ZERO);

    let actions = queue.handle(report("w0", ended(task(1_000), true)), Duration::ZERO);

    assert_eq!(starts(&first).len() + starts(&actions).len(), 2);
}

/// Guards against starts without a record during a store outage.
#[test]
fn other_work_waits_while_records_fail() {
    let mut queue = queue(1);
    let submitted = submit(&mut queue, job(1, 1, 16), Duration::ZERO);
    let [accept, start] = record_ids(&submitted).into_iter().collect::<Vec<_>>()[..] else {
        panic!("an acceptance and a start are recorded");
    };
    queue.handle(TaskEvent::Recorded([accept].into()), Duration::ZERO);

    let actions = queue.handle(TaskEvent::RecordsFailed([start].into()), Duration::ZERO);

    let state = queue.view(task(1_000)).map(|view| view.state);
    assert_eq!(
        state,
        Some(TaskState::Waiting(WaitReason::StoreUnavailable))
    );
    assert!(starts(&actions).is_empty());
}

/// Guards against a caller that waits for a job no worker can hold.
#[test]
fn an_impossible_job_is_rejected() {
    let mut queue = queue(2);

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

/// Guards against waiting work that a configuration change made impossible.
#[test]
fn a_smaller_quota_rejects_waiting_work() {
    let mut queue = queue(1);
    let spec = job(1, 2, 16);
    let submitted = submit(&mut queue, spec, Duration::ZERO);
    commit(&mut queue, submitted, Duration::ZERO);
    let quota = team(ResourceVector::new(8_000, u64::MAX, 0));

    let actions = queue.handle(TaskEvent::TeamsChanged(vec![quota]), Duration::ZERO);

    assert!(actions.contains(&TaskAction::Reject(1, JobRejection::AboveQuota)));
}

/// Guards against work on a worker whose running tasks are not yet known.
#[test]
fn nothing_is_placed_before_the_claim() {
    let mut queue = configured(&[worker(0, GENERAL)]);
    let submitted = submit(&mut queue, job(1, 1, 1), Duration::ZERO);
    let before = starts(&commit(&mut queue, submitted, Duration::ZERO)).len();

    let claimed = queue.handle(
        TaskEvent::WorkerClaimed("w0".into(), vec![]),
        Duration::ZERO,
    );
    let after = starts(&commit(&mut queue, claimed, Duration::ZERO)).len();

    assert_eq!((before, after), (0, 1));
}

/// Guards against accelerators stranded by work that needs none.
#[test]
fn accelerator_hosts_keep_a_share() {
    let mut queue = claimed(&[worker(0, ACCELERATED)]);

    let submitted = submit(&mut queue, job(1, 32, 1), Duration::ZERO);
    let started = starts(&commit(&mut queue, submitted, Duration::ZERO)).len();

    assert_eq!(started, 16);
}

/// Guards against a gang that starves behind small work, and against hosts
/// that stay idle until it starts.
#[test]
fn a_gang_is_reserved_for_and_backfilled() {
    let mut queue = queue(2);
    let minute = Duration::from_mins(1);
    let long = JobSpec {
        run_time: Some(minute * 10),
        ..job(1, 1, 16)
    };
    for spec in [long, job(2, 1, 8), gang(3, 2, 16)] {
        let actions = submit(&mut queue, spec, Duration::ZERO);
        commit(&mut queue, actions, Duration::ZERO);
    }
    let actions = queue.handle(TaskEvent::TimerFired, minute);
    commit(&mut queue, actions, minute);

    let short = submit(&mut queue, job(4, 1, 4), minute);
    let short = starts(&commit(&mut queue, short, minute)).len();
    let long = JobSpec {
        run_time: Some(minute * 30),
        ..job(5, 1, 4)
    };
    let long = submit(&mut queue, long, minute);
    let long = starts(&commit(&mut queue, long, minute)).len();
    for (name, id) in [
        ("w0", 1_000),
        ("w1", 2_000),
        ("w1", 4_000),
        ("w0", 2_000),
        ("w0", 4_000),
    ] {
        queue.handle(report(name, ended(task(id), true)), minute * 9);
    }
    let state = queue.view(task(3_000)).map(|view| view.state);

    assert_eq!((short, long), (1, 0));
    assert!(matches!(state, Some(TaskState::Recording(_))));
}

/// Guards against an unclear answer when a cancellation meets a start.
#[test]
fn a_cancellation_that_races_a_start_has_one_result() {
    let mut queue = queue(1);
    let submitted = submit(&mut queue, job(1, 1, 1), Duration::ZERO);
    let ids = record_ids(&submitted);

    let cancelled = queue.handle(TaskEvent::Cancel(task(1_000)), Duration::ZERO);
    let recorded = queue.handle(TaskEvent::Recorded(ids), Duration::ZERO);

    let result = TaskAction::Cancelled(task(1_000), CancelResult::NotStarted);
    assert!(cancelled.contains(&result));
    assert!(starts(&recorded).is_empty());
}

/// Guards against a burst of cancellations that looks at unrelated tasks, and
/// against one that misses a task.
#[test]
fn ten_thousand_tasks_are_cancelled_by_label() {
    let mut queue = queue(4);
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

/// Guards against a second run of a `never` task, and against a forgotten one.
#[test]
fn a_lost_never_task_ends_unknown() {
    let mut queue = queue(1);
    let spec = JobSpec {
        restart: RestartPolicy::Never,
        ..job(1, 1, 1)
    };
    let submitted = submit(&mut queue, spec, Duration::ZERO);
    commit(&mut queue, submitted, Duration::ZERO);
    queue.handle(
        TaskEvent::WorkerUnresponsive("w0".into()),
        Duration::from_secs(1),
    );
    let early = queue.handle(TaskEvent::TimerFired, Duration::from_mins(1));
    let unresolved = queue.view(task(1_000)).map(|view| view.state);

    queue.handle(TaskEvent::TimerFired, Duration::from_secs(70));

    let state = queue.view(task(1_000)).map(|view| view.state);
    assert!(starts(&early).is_empty());
    assert_eq!(unresolved, Some(TaskState::Unresolved("w0".into())));
    assert_eq!(state, Some(TaskState::Ended(TaskOutcome::Unknown)));
}

/// Guards against an overlap of two attempts after a takeover.
#[test]
fn a_replayed_start_waits_for_its_worker() {
    let mut former = queue(2);
    let submitted = submit(&mut former, job(1, 1, 1), Duration::ZERO);
    let records = submitted.iter().filter_map(|action| match action {
        TaskAction::Record(_, record) => Some(record.clone()),
        _ => None,
    });
    let mut queue = TaskQueue::new(TaskConfig::default(), PackingFirst);
    queue.handle(TaskEvent::Replayed(records.collect()), Duration::ZERO);
    let quota = ResourceVector::new(u64::MAX, u64::MAX, u64::MAX);
    queue.handle(TaskEvent::TeamsChanged(vec![team(quota)]), Duration::ZERO);
    let workers = vec![worker(0, GENERAL), worker(1, GENERAL)];
    queue.handle(TaskEvent::WorkersChanged(workers), Duration::ZERO);
    queue.handle(
        TaskEvent::WorkerClaimed("w1".into(), vec![]),
        Duration::ZERO,
    );
    let waiting = queue.view(task(1_000)).map(|view| view.state);

    let running = ReportedTask {
        task: task(1_000),
        attempt: 1,
        demand: GENERAL,
    };
    queue.handle(
        TaskEvent::WorkerClaimed("w0".into(), vec![running]),
        Duration::ZERO,
    );

    let state = queue.view(task(1_000)).map(|view| view.state);
    assert_eq!(waiting, Some(TaskState::Unresolved("w0".into())));
    assert_eq!(state, Some(TaskState::Running("w0".into())));
}

/// Guards against a host that stays above its capacity.
#[test]
fn usage_over_capacity_is_relieved_step_by_step() {
    let mut queue = queue(1);
    let spec = JobSpec {
        checkpoint: true,
        ..job(1, 1, 1)
    };
    let submitted = submit(&mut queue, spec, Duration::ZERO);
    commit(&mut queue, submitted, Duration::ZERO);
    queue.handle(TaskEvent::StartAccepted(task(1_000), 1), Duration::ZERO);
    let running = ReportedTask {
        task: task(1_000),
        attempt: 1,
        demand: GENERAL,
    };
    let over = WorkerReport {
        usage: ACCELERATED,
        running: vec![running],
        ..WorkerReport::default()
    };

    let steps: Vec<_> = (0..3)
        .flat_map(|_| queue.handle(report("w0", over.clone()), Duration::ZERO))
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

/// Guards against a team that takes most of a pool because it asks for another
/// resource than the others, or because its work came first.
#[test]
fn teams_share_a_pool_by_their_dominant_resource() {
    let entries: Vec<_> = (0..4).map(|number| worker(number, GENERAL)).collect();
    let mut queue = configured(&entries);
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
        commit(&mut queue, actions, Duration::ZERO);
    }

    let mut counts = [0, 0];
    for entry in entries {
        let claimed = TaskEvent::WorkerClaimed(entry.worker, Vec::new());
        let actions = queue.handle(claimed, Duration::ZERO);
        for (id, ..) in starts(&commit(&mut queue, actions, Duration::ZERO)) {
            counts[usize::from(id >= task(2_000))] += 1;
        }
    }

    assert_eq!(counts, [12, 12]);
}

/// Guards against work above a quota, and against work that still waits when
/// its team holds less.
#[test]
fn work_above_the_quota_waits_for_a_release() {
    let mut queue = queue(1);
    let quota = team(ResourceVector::new(8_000, u64::MAX, 0));
    queue.handle(TaskEvent::TeamsChanged(vec![quota]), Duration::ZERO);
    for spec in [job(1, 1, 8), job(2, 1, 4)] {
        let actions = submit(&mut queue, spec, Duration::ZERO);
        commit(&mut queue, actions, Duration::ZERO);
    }
    let waiting = queue.view(task(2_000)).map(|view| view.state);

    let released = queue.handle(report("w0", ended(task(1_000), true)), Duration::ZERO);

    let started = starts(&commit(&mut queue, released, Duration::ZERO));
    assert_eq!(waiting, Some(TaskState::Waiting(WaitReason::Quota)));
    assert_eq!(started, vec![(task(2_000), 1, "w0".into())]);
}

/// Guards against work that more urgent work, or larger work of its class,
/// passes again and again.
#[test]
fn work_that_waited_long_is_promoted() {
    let (batch, normal, urgent) = (
        UrgencyClass::Batch,
        UrgencyClass::Normal,
        UrgencyClass::Urgent,
    );
    for (old, new) in [(batch, normal), (normal, urgent), (urgent, urgent)] {
        let mut queue = queue(1);
        let first = submit(&mut queue, job(1, 1, 16), Duration::ZERO);
        commit(&mut queue, first, Duration::ZERO);
        let waited = TaskConfig::default().promote_after;
        let arrivals = [(2, 9, old, Duration::ZERO), (3, 16, new, waited / 2)];
        for (number, cores, urgency, at) in arrivals {
            let spec = JobSpec {
                urgency,
                ..job(number, 1, cores)
            };
            let actions = submit(&mut queue, spec, at);
            commit(&mut queue, actions, at);
        }
        queue.handle(TaskEvent::TimerFired, waited);

        let freed = queue.handle(report("w0", ended(task(1_000), true)), waited);

        let started = starts(&commit(&mut queue, freed, waited));
        assert_eq!(started, vec![(task(2_000), 1, "w0".into())], "{old:?}");
    }
}

/// Guards against a service that one rack can take down.
#[test]
fn a_service_is_spread_over_racks() {
    let mut queue = queue(6);
    let spec = JobSpec {
        spread: true,
        run_time: None,
        ..job(1, 6, 1)
    };

    let actions = submit(&mut queue, spec, Duration::ZERO);

    let mut racks = [0; 3];
    for (_, _, name) in starts(&commit(&mut queue, actions, Duration::ZERO)) {
        let number: usize = name[1..].parse().expect("workers are numbered");
        racks[number / 2] += 1;
    }
    assert_eq!(racks, [2, 2, 2]);
}

/// Guards against a gang that small work passes for ever, and against hosts
/// outside its reservation that stay idle meanwhile.
#[test]
fn a_gang_starts_between_small_work_without_idle_hosts() {
    let mut queue = queue(3);
    let mut running = Vec::new();
    let mut least = usize::MAX;
    let mut started_in = None;
    for number in [1, 2, 3, 100, 4, 5] {
        let spec = match number {
            100 => gang(100, 2, 16),
            _ => job(number, 1, 16),
        };
        let actions = submit(&mut queue, spec, Duration::ZERO);
        running.extend(starts(&commit(&mut queue, actions, Duration::ZERO)));
    }

    for round in 1..=12 {
        let now = Duration::from_secs(20) * round;
        let (id, _, name) = running.remove(0);
        let events = [
            report(&name, ended(id, true)),
            TaskEvent::Submitted(job(5 + u64::from(round), 1, 16)),
            TaskEvent::TimerFired,
        ];
        for event in events {
            let actions = queue.handle(event, now);
            running.extend(starts(&commit(&mut queue, actions, now)));
        }
        least = least.min(running.len());
        let in_gang = |(id, ..): &(TaskId, Attempt, WorkerId)| *id >= task(100_000);
        if running.iter().any(in_gang) {
            started_in = started_in.or(Some(round));
        }
    }

    // The gang is reserved for after two rounds; while it waits for its second
    // host, only the first is idle.
    assert!(started_in.is_some_and(|round| round <= 5), "{started_in:?}");
    assert!(least >= 2, "{least} of 3 hosts work");
}

/// Guards against a second run of a keyed job whose tasks are no longer shown,
/// also at the next owner, and against jobs that are remembered for ever.
#[test]
fn an_accepted_job_is_remembered_for_a_day() {
    let config = TaskConfig {
        ended_task_limit: 0,
        ..TaskConfig::default()
    };
    let mut queue = configured_with(config, &[]);
    let submitted = submit(&mut queue, job(1, 1, 1), Duration::ZERO);
    commit(&mut queue, submitted, Duration::ZERO);
    queue.handle(TaskEvent::Cancel(task(1_000)), Duration::ZERO);
    let mut next = configured_with(config, &[]);
    next.handle(TaskEvent::Replayed(queue.export()), Duration::ZERO);

    let repeated =
        [&mut queue, &mut next].map(|queue| submit(queue, job(1, 1, 1), Duration::from_hours(23)));
    next.handle(TaskEvent::TimerFired, Duration::from_hours(24));
    let later = submit(&mut next, job(1, 1, 1), Duration::from_hours(24));

    let duplicate = vec![TaskAction::Reject(1, JobRejection::Duplicate)];
    assert_eq!(repeated, [duplicate.clone(), duplicate]);
    assert_eq!(record_ids(&later).len(), 1);
}

/// Guards against a changed limit of a pool that waits for the next owner, and
/// against a task that starts again while a longer lease granted before the
/// change may still run.
#[test]
fn changed_limits_hold_at_once_and_former_leases_run_out() {
    let mut queue = claimed(&[worker(0, ACCELERATED)]);
    let submitted = submit(&mut queue, job(1, 32, 1), Duration::ZERO);
    let before = starts(&commit(&mut queue, submitted, Duration::ZERO)).len();
    let changed = TaskEvent::PoolChanged {
        accelerator_host_share: 75,
        lease: Duration::from_secs(10),
    };

    let actions = queue.handle(changed, Duration::ZERO);

    let after = starts(&commit(&mut queue, actions, Duration::ZERO)).len();
    queue.handle(TaskEvent::WorkerUnresponsive("w0".into()), Duration::ZERO);
    let mut state_at = |seconds| {
        queue.handle(TaskEvent::TimerFired, Duration::from_secs(seconds));
        queue.view(task(1_000)).map(|view| view.state)
    };
    assert_eq!((before, after), (16, 8));
    assert_eq!(state_at(65), Some(TaskState::Unresolved("w0".into())));
    assert!(matches!(state_at(66), Some(TaskState::Waiting(_))));
}
