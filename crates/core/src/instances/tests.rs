//! Tests of [`ClockReading`], [`WorkerInstance`] and [`EndCounter`].

use std::time::Duration;

use super::{ClockReading, WorkerInstance, ends::EndCounter};

/// Returns a reading in the answer to an order, with the times in ms.
const fn reading(clock_ms: u64, sent_ms: u64, read_ms: u64) -> ClockReading {
    ClockReading {
        clock_ms,
        sent_at: Duration::from_millis(sent_ms),
        read_at: Duration::from_millis(read_ms),
    }
}

/// Guards against a restart that is seen where a clock is 2 % slow, or where answers take long.
#[test]
fn readings_of_one_clock_agree() {
    let known = reading(500_000, 10_000, 11_000);
    let others = [
        // Taken at once, and a slow clock after 10 s.
        reading(500_000, 11_000, 11_000),
        reading(509_800, 21_000, 21_010),
        // Taken before the known reading, whose answer took longer.
        reading(499_200, 10_200, 10_300),
        // The known reading was taken when its order was sent.
        reading(502_000, 12_000, 12_000),
    ];

    for other in others {
        assert!(known.agrees_with(other), "{other:?}");
    }
}

/// Guards against a deadline on the clock of one instance that is taken for one on the clock of
/// another.
#[test]
fn readings_of_two_clocks_do_not_agree() {
    let known = reading(500_000, 10_000, 10_010);
    let others = [
        reading(300, 11_000, 11_010),
        reading(900_000, 11_000, 11_010),
        reading(500_500, 12_000, 12_010),
    ];

    for other in others {
        assert!(!known.agrees_with(other), "{other:?}");
    }
}

/// Guards against a lease that counts as lapsed while a slow clock still runs.
#[test]
fn a_lease_lapses_on_a_slow_clock() {
    let mut instance = WorkerInstance::new(1, 1, reading(500_000, 10_000, 10_000));

    let deadline = instance.extend_lease(Duration::from_secs(5), Duration::from_secs(11));

    assert_eq!(deadline, 506_000);
    let slow = Duration::from_secs(10) + Duration::from_secs(6) * 100 / 98;
    assert!(instance.lapses_at() >= slow);
}

/// Guards against an acknowledgement of an end that is not durable.
#[test]
fn an_end_is_acknowledged_once_its_change_is_durable() {
    let mut ends = EndCounter::default();

    ends.record_processed(3, 7);
    let early = (ends.record_durable(6), ends.next_ack(false, Duration::ZERO));
    let late = (ends.record_durable(7), ends.next_ack(false, Duration::ZERO));

    assert_eq!(early, (false, 0));
    assert_eq!(late, (true, 3));
}
