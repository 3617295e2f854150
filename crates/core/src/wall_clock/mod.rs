/*!
The time of day that decides when scheduled work is due.

The time of day of a host may be set ahead by seconds, and back again soon after. Work
that starts before its due time cannot be undone, so [`WallClock`] counts a reading that
is ahead only once it has lasted.
*/

mod state;
#[cfg(test)]
mod tests;

pub use state::WallClock;
