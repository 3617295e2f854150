//! Tests of [`WallClock`].

use std::time::Duration;

use super::WallClock;

/// Time of day at the start of the monotonic clock, in ms since 1970.
const START_MS: u64 = 1_700_000_000_000;

/// Returns a clock that was read each second for a minute, and the next time to read it.
fn settled_clock() -> (WallClock, u64) {
    let mut clock = WallClock::default();
    for second in 0..60 {
        clock.read(START_MS + second * 1_000, Duration::from_secs(second));
    }
    (clock, 60)
}

/// Returns the errors, in s, of this many readings of a clock that is off by `step_s` seconds.
fn errors(clock: &mut WallClock, from: u64, count: u64, step_s: i64) -> Vec<i64> {
    let seconds = from..from + count;
    let errors = seconds.map(|second| {
        let true_ms = START_MS + second * 1_000;
        let reading = true_ms.saturating_add_signed(step_s * 1_000);
        let time_ms = clock.read(reading, Duration::from_secs(second));
        time_ms.cast_signed() - true_ms.cast_signed()
    });
    errors.map(|error_ms| error_ms / 1_000).collect()
}

/// Guards against scheduled work that starts early, as the clock is ahead for some seconds.
#[test]
fn a_step_ahead_that_does_not_last_has_no_effect() {
    let (mut clock, from) = settled_clock();

    let ahead = errors(&mut clock, from, 6, 12);
    let back = errors(&mut clock, from + 6, 6, 0);
    let ahead_again = errors(&mut clock, from + 12, 29, 12);

    let all = [ahead, back, ahead_again].concat();
    assert!(all.iter().all(|error| *error == 0), "{all:?}");
}

/// Guards against scheduled work that is late for good on a host whose clock was set right.
#[test]
fn a_step_ahead_that_lasts_counts_after_the_settle_time() {
    let (mut clock, from) = settled_clock();

    let all = errors(&mut clock, from, 60, 12);

    assert_eq!((all[0], all[29], all[30], all[59]), (0, 0, 12, 12));
}

/// Guards against scheduled work that starts early on a daemon that was started while the clock was
/// ahead.
#[test]
fn a_step_back_counts_at_once() {
    let (mut clock, from) = settled_clock();
    let mut late = WallClock::default();

    let back = errors(&mut clock, from, 6, -12);
    let returned = errors(&mut clock, from + 6, 6, 0);
    let ahead_at_start = errors(&mut late, from, 6, 12);
    let after_start = errors(&mut late, from + 6, 6, 0);

    assert_eq!([back, returned], [vec![-12; 6], vec![0; 6]]);
    assert_eq!([ahead_at_start, after_start], [vec![12; 6], vec![0; 6]]);
}

/// Guards against an adjusted clock that never settles.
#[test]
fn a_clock_that_is_adjusted_bit_by_bit_is_followed() {
    let mut clock = WallClock::default();

    let times = (0..100).map(|second| {
        let reading = START_MS + second * 1_400;
        clock.read(reading, Duration::from_secs(second)) == reading
    });

    assert!(
        times
            .collect::<Vec<bool>>()
            .into_iter()
            .all(|is_followed| is_followed)
    );
}
