//! The invariants of the scheduler, checked after every event.

use super::prelude::*;

/// Time after which a leaving host must start no new tasks.
const LEAVING_GRACE: Duration = Duration::from_secs(5);

/// Time within which every daemon must apply a published version.
const APPLY_TIMEOUT: Duration = Duration::from_secs(7);

/// Limits of store calls per second. A cell of eight daemons may send 400 writes
/// and 2,000 reads; the four daemons here get half of that.
const MAX_WRITES_PER_SECOND: usize = 200;
const MAX_READS_PER_SECOND: usize = 1_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Invariant {
    /// No worker or runner exceeds its capacity.
    Capacity,
    /// A `when-stopped` or `never` task runs in at most one place at a time.
    SinglePlace,
    /// A `never` task starts, and a keyed call runs, at most once.
    AtMostOnce,
    /// Every answer belongs to the request that it is sent for.
    MatchingAnswer,
    /// No target has run a request or task that was reported as not run.
    NotRun,
    /// A leaving host starts no new tasks.
    Leaving,
    /// The configuration version of a daemon never decreases.
    NoRevert,
    /// Every live daemon applies a published version in time.
    Applied,
    /// Every task of an accepted job has ended or is reported as unresolved at the
    /// end of the run.
    Settled,
    /// Store calls stay within the rate limits.
    StoreRate,
}

/// Result of a check; an error is the violated invariant with details.
pub(crate) type CheckResult = Result<(), (Invariant, String)>;

impl Invariant {
    fn require(self, holds: bool, detail: impl FnOnce() -> String) -> CheckResult {
        if holds { Ok(()) } else { Err((self, detail())) }
    }
}

/// Checks all invariants that must hold after every event, and returns the first
/// violation.
pub(crate) fn check(world: &mut World) -> CheckResult {
    check_capacities(world)?;
    check_placements(world)?;
    check_versions(world)?;
    // Logs and answers are append-only: check them only after they have grown.
    let starts: usize = world
        .workers
        .iter()
        .map(|worker| worker.start_log.len())
        .sum();
    let calls: usize = world
        .runners
        .iter()
        .map(|runner| runner.call_log.len())
        .sum();
    let lengths = (starts + calls, world.answers.len());
    if lengths != world.checked_lengths {
        world.checked_lengths = lengths;
        check_starts(world)?;
        check_keys(world)?;
        check_answers(world)?;
    }
    let (writes, reads) = (
        world.store.recent_writes.len(),
        world.store.recent_reads.len(),
    );
    let is_within = writes <= MAX_WRITES_PER_SECOND && reads <= MAX_READS_PER_SECOND;
    Invariant::StoreRate.require(is_within, || {
        format!("{writes} writes and {reads} reads in one second")
    })
}

fn check_capacities(world: &World) -> CheckResult {
    for (index, worker) in world.workers.iter().enumerate() {
        let used = worker.used_resources();
        Invariant::Capacity.require(used.fits_in(&WORKER_CAPACITY), || {
            format!("worker {index} exceeds its capacity: {used:?}")
        })?;
    }
    for (index, runner) in world.runners.iter().enumerate() {
        let running = runner.running_len();
        Invariant::Capacity.require(running <= SLOTS_PER_RUNNER as usize, || {
            format!("runner {index} exceeds its slots: {running} calls")
        })?;
    }
    Ok(())
}

fn restart_policy(world: &World, task: TaskId) -> RestartPolicy {
    world.jobs[&task_job(task)].restart
}

fn check_placements(world: &World) -> CheckResult {
    let mut places = BTreeMap::new();
    for (index, worker) in world.workers.iter().enumerate() {
        for (task, attempt) in worker.running_tasks() {
            let previous = places.insert(task, (index, attempt));
            let anytime = restart_policy(world, task) == RestartPolicy::Anytime;
            Invariant::SinglePlace.require(anytime || previous.is_none(), || {
                format!("{task} runs at {previous:?} and {:?}", (index, attempt))
            })?;
        }
    }
    Ok(())
}

fn check_starts(world: &World) -> CheckResult {
    let mut started = BTreeSet::new();
    for (index, worker) in world.workers.iter().enumerate() {
        for entry in &worker.start_log {
            let is_first = started.insert(entry.task);
            let never = restart_policy(world, entry.task) == RestartPolicy::Never;
            Invariant::AtMostOnce.require(is_first || !never, || {
                format!(
                    "task {} with restart policy `never` started twice",
                    entry.task
                )
            })?;
            let since = worker.leaving_since;
            let in_time = since.is_none_or(|since| entry.at <= since + LEAVING_GRACE);
            Invariant::Leaving.require(in_time, || format!("worker {index} started {entry:?}"))?;
        }
    }
    Ok(())
}

