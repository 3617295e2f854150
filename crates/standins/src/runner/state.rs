//! Admission of calls, and the state of a runner.

use std::collections::BTreeMap;

use super::messages::{KeyReply, RunnerBehaviour, RunnerStart};

/// The reason why a runner rejected a call without running it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionError {
    /// The call's epoch is lower than the highest one seen for the shard.
    Fenced,
    /// All slots are busy.
    Full,
}

impl AdmissionError {
    /// Returns the value of the `Auburnsaddle-Not-Run` header.
    #[must_use]
    pub const fn reason(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Full => "full",
        }
    }
}

/// Slots, epochs, idempotency keys and the log of admitted calls of one runner.
#[derive(Debug)]
pub struct RunnerState {
    /// How the runner processes calls.
    pub behaviour: RunnerBehaviour,
    /// Remaining time of the latest admitted call in milliseconds, from its
    /// `Auburnsaddle-Deadline-Ms` header.
    pub deadline_ms: Option<u64>,
    slots: u32,
    busy: u32,
    busy_peak: u32,
    epochs: BTreeMap<String, u64>,
    keys: BTreeMap<String, Option<String>>,
    starts: Vec<RunnerStart>,
    fenced: u64,
}

impl RunnerState {
    /// Returns an idle runner with the given number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            behaviour: RunnerBehaviour::default(),
            deadline_ms: None,
            slots,
            busy: 0,
            busy_peak: 0,
            epochs: BTreeMap::new(),
            keys: BTreeMap::new(),
            starts: Vec::new(),
            fenced: 0,
        }
    }

    /// Admits a call and occupies a slot for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the epoch is outdated or all slots are busy.
    pub fn admit(&mut self, shard: &str, epoch: u64, request: &str) -> Result<(), AdmissionError> {
        let highest_epoch = self.epochs.entry(shard.to_owned()).or_insert(0);
        match () {
            () if epoch < *highest_epoch && !self.behaviour.ignore_epochs => {
                self.fenced += 1;
                Err(AdmissionError::Fenced)
            }
            () if self.busy >= self.slots => Err(AdmissionError::Full),
            () => {
                *highest_epoch = epoch.max(*highest_epoch);
                self.busy += 1;
                self.busy_peak = self.busy_peak.max(self.busy);
                self.starts.push(RunnerStart {
                    request: request.to_owned(),
                    shard: shard.to_owned(),
                    epoch,
                });
                Ok(())
            }
        }
    }

    /// Releases the slot of a call that has ended.
    pub fn release_slot(&mut self) {
        self.busy -= 1;
    }

    /// Returns the number of running calls, and the highest number of calls
    /// running at the same time.
    #[must_use]
    pub const fn busy_counts(&self) -> (u32, u32) {
        (self.busy, self.busy_peak)
    }

    /// Records the response body of a call by its idempotency key, or `None`
    /// while the call runs. Ignores calls without a key.
    pub fn record_key(&mut self, key: String, body: Option<String>) {
        if !key.is_empty() {
            self.keys.insert(key, body);
        }
    }

    /// Returns the state and response body of a call by its idempotency key.
    #[must_use]
    pub fn query_key(&self, key: &str) -> KeyReply {
        let (state, body) = match self.keys.get(key) {
            None => ("unknown", ""),
            Some(None) => ("running", ""),
            Some(Some(body)) => ("completed", body.as_str()),
        };
        KeyReply {
            state: state.to_owned(),
            body: body.to_owned(),
        }
    }

    /// Returns all admitted calls in order of admission.
    #[must_use]
    pub fn starts(&self) -> &[RunnerStart] {
        &self.starts
    }

    /// Returns the number of calls rejected because of an outdated epoch.
    #[must_use]
    pub const fn fenced_count(&self) -> u64 {
        self.fenced
    }
}
