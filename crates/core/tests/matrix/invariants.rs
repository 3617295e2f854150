//! The invariants of section 1.2 of the design, checked after every event.

use super::prelude::*;

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

/// The violated invariant, and how it is violated.
pub(crate) type Checked = Result<(), (Invariant, String)>;

impl Invariant {
    fn require(self, holds: bool, detail: impl FnOnce() -> String) -> Checked {
        if holds { Ok(()) } else { Err((self, detail())) }
    }
}

/// Returns the first invariant that does not hold at the moment.
pub(crate) fn check(world: &mut World) -> Checked {
    check_sizes(world)?;
    check_places(world)?;
    check_versions(world)?;
    // Logs and answers only grow, so they are read again after a change.
    let starts: usize = world.workers.iter().map(|worker| worker.log.len()).sum();
    let calls: usize = world.runners.iter().map(|runner| runner.log.len()).sum();
    let grown = (starts + calls, world.told.len());
    if grown != world.checked {
        world.checked = grown;
        check_starts(world)?;
        check_keys(world)?;
        check_answers(world)?;
    }
    let (writes, reads) = (world.store.writes.len(), world.store.reads.len());
    let within = writes <= WRITE_LIMIT && reads <= READ_LIMIT;
    Invariant::StoreRate.require(within, || {
        format!("{writes} writes and {reads} reads in one second")
    })
}

fn check_sizes(world: &World) -> Checked {
    for (index, worker) in world.workers.iter().enumerate() {
        let used = worker.used();
        Invariant::Size.require(used.fits_in(&CAPACITY), || {
            format!("worker {index} runs {used:?}")
        })?;
    }
    for (index, runner) in world.runners.iter().enumerate() {
        let running = runner.running_len();
        Invariant::Size.require(running <= SLOTS as usize, || {
            format!("runner {index} runs {running}")
        })?;
    }
    Ok(())
}

fn restart_of(world: &World, task: TaskId) -> RestartPolicy {
    world.jobs[&job_of(task)].restart
}

fn check_places(world: &World) -> Checked {
    let mut places = BTreeMap::new();
    for (index, worker) in world.workers.iter().enumerate() {
        for (task, attempt) in worker.tasks() {
            let before = places.insert(task, (index, attempt));
            let anytime = restart_of(world, task) == RestartPolicy::Anytime;
            Invariant::OnePlace.require(anytime || before.is_none(), || {
                format!("{task} runs at {before:?} and {:?}", (index, attempt))
            })?;
        }
    }
    Ok(())
}

fn check_starts(world: &World) -> Checked {
    let mut started = BTreeSet::new();
    for (index, worker) in world.workers.iter().enumerate() {
        for entry in &worker.log {
            let first = started.insert(entry.task);
            let never = restart_of(world, entry.task) == RestartPolicy::Never;
            Invariant::AtMostOnce.require(first || !never, || {
                format!("never task {} started twice", entry.task)
            })?;
            let since = worker.leaving_since;
            let in_time = since.is_none_or(|since| entry.at <= since + LEAVING_LIMIT);
            Invariant::Leaving.require(in_time, || format!("worker {index} started {entry:?}"))?;
        }
    }
    Ok(())
}

fn check_keys(world: &World) -> Checked {
    let mut keys = BTreeSet::new();
    for (request, key) in world.runners.iter().flat_map(|runner| &runner.log) {
        Invariant::AtMostOnce.require(keys.insert(*key), || {
            format!("the key of request {request} ran twice")
        })?;
    }
    Ok(())
}

fn check_answers(world: &World) -> Checked {
    for (request, answer) in &world.told {
        let (job, not_run) = match answer {
            // A duplicate says nothing about the first request.
            Answer::Accepted(job) | Answer::Rejected(job, JobRejection::Duplicate) => {
                (job, &[][..])
            }
            Answer::Rejected(job, _) => (job, &world.jobs[job].tasks[..]),
            Answer::Ended(task, TaskOutcome::NotRun(_)) => (&job_of(*task), &[*task][..]),
            Answer::Ended(task, _) => (&job_of(*task), &[][..]),
            Answer::Published => continue,
            Answer::Called(reply) => {
                check_reply(world, *request, reply)?;
                continue;
            }
        };
        let own = *request == u128::from(*job);
        Invariant::OwnAnswer.require(own, || {
            format!("request {request} got the answer {answer:?}")
        })?;
        let mut starts = world.workers.iter().flat_map(|worker| &worker.log);
        let ran = !not_run.is_empty() && starts.any(|entry| not_run.contains(&entry.task));
        Invariant::NotRun.require(!ran, || format!("request {request} was told {answer:?}"))?;
    }
    Ok(())
}

/// Checks the answer to a keyed call: the whole response to its own request,
/// and no run of what was told as not run.
fn check_reply(world: &World, request: RequestId, reply: &KeyReply) -> Checked {
    match reply {
        KeyReply::Completed(response) | KeyReply::Replayed(response) => {
            let own = response.body == Some(body_of(request));
            Invariant::OwnAnswer.require(own, || format!("request {request} got {response:?}"))
        }
        KeyReply::NotRun(reason) => {
            let mut calls = world.runners.iter().flat_map(|runner| &runner.log);
            let ran = calls.any(|(ran, _)| *ran == request);
            Invariant::NotRun.require(!ran, || {
                format!("request {request} was told not run: {reason}")
            })
        }
        _ => Ok(()),
    }
}

fn check_versions(world: &mut World) -> Checked {
    let due_by = |at: &Duration| *at.max(&world.calm_since) + IN_FORCE_LIMIT;
    let versions = world.versions.iter();
    let due = versions.filter(|(at, _)| due_by(at) < world.now);
    let due = due.map(|(_, version)| *version).max().unwrap_or_default();
    for daemon in &mut world.daemons {
        let (name, version) = (&daemon.name, daemon.config.version());
        Invariant::NoRevert.require(version >= daemon.highest_version, || {
            format!("{name} went back to version {version}")
        })?;
        daemon.highest_version = version;
        Invariant::InForce.require(!daemon.alive || version >= due, || {
            format!("{name} has version {version} instead of {due}")
        })?;
    }
    Ok(())
}

/// Checks at the end of a run that no accepted job is lost or waits for nothing.
pub(crate) fn check_end(world: &World) -> Checked {
    for (request, answer) in &world.told {
        let Answer::Accepted(job) = answer else {
            continue;
        };
        for task in &world.jobs[job].tasks {
            let alive = world.daemons.iter().filter(|daemon| daemon.alive);
            let mut pools = alive.flat_map(|daemon| daemon.pools.values());
            let state = pools.find_map(|pool| pool.queue.view(*task));
            let state = state.map(|view| view.state);
            let settled = matches!(state, Some(TaskState::Ended(_) | TaskState::Unresolved(_)));
            Invariant::Settled.require(settled, || {
                format!("request {request}, task {task}: {state:?}")
            })?;
        }
    }
    Ok(())
}
