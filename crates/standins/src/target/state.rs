//! Admission of calls at a runner.

use std::collections::BTreeMap;

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
    slots: u32,
    busy: u32,
    epochs: BTreeMap<String, u64>,
    starts: Vec<String>,
}

impl RunnerState {
    /// Returns a runner with free slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            busy: 0,
            epochs: BTreeMap::new(),
            starts: Vec::new(),
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
            () if epoch < *highest => Err(AdmissionError::Fenced),
            () if self.busy >= self.slots => Err(AdmissionError::Full),
            () => {
                *highest = epoch;
                self.busy += 1;
                self.starts.push(request.to_owned());
                Ok(())
            }
        }
    }

    /// Frees the slot of a call that has ended.
    pub fn finish(&mut self) {
        self.busy -= 1;
    }

    /// Returns the request ids of all calls that were started, in order.
    #[must_use]
    pub fn starts(&self) -> &[String] {
        &self.starts
    }
}
