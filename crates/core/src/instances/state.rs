//! State of one instance of a worker.

use std::time::Duration;

use super::{
    clock::{ClockReading, lapse_time, whole_ms},
    ends::EndCounter,
    ratio::RuntimeRatio,
    reliability::RunReliability,
};

/// Number of a worker instance, unique within one ownership. A worker that was restarted or
/// listed again gets a new number, so that what is known about its former instance does
/// not apply to it.
pub(crate) type InstanceNumber = u32;

/// What an owner knows of one instance of a worker, from its first report on.
#[derive(Clone, Debug)]
pub(crate) struct WorkerInstance {
    /// Number to which tickets for the instance are bound.
    pub(crate) number: InstanceNumber,
    /// Start time in ms since 1970, by which reports and entries name the instance.
    pub(crate) started_unix_ms: u64,
    /// When this owner met the instance.
    pub(crate) met_at: Duration,
    /// Latest reading of the clock in a report.
    reading: ClockReading,
    /// Latest end of the lease that may have been granted, by any owner, in ms on the clock.
    granted_until_ms: u64,
    /// Latest end of the lease in the orders of this owner, in ms on the clock. A successor
    /// counts on it that none has a longer term than a renewal.
    ordered_until_ms: u64,
    /// Ends of runs that the instance has reported.
    pub(crate) ends: EndCounter,
    /// Until when other workers are preferred, because starts or runs failed here.
    pub(crate) penalized_until: Duration,
    /// Number of consecutive failed runs.
    pub(crate) consecutive_failures: u32,
    /// Earliest time of the next change of the CPU shares.
    pub(crate) pace_due: Duration,
    /// Ratio of run time to estimate.
    pub(crate) runtime_ratio: RuntimeRatio,
    /// Whether the latest runs have succeeded.
    pub(crate) reliability: RunReliability,
}

impl WorkerInstance {
    /// Returns the state of an instance whose first report has this reading of its clock.
    pub(crate) fn new(number: InstanceNumber, started_unix_ms: u64, reading: ClockReading) -> Self {
        Self {
            number,
            started_unix_ms,
            met_at: reading.read_at,
            reading,
            granted_until_ms: 0,
            ordered_until_ms: 0,
            ends: EndCounter::default(),
            penalized_until: Duration::ZERO,
            consecutive_failures: 0,
            pace_due: Duration::ZERO,
            runtime_ratio: RuntimeRatio::default(),
            reliability: RunReliability::default(),
        }
    }

    /// Returns the latest reading of the clock in a report.
    pub(crate) const fn reading(&self) -> ClockReading {
        self.reading
    }

    /// Records the reading of the clock in another report.
    pub(crate) const fn set_reading(&mut self, reading: ClockReading) {
        self.reading = reading;
    }

    /// Returns an estimate of the clock, which is ahead of it by at most the drift since the
    /// latest reading.
    pub(crate) fn clock_at(&self, now: Duration) -> u64 {
        self.reading.clock_at(now)
    }

    /// Records that a lease of this length may have been granted at the latest reading of the
    /// clock.
    pub(crate) fn assume_lease(&mut self, term: Duration) {
        let until_ms = self.reading.clock_ms.saturating_add(whole_ms(term));
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
    }

    /// Returns whether no lease that other orders may have granted outlasts those of this owner.
    pub(crate) const fn has_only_ordered_lease(&self) -> bool {
        self.granted_until_ms <= self.ordered_until_ms
    }

    /// Extends the lease, and returns its end in ms on the clock.
    pub(crate) fn extend_lease(&mut self, term: Duration, now: Duration) -> u64 {
        let deadline = self.clock_at(now).saturating_add(whole_ms(term));
        self.ordered_until_ms = self.ordered_until_ms.max(deadline);
        self.granted_until_ms = self.granted_until_ms.max(deadline);
        self.ordered_until_ms
    }

    /// Returns the end of the lease in the latest order, in ms on the clock, unless it may have
    /// passed.
    pub(crate) fn unexpired_lease(&self, now: Duration) -> Option<u64> {
        let is_unexpired = self.clock_at(now) < self.ordered_until_ms;
        is_unexpired.then_some(self.ordered_until_ms)
    }

    /// Returns the time on the owner's clock by which the lease has lapsed if it is not renewed.
    pub(crate) fn lapses_at(&self) -> Duration {
        let left_ms = self.granted_until_ms.saturating_sub(self.reading.clock_ms);
        self.reading.read_at + lapse_time(Duration::from_millis(left_ms))
    }
}