fn check_keys(world: &World) -> CheckResult {
    let mut keys = BTreeSet::new();
    for (request, key) in world.runners.iter().flat_map(|runner| &runner.call_log) {
        Invariant::AtMostOnce.require(keys.insert(*key), || {
            format!("the key of request {request} ran twice")
        })?;
    }
    Ok(())
}

fn check_answers(world: &World) -> CheckResult {
    for (request, answer) in &world.answers {
        let (job, not_run) = match answer {
            // The rejection of a duplicate leaves open whether the first
            // request ran.
            Answer::Accepted(job) | Answer::Rejected(job, JobRejection::Duplicate) => {
                (job, &[][..])
            }
            Answer::Rejected(job, _) => (job, &world.jobs[job].tasks[..]),
            Answer::Ended(task, TaskOutcome::NotRun(_)) => (&task_job(*task), &[*task][..]),
            Answer::Ended(task, _) => (&task_job(*task), &[][..]),
            Answer::Published => continue,
            Answer::Called(reply) => {
                check_reply(world, *request, reply)?;
                continue;
            }
        };
        let is_own = *request == u128::from(*job);
        Invariant::MatchingAnswer.require(is_own, || {
            format!("request {request} got the answer {answer:?}")
        })?;
        let mut starts = world.workers.iter().flat_map(|worker| &worker.start_log);
        let ran = !not_run.is_empty() && starts.any(|entry| not_run.contains(&entry.task));
        Invariant::NotRun.require(!ran, || format!("request {request} ran despite {answer:?}"))?;
    }
    Ok(())
}

/// Checks the reply to a keyed call: a response echoes the body of its request,
/// and a call that was reported as not run is in no log of a runner.
fn check_reply(world: &World, request: RequestId, reply: &KeyReply) -> CheckResult {
    match reply {
        KeyReply::Completed(response) | KeyReply::Replayed(response) => {
            let is_own = response.body == Some(request_body(request));
            Invariant::MatchingAnswer
                .require(is_own, || format!("request {request} got {response:?}"))
        }
        KeyReply::NotRun(reason) => {
            let mut calls = world.runners.iter().flat_map(|runner| &runner.call_log);
            let ran = calls.any(|(ran, _)| *ran == request);
            Invariant::NotRun.require(!ran, || {
                format!("request {request} ran despite the reply not run: {reason}")
            })
        }
        _ => Ok(()),
    }
}

fn check_versions(world: &mut World) -> CheckResult {
    let due_by = |at: &Duration| *at.max(&world.faults_end_at) + APPLY_TIMEOUT;
    let versions = world.published_versions.iter();
    let due = versions.filter(|(at, _)| due_by(at) < world.now);
    let due = due.map(|(_, version)| *version).max().unwrap_or_default();
    for daemon in &mut world.daemons {
        let (name, version) = (&daemon.name, daemon.config.version());
        Invariant::NoRevert.require(version >= daemon.highest_version, || {
            format!("{name} reverted to version {version}")
        })?;
        daemon.highest_version = version;
        Invariant::Applied.require(!daemon.is_alive || version >= due, || {
            format!("{name} has version {version} instead of {due}")
        })?;
    }
    Ok(())
}

/// Checks at the end of a run that every task of an accepted job has ended or is
/// unresolved: none is lost, and none waits forever.
pub(crate) fn check_settled(world: &World) -> CheckResult {
    for (request, answer) in &world.answers {
        let Answer::Accepted(job) = answer else {
            continue;
        };
        for task in &world.jobs[job].tasks {
            let alive = world.daemons.iter().filter(|daemon| daemon.is_alive);
            let mut pools = alive.flat_map(|daemon| daemon.pools.values());
            let state = pools.find_map(|pool| pool.queue.view(*task));
            let state = state.map(|view| view.state);
            let is_settled = matches!(state, Some(TaskState::Ended(_) | TaskState::Unresolved(_)));
            Invariant::Settled.require(is_settled, || {
                format!("request {request}, task {task}: {state:?}")
            })?;
        }
    }
    Ok(())
}
