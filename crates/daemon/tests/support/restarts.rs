//! Workers that are restarted under their identifiers and then cut off, and records of their runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use auburnsaddle_platform_standin::{StartRecord, WorkerStandin};
use http::StatusCode;
use serde_json::Value;
use tokio::sync::watch;

use super::CellFixture;

/// Time from the restart of a worker until its next heartbeat writes its entry.
pub(crate) const HEARTBEAT_DELAY: Duration = Duration::from_millis(1_500);

/// Time limit of the wait for the event after which a worker is cut off. A new instance that
/// rejects the orders for the former one may start nothing before.
const CUT_TIMEOUT: Duration = Duration::from_secs(4);

/// Duration of a cut: longer than the longest lease that workers accept, 6 s on a clock that is
/// 2 % slow, with the time of an owner to start tasks elsewhere.
const CUT_TIME: Duration = Duration::from_millis(8_500);

/// Reading of the clocks of all workers at their first start. A clock that is restarted can begin
/// before or after it.
pub(crate) const FORMER_CLOCK: Duration = Duration::from_hours(2);

/// Reading far behind the clock of the former instance.
pub(crate) const EARLIER_CLOCK: Duration = Duration::from_hours(1);

/// Pause between two submissions after the restarts. It is far below the 0.6 s by which the
/// longest lease of a worker exceeds the time after which an owner takes its runs for ended, so
/// that a start comes just before the event after which a worker is cut off.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(200);

/// Moment at which a restarted worker is cut off, relative to an event on its new instance.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CutMoment {
    /// After the first run that it starts.
    Start(Duration),
    /// After the first renewal that it answers.
    Renewal(Duration),
}

/// Directions of the traffic that a cut ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CutDirection {
    /// No request reaches the worker, and no response leaves it.
    Both,
    /// Requests reach the worker and are carried out, but no response leaves it.
    Responses,
}

/// When a test stops to submit jobs after the restarts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SubmissionEnd {
    /// Once a worker has seen the event before its cut, so that no order follows the cut for long:
    /// its missing answer would tell the owner as much as that of a renewal.
    FirstEvent,
    /// Once all workers are cut off, as with callers who know nothing of the cuts.
    LastCut,
}

/// The cuts of one test, and the jobs meanwhile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CutPlan<'a> {
    /// Daemon to which the jobs are submitted.
    pub(crate) daemon: usize,
    /// Job of which copies are submitted.
    pub(crate) job: &'a Value,
    /// Moments of the cuts of the first workers.
    pub(crate) moments: &'a [CutMoment],
    pub(crate) direction: CutDirection,
    pub(crate) submission_end: SubmissionEnd,
}

/// What happened until all workers were reconnected.
#[derive(Debug)]
pub(crate) struct CutReport {
    /// Number of jobs that were submitted after the restarts.
    pub(crate) job_count: usize,
    /// For each worker, whether it was cut off after its event.
    pub(crate) has_event: Vec<bool>,
}

/// Time of the restarts on both clocks, to which records and log lines refer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RestartTime {
    at: Instant,
    unix_time: Duration,
}

impl RestartTime {
    pub(crate) fn now() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            at: Instant::now(),
            unix_time: unix_time.unwrap(),
        }
    }

    /// Returns the time from the restart in s, which is negative before it.
    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.at).as_secs_f64()
            - self.at.saturating_duration_since(at).as_secs_f64()
    }

    /// Returns the time of a log line from the restart, if it has one that is not before.
    fn line_time(&self, line: &Value) -> Option<Duration> {
        let unix_ms = line["time_unix_ms"].as_u64()?;
        Duration::from_millis(unix_ms).checked_sub(self.unix_time)
    }
}

/// Restarts the first workers.
pub(crate) fn restart_workers(cell: &CellFixture, clock: Duration, count: usize) {
    for worker in &cell.workers[..count] {
        worker.restart_with_clock(clock);
        let (store, worker) = (cell.store.clone(), worker.clone());
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT_DELAY).await;
            let (key, value) = worker.registration("sales");
            store.write(&key, &value);
        });
    }
}

/// Waits for the event before a cut. Returns whether it came in time.
pub(crate) async fn wait_for_event(worker: &WorkerStandin, moment: CutMoment) -> bool {
    let event = async {
        match moment {
            CutMoment::Start(_) => worker.wait_for_start().await,
            CutMoment::Renewal(_) => worker.wait_for_renewal().await,
        }
    };
    tokio::time::timeout(CUT_TIMEOUT, event).await.is_ok()
}

/// Submits jobs until the plan says so, so that tasks are started on all workers. `progress` counts
/// the events until the first cut, or the cuts. Returns the number of jobs.
async fn submit_jobs(
    cell: &CellFixture,
    plan: &CutPlan<'_>,
    mut progress: watch::Receiver<usize>,
) -> usize {
    let needed = match plan.submission_end {
        SubmissionEnd::FirstEvent => 1,
        SubmissionEnd::LastCut => plan.moments.len(),
    };
    let mut id = 2;
    let limit = Instant::now() + CUT_TIMEOUT * 2;
    while Instant::now() < limit {
        let accepted = cell.submit(plan.daemon, id, plan.job).await == Some(StatusCode::OK);
        match plan.submission_end {
            SubmissionEnd::FirstEvent => assert!(accepted, "job {id} is refused"),
            // The owner may stop meanwhile. A job that is refused is submitted again.
            SubmissionEnd::LastCut => {}
        }
        id += u64::from(accepted);
        let end = progress.wait_for(|count| *count >= needed);
        if tokio::time::timeout(SUBMIT_INTERVAL, end).await.is_ok() {
            break;
        }
    }
    usize::try_from(id - 2).unwrap()
}

