//! The ends that an instance has reported, and their acknowledgement.

use std::time::Duration;

/// Time for which acknowledgements wait for start orders without a pause between them.
const MAX_WITHHOLD_TIME: Duration = Duration::from_millis(500);

/// Ends that are acknowledged once all changes up to a serial number are durable.
#[derive(Clone, Copy, Debug)]
struct PendingAck {
    /// Serial number of the change that must be durable.
    serial: u64,
    /// Number of the last end to acknowledge.
    end: u64,
}

/// Counts the ends of one instance, which numbers them from one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndCounter {
    processed: u64,
    acked: u64,
    pending: Option<PendingAck>,
    /// Number of the last end that a renewal has acknowledged.
    sent: u64,
    /// Number of the last end whose acknowledgement was answered.
    answered: u64,
    /// Since when renewals do not acknowledge ends that are durable.
    withheld_since: Option<Duration>,
}

impl EndCounter {
    /// Returns the number of the last reported end that was handled.
    pub(crate) const fn processed(&self) -> u64 {
        self.processed
    }

    /// Returns the number of the last end that a renewal is to acknowledge, which is 0 unless there
    /// are durable ends whose acknowledgement has no answer.
    pub(crate) fn next_ack(&mut self, is_withheld: bool, now: Duration) -> u64 {
        let is_due = self.acked > self.answered;
        if is_withheld {
            self.withheld_since = is_due.then(|| self.withheld_since.unwrap_or(now));
            return 0;
        }
        self.withheld_since = None;
        if !is_due {
            return 0;
        }
        self.sent = self.acked;
        self.sent
    }

    /// Records that the latest acknowledgement was answered.
    pub(crate) const fn record_ack_answer(&mut self) {
        self.answered = self.sent;
    }

    /// Records that a report lists this end as its first. It is to be acknowledged again if that was
    /// answered already.
    pub(crate) fn record_listed(&mut self, first_end: u64) {
        self.answered = self.answered.min(first_end.saturating_sub(1));
    }

    /// Returns whether the latest renewal did not acknowledge ends that are durable.
    pub(crate) const fn is_withheld(&self) -> bool {
        self.withheld_since.is_some()
    }

    /// Returns whether acknowledgements have been withheld for so long that the worker is to get no
    /// more start orders until they are sent.
    pub(crate) fn is_ack_overdue(&self, now: Duration) -> bool {
        let since = self.withheld_since;
        since.is_some_and(|since| now >= since + MAX_WITHHOLD_TIME)
    }

    /// Returns whether reported ends are not durable yet.
    pub(crate) const fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Records that the ends up to this number were handled, which is durable with the change
    /// of this serial number.
    pub(crate) const fn record_processed(&mut self, end: u64, serial: u64) {
        self.processed = end;
        self.pending = Some(PendingAck { serial, end });
    }

    /// Permits the acknowledgement of the ends that are durable with the change of this serial
    /// number. Returns whether there were any.
    pub(crate) fn record_durable(&mut self, serial: u64) -> bool {
        match self.pending {
            Some(ack) if ack.serial <= serial => {
                self.acked = ack.end;
                self.pending = None;
                true
            }
            _ => false,
        }
    }
}
