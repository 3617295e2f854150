/*!
The platform's key-value store and list of hosts.

The store speaks the JSON form of a widely used key-value store's HTTP
interface: keys and values are base64 texts and 64-bit numbers are strings.
Tests read the call counters with `GET /control/calls`, set
[`StoreFaults`] with `PUT /control/faults` and forget the history with `POST
/control/compact`.
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

/// Everything that the platform keeps.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// The key-value store.
    pub store: StoreState,
    /// The list of hosts that readers see.
    pub hosts: Vec<serde_json::Value>,
    /// What the store does wrong.
    pub faults: StoreFaults,
    /// The calls so far.
    pub calls: CallCounts,
    next_hosts: Option<(Instant, Vec<serde_json::Value>)>,
}

/// The state that all connections share, with a signal for each change.
#[derive(Clone, Debug, Default)]
pub struct SharedPlatform {
    state: Arc<Mutex<PlatformState>>,
    changed: tokio::sync::watch::Sender<()>,
}