/// Cuts the first workers off, each at its own moment, and reconnects them after `CUT_TIME`.
/// Meanwhile submits jobs.
pub(crate) async fn cut_off_and_reconnect(cell: &CellFixture, plan: &CutPlan<'_>) -> CutReport {
    let progress = watch::Sender::new(0);
    let cuts = cell.workers.iter().zip(plan.moments);
    let cuts = cuts.map(|(worker, moment)| {
        let (worker, moment, progress) = (worker.clone(), *moment, progress.clone());
        let (direction, submission_end) = (plan.direction, plan.submission_end);
        tokio::spawn(async move {
            let has_event = wait_for_event(&worker, moment).await;
            if matches!(submission_end, SubmissionEnd::FirstEvent) {
                progress.send_modify(|count| *count += 1);
            }
            let (CutMoment::Start(delay) | CutMoment::Renewal(delay)) = moment;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            match direction {
                CutDirection::Both => worker.cut_off(),
                CutDirection::Responses => worker.mute(),
            }
            if matches!(submission_end, SubmissionEnd::LastCut) {
                progress.send_modify(|count| *count += 1);
            }
            tokio::time::sleep(CUT_TIME).await;
            worker.reconnect();
            has_event
        })
    });
    let cuts: Vec<_> = cuts.collect();
    let job_count = submit_jobs(cell, plan, progress.subscribe()).await;
    let mut has_event = Vec::new();
    for cut in cuts {
        has_event.push(cut.await.unwrap());
    }
    CutReport {
        job_count,
        has_event,
    }
}

/// Prints the runs of the restarted workers, and of the tasks that they ran, in seconds from
/// their restart.
pub(crate) fn print_records(
    cell: &CellFixture,
    case: &str,
    restarted_at: RestartTime,
    count: usize,
) {
    let seconds = |at: Instant| restarted_at.seconds(at);
    let restarted = cell.workers[..count].iter().flat_map(WorkerStandin::starts);
    let tasks: BTreeSet<String> = restarted.map(|start| start.task).collect();
    for (number, worker) in (1..).zip(&cell.workers) {
        let starts = worker.starts().into_iter();
        for start in starts.filter(|start| tasks.contains(&start.task)) {
            let ended = start.ended.map(|(at, end)| (seconds(at), end));
            println!(
                "{case}: w{number} {} attempt {} token {} began {:.2} ended {ended:.2?}",
                start.task,
                start.attempt,
                start.fencing_token,
                seconds(start.began_at)
            );
        }
    }
}

/// Prints each pair of consecutive runs of a task that overlap, with the numbers of the workers and
/// the fencing tokens of the orders, whose bits above the lowest eight are the epoch of the owner.
pub(crate) fn print_overlaps(cell: &CellFixture, case: &str, restarted_at: RestartTime) {
    let mut tasks: BTreeMap<String, Vec<(u32, StartRecord)>> = BTreeMap::new();
    for (number, worker) in (1..).zip(&cell.workers) {
        for start in worker.starts() {
            let task = tasks.entry(start.task.clone()).or_default();
            task.push((number, start));
        }
    }
    for (task, mut starts) in tasks {
        starts.sort_by_key(|(_, start)| start.began_at);
        for pair in starts.windows(2) {
            let [(worker, first), (other_worker, second)] = pair else {
                continue;
            };
            let ended = first.ended;
            if ended.is_some_and(|(ended_at, end)| second.began_at >= ended_at && end != "done") {
                continue;
            }
            let ended = ended.map(|(at, end)| (restarted_at.seconds(at), end));
            let second_ended = second
                .ended
                .map(|(at, end)| (restarted_at.seconds(at), end));
            println!(
                "{case}: TWO RUNS {task} w{worker} epoch {} token {} {:.2} to {ended:.2?}, \
                 w{other_worker} epoch {} token {} {:.2} to {second_ended:.2?}",
                first.fencing_token >> 8,
                first.fencing_token,
                restarted_at.seconds(first.began_at),
                second.fencing_token >> 8,
                second.fencing_token,
                restarted_at.seconds(second.began_at),
            );
        }
    }
}

/// Prints the log lines of the daemons since the restart that name a restarted worker, and those
/// about the ownership of the service.
pub(crate) fn print_log_lines(
    cell: &CellFixture,
    case: &str,
    restarted_at: RestartTime,
    count: usize,
) {
    let restarted: BTreeSet<String> = (1..=count).map(|number| format!("w{number}")).collect();
    for daemon in 0..cell.daemons.len() {
        for line in cell.log_lines(daemon) {
            let message = line["message"].as_str().unwrap_or_default();
            let worker = line["fields"]["worker"].as_str().unwrap_or_default();
            let is_relevant = restarted.contains(worker)
                || message.contains("owns the service")
                || message.contains("stopping");
            if let Some(time) = restarted_at.line_time(&line).filter(|_| is_relevant) {
                let (time, fields) = (time.as_secs_f64(), &line["fields"]);
                println!("{case}: daemon-{daemon} {time:.3} {message} {fields}");
            }
        }
    }
}
