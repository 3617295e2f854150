//! Virtual time, load generators and the table of the call benches.

#![allow(dead_code, reason = "each bench uses a part of this module")]

pub mod table;
pub mod times;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{Rng, RngExt};

/// Events in order of time; those of one time in order of scheduling.
#[derive(Debug)]
pub struct EventClock<E> {
    now: Duration,
    next: u64,
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, E>,
}

impl<E> EventClock<E> {
    /// Returns a clock at zero.
    pub const fn new() -> Self {
        Self {
            now: Duration::ZERO,
            next: 0,
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
        }
    }

    /// Returns the virtual time.
    pub const fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event after a delay.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.order.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Moves to the next event.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse((now, id)) = self.order.pop()?;
        self.now = now;
        self.events.remove(&id)
    }
}

/// Draws a lognormal time with the given mean.
pub fn lognormal<R: Rng>(random: &mut R, mean: Duration, sigma: f64) -> Duration {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
    mean.mul_f64((sigma * normal - sigma * sigma / 2.0).exp())
}

/// Draws the time until the next arrival of a Poisson process.
pub fn exponential<R: Rng>(random: &mut R, per_second: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / per_second)
}
