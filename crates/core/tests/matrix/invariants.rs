//! The invariants of section 1.2 of the design, checked after every event.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{JobRejection, KeyReply, RequestId, RestartPolicy, TaskOutcome, TaskState};

use super::{SLOTS, World, expected_body, network::Answer};

/// Time after which a leaving host gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(5);

/// Time within which a version is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(7);

/// Store calls per second: the part of 400 writes and 2,000 reads that falls to
/// four of the eight daemons of a cell.
const WRITE_LIMIT: usize = 200;
const READ_LIMIT: usize = 1_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Invariant {
    /// No worker or runner runs more than its size.
    Size,
    /// A `when-stopped` or `never` task runs in one place.
    OnePlace,
    /// A `never` task starts, and a keyed call runs, at most once.
    AtMostOnce,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// What was reported as not run is in no target's log.
    NotRun,
    /// A leaving host gets no new work.
    Leaving,
    /// A version never goes back.
    NoRevert,
    /// A published version is in force everywhere.
    InForce,
    /// Every accepted job ends or is known as unresolved.
    Settled,
    /// Store calls stay within the rates.
    StoreRate,
}

#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) invariant: Invariant,
    pub(crate) detail: String,
}

/// Returns the first invariant that does not hold at the moment.
pub(crate) fn check(world: &mut World) -> Result<(), Violation> {
    check_workers(world)?;
    check_runners(world)?;
    check_versions(world)?;
    // Logs and answers only grow, so they are read again after a change.
    let starts: usize = world.workers.iter().map(|worker| worker.log.len()).sum();
    let calls: usize = world.runners.iter().map(|runner| runner.log.len()).sum();
    let grown = (starts + calls, world.caller.told.len());
    if grown != world.checked {
        world.checked = grown;
        check_logs(world)?;
        check_keys(world)?;
        check_answers(world)?;
    }
    let (writes, reads) = (world.store.writes.len(), world.store.reads.len());
    if writes > WRITE_LIMIT || reads > READ_LIMIT {
        return violated(
            Invariant::StoreRate,
            format!("{writes} writes and {reads} reads in one second"),
        );
    }
    Ok(())
}

fn violated(invariant: Invariant, detail: String) -> Result<(), Violation> {
    Err(Violation { invariant, detail })
}

fn check_workers(world: &World) -> Result<(), Violation> {
    let mut places = BTreeMap::new();
    for (index, worker) in world.workers.iter().enumerate() {
        let used = worker.used();
        if !used.fits_in(&worker.capacity) {
            let detail = format!("worker {index} runs {used:?}");
            return violated(Invariant::Size, detail);
        }
        for (task, attempt) in worker.tasks() {
            let before = places.insert(task, (index, attempt));
            let anytime = world.restart(task) == RestartPolicy::Anytime;
            if let Some(before) = before.filter(|_| !anytime) {
                let detail = format!("{task} runs at {before:?} and {:?}", (index, attempt));
                return violated(Invariant::OnePlace, detail);
            }
        }
    }
    Ok(())
}

fn check_logs(world: &World) -> Result<(), Violation> {
    let mut starts = BTreeMap::new();
    for (index, worker) in world.workers.iter().enumerate() {
        for entry in &worker.log {
            let count = starts.entry(entry.task).or_insert(0);
            *count += 1;
            if *count > 1 && world.restart(entry.task) == RestartPolicy::Never {
                let detail = format!("never task {} started twice", entry.task);
                return violated(Invariant::AtMostOnce, detail);
            }
            let late = worker
                .leaving_since
                .is_some_and(|since| entry.at > since + LEAVING_LIMIT);
            if late {
                let detail = format!("worker {index} started {entry:?}");
                return violated(Invariant::Leaving, detail);
            }
        }
    }
    Ok(())
}

fn check_runners(world: &World) -> Result<(), Violation> {
    for (index, runner) in world.runners.iter().enumerate() {
        if runner.running_len() > SLOTS as usize {
            let detail = format!("runner {index} runs {}", runner.running_len());
            return violated(Invariant::Size, detail);
        }
    }
    Ok(())
}

