//! The owned call queues as shown to operators.

use auburnsaddle_core::{Epoch, QueueView};
use serde::Serialize;

use super::state::CallShards;

/// An owned call queue.
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
    /// Describes all owned queues.
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
