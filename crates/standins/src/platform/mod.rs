/*!
The platform's key-value store and list of hosts.

The store implements the part of etcd's JSON gateway that the daemon uses: keys
and values are base64 strings, and 64-bit integers are decimal strings. Tests
read the call counters with `GET /control/calls`, set [`StoreFaults`] with
`PUT /control/faults` and compact the history with `POST /control/compact`.
*/

mod changes;
mod faults;
mod leases;
mod messages;
mod serve;
mod state;
mod watch_messages;

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

pub use changes::ChangeLog;
pub use faults::{CallCounts, StoreFaults};
pub use leases::{LeaseId, LeaseTable};
pub use messages::{KeyValue, RangeReply, RangeRequest, ReplyHeader, TxnReply, TxnRequest};
pub use serve::handle;
pub use state::StoreState;
pub use watch_messages::{ChangeItem, LeaseMessage, StreamItem, WatchRange, WatchReply};

/// The state of the platform: store, list of hosts, faults and call counters.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// The key-value store.
    pub store: StoreState,
    /// The list of hosts that readers see.
    pub hosts: Vec<serde_json::Value>,
    /// The faults to inject.
    pub faults: StoreFaults,
    /// Call counters since the start.
    pub calls: CallCounts,
    pending_hosts: Option<(Instant, Vec<serde_json::Value>)>,
}

/// The platform state shared by all connections, with a channel that notifies
/// open watches of changes.
#[derive(Clone, Debug, Default)]
pub struct SharedPlatform {
    state: Arc<Mutex<PlatformState>>,
    changed: tokio::sync::watch::Sender<()>,
}