fn check_keys(world: &World) -> Result<(), Violation> {
    let mut keys = BTreeSet::new();
    for (request, key) in world.runners.iter().flat_map(|runner| &runner.log) {
        if !keys.insert(*key) {
            let detail = format!("the key of request {request} ran twice");
            return violated(Invariant::AtMostOnce, detail);
        }
    }
    Ok(())
}

/// Checks the answer to a keyed call: the whole response to its own request,
/// and no run of what was told as not run.
fn check_reply(world: &World, request: RequestId, reply: &KeyReply) -> Result<(), Violation> {
    match reply {
        KeyReply::Completed(response) | KeyReply::Replayed(response)
            if response.body != Some(expected_body(request)) =>
        {
            let detail = format!("request {request} got {response:?}");
            return violated(Invariant::OwnAnswer, detail);
        }
        KeyReply::NotRun(reason) => {
            let mut logs = world.runners.iter().flat_map(|runner| &runner.log);
            if logs.any(|(ran, _)| *ran == request) {
                let detail = format!("request {request} was told not run: {reason}");
                return violated(Invariant::NotRun, detail);
            }
        }
        _ => {}
    }
    Ok(())
}

fn check_answers(world: &World) -> Result<(), Violation> {
    for (request, answer) in &world.caller.told {
        let ran = |tasks: &[_]| {
            let mut logs = world.workers.iter().flat_map(|worker| &worker.log);
            logs.any(|entry| tasks.contains(&entry.task))
        };
        let (job, not_run) = match answer {
            // A duplicate says nothing about the first request.
            Answer::Accepted(job) | Answer::Rejected(job, JobRejection::Duplicate) => (*job, None),
            Answer::Rejected(job, _) => (*job, Some(world.jobs[job].tasks.clone())),
            Answer::Ended(task, TaskOutcome::NotRun(_)) => (world.job_of(*task), Some(vec![*task])),
            Answer::Ended(task, _) => (world.job_of(*task), None),
            Answer::Published => continue,
            Answer::Called(reply) => {
                check_reply(world, *request, reply)?;
                continue;
            }
        };
        if *request != u128::from(job) {
            let detail = format!("request {request} got the answer {answer:?}");
            return violated(Invariant::OwnAnswer, detail);
        }
        if not_run.is_some_and(|tasks| ran(&tasks)) {
            let detail = format!("request {request} was told {answer:?}");
            return violated(Invariant::NotRun, detail);
        }
    }
    Ok(())
}

fn check_versions(world: &mut World) -> Result<(), Violation> {
    let now = world.now;
    let due = world
        .versions
        .iter()
        .filter(|(at, _)| *at.max(&world.calm_since) + IN_FORCE_LIMIT < now)
        .map(|(_, version)| *version)
        .max()
        .unwrap_or_default();
    for daemon in &mut world.daemons {
        let version = daemon.config.version();
        if version < daemon.highest_version {
            let detail = format!("{} went back to version {version}", daemon.name);
            return violated(Invariant::NoRevert, detail);
        }
        daemon.highest_version = version;
        if daemon.alive && version < due {
            let detail = format!("{} has version {version} instead of {due}", daemon.name);
            return violated(Invariant::InForce, detail);
        }
    }
    Ok(())
}

/// Checks at the end of a run that no accepted job is lost or waits for nothing.
pub(crate) fn check_end(world: &World) -> Result<(), Violation> {
    for (request, answer) in &world.caller.told {
        let Answer::Accepted(job) = answer else {
            continue;
        };
        for task in &world.jobs[job].tasks {
            let states = world
                .daemons
                .iter()
                .filter(|daemon| daemon.alive)
                .flat_map(|daemon| daemon.pools.values())
                .filter_map(|pool| pool.queue.view(*task));
            let state = states.map(|view| view.state).next();
            let settled = matches!(state, Some(TaskState::Ended(_) | TaskState::Unresolved(_)));
            if !settled {
                let detail = format!("request {request}, task {task}: {state:?}");
                return violated(Invariant::Settled, detail);
            }
        }
    }
    Ok(())
}
