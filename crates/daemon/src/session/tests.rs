use std::time::Duration;

use super::RetryDelay;

/// Guards against retries every few milliseconds while a dependency is away.
#[test]
fn delays_grow_to_a_limit_and_start_again() {
    let mut delay = RetryDelay::default();

    let delays: Vec<(Duration, bool)> = (0..6).map(|_| delay.next(1.0)).collect();

    assert_eq!(delays[0], (Duration::from_millis(60), true));
    assert_eq!(delays[1], (Duration::from_millis(120), false));
    assert_eq!(delays[5], (Duration::from_millis(800), false));
    assert!(delay.reset());
    assert!(!delay.reset());
}

/// Guards against daemons that retry in step.
#[test]
fn jitter_takes_at_most_half_of_a_delay() {
    let mut delay = RetryDelay::default();

    let (shortest, _) = delay.next(0.0);

    assert_eq!(shortest, Duration::from_millis(30));
}
