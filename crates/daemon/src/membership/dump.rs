//! The known peers as shown to operators.

use std::{collections::BTreeSet, time::Duration};

use auburnsaddle_core::{ConfigVersion, DaemonId, MemberRecord, PeerTable};
use serde::Serialize;

/// A peer and what is thought of it.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct MemberDump {
    record: MemberRecord,
    /// Whether its registration was in the store at the last reading.
    registered: bool,
    is_suspected: bool,
    /// Time since its last heartbeat.
    silent_ms: u128,
    config_version: ConfigVersion,
    draining: bool,
    /// The daemons that it does not hear.
    suspects: BTreeSet<DaemonId>,
}

/// Describes all known peers.
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
