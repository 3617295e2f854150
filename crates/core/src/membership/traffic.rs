//! Arithmetic of the heartbeat traffic.

/// Heartbeats per ten seconds to each daemon of the region.
const REGION_HEARTBEATS: u64 = 20;

/// Heartbeats per ten seconds to one daemon of each other region.
const RELAY_HEARTBEATS: u64 = 2;

/// Returns the bytes per second that one daemon sends in heartbeats of a given
/// size, framing included.
#[must_use]
pub const fn heartbeat_bytes_per_second(
    region_peers: u64,
    other_regions: u64,
    heartbeat_bytes: u64,
) -> u64 {
    let per_ten_seconds = region_peers * REGION_HEARTBEATS + other_regions * RELAY_HEARTBEATS;
    (per_ten_seconds * heartbeat_bytes).div_ceil(10)
}
