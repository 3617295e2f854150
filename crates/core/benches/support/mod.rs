//! Virtual clock, random distributions and result types of the call benches.

#![allow(dead_code, reason = "each bench uses a part of this module")]

pub mod table;
pub mod times;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{Rng, RngExt};

/// Discrete-event clock that returns events by time and, at equal times, in the
/// order in which they were scheduled.
#[derive(Debug)]
pub struct EventClock<E> {
    now: Duration,
    next_id: u64,
    schedule: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, E>,
}

impl<E> EventClock<E> {
    /// Creates a clock at time zero without events.
    pub const fn new() -> Self {
        Self {
            now: Duration::ZERO,
            next_id: 0,
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
        }
    }

    /// Returns the virtual time since the start of the run.
    pub const fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event `delay` after the current virtual time.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule
            .push(Reverse((self.now + delay, self.next_id)));
        self.events.insert(self.next_id, event);
        self.next_id += 1;
    }

    /// Removes the next event and advances the clock to its time.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse((now, id)) = self.schedule.pop()?;
        self.now = now;
        self.events.remove(&id)
    }
}

/// Samples a duration from a lognormal distribution with the given mean.
pub fn sample_lognormal<R: Rng>(random: &mut R, mean: Duration, sigma: f64) -> Duration {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
    mean.mul_f64((sigma * normal - sigma * sigma / 2.0).exp())
}

/// Samples the time to the next arrival of a Poisson process with the given rate.
pub fn sample_exponential<R: Rng>(random: &mut R, per_second: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / per_second)
}
