//! Admission of calls at a runner.

use std::collections::BTreeMap;

use super::messages::{KeyReply, RunnerBehaviour, RunnerStart};

/// Why a runner rejects a call before running it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionError {
    /// A newer owner of the shard is known.
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

/// Slots, epochs and the log of starts of one runner.
#[derive(Debug)]
pub struct RunnerState {
    /// How the runner answers.
    pub behaviour: RunnerBehaviour,
    /// Time left for the latest call in milliseconds, as its header says.
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
    /// Returns a runner with free slots.
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

    /// Occupies a slot for a call.
    ///
    /// # Errors
    ///
    /// Returns why the call is rejected; nothing ran in that case.
    pub fn admit(&mut self, shard: &str, epoch: u64, request: &str) -> Result<(), AdmissionError> {
        let highest = self.epochs.entry(shard.to_owned()).or_insert(0);
        match () {
            () if epoch < *highest && !self.behaviour.ignore_epochs => {
                self.fenced += 1;
                Err(AdmissionError::Fenced)
            }
            () if self.busy >= self.slots => Err(AdmissionError::Full),
            () => {
                *highest = epoch.max(*highest);
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

    /// Frees the slot of a call that has ended.
    pub fn finish(&mut self) {
        self.busy -= 1;
    }

    /// Returns the calls that run at present and the most that ran at once.
    #[must_use]
    pub const fn busy_counts(&self) -> (u32, u32) {
        (self.busy, self.busy_peak)
    }

    /// Notes the outcome of a call with an idempotency key; `None` while it runs.
    pub fn note_key(&mut self, key: String, body: Option<String>) {
        if !key.is_empty() {
            self.keys.insert(key, body);
        }
    }

    /// Answers a query by idempotency key.
    #[must_use]
    pub fn query(&self, key: &str) -> KeyReply {
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

    /// Returns all calls that were started, in order.
    #[must_use]
    pub fn starts(&self) -> &[RunnerStart] {
        &self.starts
    }

    /// Returns the number of calls rejected for an outdated epoch.
    #[must_use]
    pub const fn fenced_count(&self) -> u64 {
        self.fenced
    }
}
