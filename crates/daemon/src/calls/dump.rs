//! Dumps of the owned call queues, for operators.

use std::collections::BTreeMap;

use auburnsaddle_core::{Epoch, QueueView};
use serde::Serialize;

use super::state::CallShards;

/// The state of an owned call queue in the dump.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct CallShardDump {
    shard: String,
    epoch: Epoch,
    /// Whether slots may be granted.
    may_dispatch: bool,
    queue: QueueView,
}

impl CallShards {
    /// Returns views of the owned queues by shard, for the metrics.
    pub(crate) fn views(&self) -> BTreeMap<String, QueueView> {
        let queues = self.queues.iter();
        queues
            .map(|(shard, owned)| (shard.to_string(), owned.queue.view()))
            .collect()
    }

    /// Returns the dump of all owned queues.
    pub(crate) fn dump(&self) -> Vec<CallShardDump> {
        let queues = self.queues.iter().map(|(shard, owned)| CallShardDump {
            shard: shard.to_string(),
            epoch: owned.epoch,
            may_dispatch: owned.may_dispatch,
            queue: owned.queue.view(),
        });
        queues.collect()
    }
}
