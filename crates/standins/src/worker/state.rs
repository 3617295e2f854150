//! Admission, leases and completions of one worker.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::messages::{
    AttemptRequest, ClaimReply, ClaimRequest, CompletionEvent, LogEntry, ResourceAmounts,
    RunningTask, StartRequest, SyncReply, SyncRequest, WorkerFaults,
};

/// Time during which repeated starts of a finished attempt are recognized.
const FINISHED_RETENTION: Duration = Duration::from_mins(10);

/// Run time of an endless attempt; exceeds the duration of any test.
const ENDLESS_RUN_TIME: Duration = Duration::from_hours(24 * 365);

/// The reason why a worker rejected a request without acting on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// The request's epoch is lower than the highest one seen for the shard.
    Fenced,
    /// The attempt does not fit into the free resources.
    Full,
    /// [`WorkerFaults::refuse`] is set.
    Refused,
}

impl RejectReason {
    /// Returns the value of the `Auburnsaddle-Not-Run` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Full => "full",
            Self::Refused => "refused",
        }
    }
}

/// Id of the task and number of the attempt.
type AttemptKey = (String, u32);

#[derive(Debug)]
struct RunningAttempt {
    resources: ResourceAmounts,
    lease_ends_at: Instant,
    ends_at: Instant,
    fails: bool,
}

/// Epochs, attempts and completions of one worker.
#[derive(Debug)]
pub struct WorkerState {
    /// The faults to inject.
    pub faults: WorkerFaults,
    /// Factor by which run times are divided.
    pub speed: u32,
    capacity: ResourceAmounts,
    started_at: Instant,
    epochs: BTreeMap<String, u64>,
    running: BTreeMap<AttemptKey, RunningAttempt>,
    finished: BTreeMap<AttemptKey, Instant>,
    completions: Vec<CompletionEvent>,
    log: Vec<LogEntry>,
}

impl WorkerState {
    /// Returns an idle worker with the given capacity.
    #[must_use]
    pub fn new(capacity: ResourceAmounts, now: Instant) -> Self {
        Self {
            faults: WorkerFaults::default(),
            speed: 1,
            capacity,
            started_at: now,
            epochs: BTreeMap::new(),
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
            completions: Vec::new(),
            log: Vec::new(),
        }
    }

    /// Registers a new owner and returns the capacity and running attempts.
    ///
    /// # Errors
    ///
    /// Returns [`RejectReason::Fenced`] if the epoch is outdated.
    pub fn claim(&mut self, claim: &ClaimRequest) -> Result<ClaimReply, RejectReason> {
        self.check_epoch(&claim.shard, claim.epoch)?;
        let running = self.running.iter();
        Ok(ClaimReply {
            capacity: self.capacity,
            running: running
                .map(|((task, attempt), running)| RunningTask {
                    task: task.clone(),
                    attempt: *attempt,
                    resources: running.resources,
                })
                .collect(),
        })
    }

    /// Starts an attempt. Does nothing if the attempt is running or has finished.
    ///
    /// # Errors
    ///
    /// Returns the reason if the start is rejected; nothing has run in that case.
    pub fn start(&mut self, start: StartRequest, now: Instant) -> Result<(), RejectReason> {
        self.check_epoch(&start.shard, start.epoch)?;
        let key = (start.task, start.attempt);
        if self.running.contains_key(&key) || self.finished.contains_key(&key) {
            return Ok(());
        }
        if self.faults.refuse {
            return Err(RejectReason::Refused);
        }
        let occupied = self.occupied().plus(start.resources);
        if !occupied.fits_in(self.capacity) {
            return Err(RejectReason::Full);
        }
        let run_time = if self.faults.fail_all {
            Duration::ZERO
        } else if start.payload.endless {
            ENDLESS_RUN_TIME
        } else {
            Duration::from_millis(start.payload.run_ms) / self.speed.max(1)
        };
        let attempt = RunningAttempt {
            resources: start.resources,
            lease_ends_at: now + Duration::from_millis(start.lease_ms),
            ends_at: now + run_time,
            fails: self.faults.fail_all || start.payload.fails,
        };
        self.running.insert(key.clone(), attempt);
        self.record_event(&key, "start", now);
        Ok(())
    }

