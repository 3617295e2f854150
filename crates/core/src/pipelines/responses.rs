//! How long the answers of workers take, and how many are lost.
//!
//! Load pattern: for some seconds, one in twenty orders to the workers gets no answer. A job of
//! fifteen tasks sends thirty, and a short job is late if one of them is repeated only after the full
//! time limit, or if the end of a run stays unknown until a renewal is given up. While answers are
//! lost, the limits therefore follow the measured response times, and renewals ask for a report
//! more often. Without losses the limits are long, so that a slow worker is not suspected.

use std::time::Duration;

use super::{messages::StartResult, state::PipelineState, worker::WorkerContact};
use crate::types::WorkerId;

/// Time limit of an order while few answers are lost. A round trip between zones takes about 10 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time limit of a renewal, beside the time for which the worker may delay its answer, while few
/// answers are lost.
const RENEWAL_MARGIN: Duration = Duration::from_millis(900);

/// Time that is added to the measured response times. The host of the owner may be busy for as long.
const TIMEOUT_FLOOR: Duration = Duration::from_millis(100);

/// Time for which a worker may delay its answer to a renewal while answers are lost. The end of a run
/// stays unknown for this long if the answer is lost.
const LOSSY_RENEWAL_WAIT: Duration = Duration::from_millis(250);

/// Delay before a failed renewal is repeated while answers are lost.
const LOSSY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Lost part of the latest answers from which the limits are short, in parts per million.
const LOSSY_PPM: u32 = 10_000;

/// Lost part of the latest answers from which the limits are long again, in parts per million. So
/// many are lost if the way to all workers is slow, or if many workers have ended.
const OUTAGE_PPM: u32 = 250_000;

/// Divisor of the weight of an order in the lost part.
const LOSS_WEIGHT_DIVISOR: u32 = 128;

/// Divisors of the weight of a sample in the mean and in the deviation.
const MEAN_WEIGHT_DIVISOR: u32 = 8;
const DEVIATION_WEIGHT_DIVISOR: u32 = 4;

/// The response times of the workers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseTimes {
    mean: Duration,
    deviation: Duration,
    /// Lost part of the latest answers, in parts per million.
    lost_ppm: u32,
}

impl ResponseTimes {
    /// Records an answer that was not delayed by the worker.
    pub(super) fn record_time(&mut self, elapsed: Duration) {
        let difference = self.mean.abs_diff(elapsed);
        self.deviation = (self.deviation * (DEVIATION_WEIGHT_DIVISOR - 1) + difference)
            / DEVIATION_WEIGHT_DIVISOR;
        self.mean = (self.mean * (MEAN_WEIGHT_DIVISOR - 1) + elapsed) / MEAN_WEIGHT_DIVISOR;
    }

    /// Records whether an order to a worker that answered before was answered.
    pub(super) fn record_outcome(&mut self, is_answered: bool) {
        let sample = if is_answered { 0 } else { 1_000_000 };
        self.lost_ppm = (self.lost_ppm * (LOSS_WEIGHT_DIVISOR - 1) + sample) / LOSS_WEIGHT_DIVISOR;
    }

    /// Returns whether answers are lost one by one.
    const fn is_lossy(&self) -> bool {
        self.lost_ppm >= LOSSY_PPM && self.lost_ppm < OUTAGE_PPM
    }

    /// Returns the time limit of an order that was sent this many times before.
    pub(super) fn order_timeout(&self, unanswered_sends: u32) -> Duration {
        if !self.is_lossy() {
            return ORDER_TIMEOUT;
        }
        let timeout = self.mean + self.deviation * 4 + TIMEOUT_FLOOR;
        // Doubled each time, in case the answers are late and not lost.
        let doubled = timeout * (1 << unanswered_sends.min(8));
        doubled.min(ORDER_TIMEOUT)
    }

    /// Returns the time limit of a renewal beside the time for which the worker may delay it.
    pub(super) fn renewal_margin(&self) -> Duration {
        if self.is_lossy() {
            self.order_timeout(1)
        } else {
            RENEWAL_MARGIN
        }
    }

    /// Returns the time for which a worker may delay its answer to a renewal.
    pub(super) fn renewal_wait(&self, configured: Duration) -> Duration {
        if self.is_lossy() {
            configured.min(LOSSY_RENEWAL_WAIT)
        } else {
            configured
        }
    }

    /// Returns the delay before a failed renewal is repeated.
    pub(super) fn retry_delay(&self, configured: Duration) -> Duration {
        if self.is_lossy() {
            configured.min(LOSSY_RETRY_DELAY)
        } else {
            configured
        }
    }
}

impl PipelineState {
    /// Records the outcome of a start order. Orders to workers that do not answer tell nothing about
    /// the way to the others.
    pub(super) fn record_start_response(
        &mut self,
        worker: &WorkerId,
        result: StartResult,
        sent_at: Duration,
        now: Duration,
    ) {
        let record = self.workers.get(worker);
        let is_claimed = record.is_some_and(|record| record.contact == WorkerContact::Claimed);
        match result {
            _ if !is_claimed => {}
            StartResult::NotSent => {}
            StartResult::Unanswered => self.responses.record_outcome(false),
            _ => {
                self.responses.record_outcome(true);
                self.responses.record_time(now.saturating_sub(sent_at));
            }
        }
    }
}
