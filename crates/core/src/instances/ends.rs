//! The ends that an instance has reported, and their acknowledgement.

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
    /// Whether the latest renewal did not acknowledge the ends that are durable.
    is_withheld: bool,
}

impl EndCounter {
    /// Returns the number of the last reported end that was handled.
    pub(crate) const fn processed(&self) -> u64 {
        self.processed
    }

    /// Returns the number of the last end that is durable, which a renewal acknowledges unless it is
    /// to be withheld.
    pub(crate) const fn next_ack(&mut self, is_withheld: bool) -> u64 {
        self.is_withheld = is_withheld && self.acked > 0;
        if is_withheld { 0 } else { self.acked }
    }

    /// Returns whether the latest renewal did not acknowledge the ends that are durable.
    pub(crate) const fn is_withheld(&self) -> bool {
        self.is_withheld
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