    /// Stops an attempt and returns whether it was running.
    ///
    /// # Errors
    ///
    /// Returns [`RejectReason::Fenced`] if the epoch is outdated.
    pub fn stop(&mut self, request: AttemptRequest, now: Instant) -> Result<bool, RejectReason> {
        self.check_epoch(&request.shard, request.epoch)?;
        let key = (request.task, request.attempt);
        let found = self.running.contains_key(&key);
        if found {
            self.finish(key, "stopped", now);
        }
        Ok(found)
    }

    /// Returns whether an attempt is running. Checkpoint and throttle requests
    /// have no further effect.
    ///
    /// # Errors
    ///
    /// Returns [`RejectReason::Fenced`] if the epoch is outdated.
    pub fn check_running(&mut self, request: AttemptRequest) -> Result<bool, RejectReason> {
        self.check_epoch(&request.shard, request.epoch)?;
        let key = (request.task, request.attempt);
        Ok(self.running.contains_key(&key))
    }

    /// Renews all leases and returns the usage and new completions.
    ///
    /// # Errors
    ///
    /// Returns [`RejectReason::Fenced`] if the epoch is outdated.
    pub fn sync(&mut self, sync: &SyncRequest, now: Instant) -> Result<SyncReply, RejectReason> {
        self.check_epoch(&sync.shard, sync.epoch)?;
        for attempt in self.running.values_mut() {
            attempt.lease_ends_at = now + Duration::from_millis(sync.lease_ms);
        }
        Ok(SyncReply {
            usage: self.occupied(),
            completions: self.completions_after(sync.after),
        })
    }

    /// Returns the completions after a sequence number.
    #[must_use]
    pub fn completions_after(&self, sequence: u64) -> Vec<CompletionEvent> {
        let received_count = usize::try_from(sequence).unwrap_or(usize::MAX);
        self.completions
            .iter()
            .skip(received_count)
            .cloned()
            .collect()
    }

    /// Finishes the attempts whose run time or lease has ended, in the order of
    /// their ends, and drops results older than `FINISHED_RETENTION`.
    pub fn finish_due_attempts(&mut self, now: Instant) {
        while let Some((key, at)) = self.next_end().filter(|(_, at)| *at <= now) {
            let result = match &self.running[&key] {
                attempt if attempt.lease_ends_at < attempt.ends_at => "lease-expired",
                attempt if attempt.fails => "failed",
                _ => "succeeded",
            };
            self.finish(key, result, at);
        }
        self.finished
            .retain(|_, ended_at| now.saturating_duration_since(*ended_at) < FINISHED_RETENTION);
    }

    /// Returns the end of the next attempt, unless its lease is renewed.
    #[must_use]
    pub fn next_end_time(&self) -> Option<Instant> {
        self.next_end().map(|(_, at)| at)
    }

    /// Returns all starts and ends of attempts in order.
    #[must_use]
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    fn next_end(&self) -> Option<(AttemptKey, Instant)> {
        let ends = self.running.iter();
        ends.map(|(key, attempt)| (key.clone(), attempt.ends_at.min(attempt.lease_ends_at)))
            .min_by_key(|(_, at)| *at)
    }

    fn finish(&mut self, key: AttemptKey, result: &str, at: Instant) {
        self.running.remove(&key);
        self.record_event(&key, result, at);
        self.completions.push(CompletionEvent {
            sequence: self.completions.len() as u64 + 1,
            task: key.0.clone(),
            attempt: key.1,
            result: result.to_owned(),
        });
        self.finished.insert(key, at);
    }

    fn record_event(&mut self, key: &AttemptKey, event: &str, at: Instant) {
        let since_start = at.saturating_duration_since(self.started_at);
        self.log.push(LogEntry {
            at_ms: u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX),
            event: event.to_owned(),
            task: key.0.clone(),
            attempt: key.1,
            occupied: self.occupied(),
        });
    }

    fn occupied(&self) -> ResourceAmounts {
        let attempts = self.running.values();
        attempts.fold(ResourceAmounts::default(), |sum, attempt| {
            sum.plus(attempt.resources)
        })
    }

    /// Rejects an outdated epoch and records a newer one.
    fn check_epoch(&mut self, shard: &str, epoch: u64) -> Result<(), RejectReason> {
        let highest_epoch = self.epochs.entry(shard.to_owned()).or_insert(0);
        if epoch < *highest_epoch && !self.faults.no_fencing {
            return Err(RejectReason::Fenced);
        }
        *highest_epoch = epoch.max(*highest_epoch);
        Ok(())
    }
}
