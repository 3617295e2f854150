//! Estimate of the heartbeat traffic.

/// Heartbeats that each daemon of the region receives from a daemon in 10 s.
const REGION_HEARTBEATS_PER_10_S: u64 = 20;

/// Heartbeats that one daemon of each other region receives from a daemon in 10 s.
const RELAY_HEARTBEATS_PER_10_S: u64 = 2;

/// Returns the bytes per second that one daemon sends in heartbeats of a given
/// size, framing included.
#[must_use]
pub const fn heartbeat_bytes_per_second(
    region_peers: u64,
    other_regions: u64,
    heartbeat_bytes: u64,
) -> u64 {
    let per_ten_seconds =
        region_peers * REGION_HEARTBEATS_PER_10_S + other_regions * RELAY_HEARTBEATS_PER_10_S;
    (per_ten_seconds * heartbeat_bytes).div_ceil(10)
}
