//! Known peers as shown in the operators' dump.

use std::{collections::BTreeSet, time::Duration};

use auburnsaddle_core::{ConfigVersion, DaemonId, MemberRecord, PeerTable};
use serde::Serialize;

/// A peer in the operators' dump, with its state as seen by this daemon.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct MemberDump {
    record: MemberRecord,
    /// Whether the store held its registration when it was last read.
    registered: bool,
    is_suspected: bool,
    /// Milliseconds since its last heartbeat.
    silent_ms: u128,
    config_version: ConfigVersion,
    draining: bool,
    /// The daemons from which it receives no heartbeats, as it reports.
    suspects: BTreeSet<DaemonId>,
}

/// Returns all known peers with their state at `now`.
pub(crate) fn dump_members(peers: &PeerTable, now: Duration) -> Vec<MemberDump> {
    let suspected = peers.suspected(now);
    let members = peers.iter().map(|peer| MemberDump {
        record: peer.record.clone(),
        registered: peer.registered,
        is_suspected: suspected.contains(&peer.record.daemon),
        silent_ms: now.saturating_sub(peer.last_heartbeat_at).as_millis(),
        config_version: peer.config_version,
        draining: peer.draining,
        suspects: peer.suspected.clone(),
    });
    members.collect()
}
