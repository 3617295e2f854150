//! Clusters whose daemons know each other before the objects are published.

use super::{
    SETTLEMENT_OBJECTS, TestCluster,
    count::{ByteCount, start_counting_relay},
};

impl TestCluster {
    /// Starts a cluster like [`Self::start`], but publishes the objects only after
    /// all daemons know each other, so that each shard goes to its preferred owner at
    /// once. Later, shards move one at a time, 10 s apart.
    pub async fn start_acquainted(count: usize) -> Self {
        let cluster = Self::start_stand_ins(count).await;
        cluster.start_acquainted_daemons(count).await
    }

    /// Starts a cluster like [`Self::start_acquainted`], and counts the bytes that the
    /// daemons send to the store.
    pub async fn start_counted(count: usize) -> (Self, ByteCount) {
        let mut cluster = Self::start_stand_ins(count).await;
        let bytes = cluster.start_store_relay().await;
        (cluster.start_acquainted_daemons(count).await, bytes)
    }

    /// Starts the daemons, and publishes the objects once they know each other.
    async fn start_acquainted_daemons(mut self, count: usize) -> Self {
        let daemons = (0..count).map(|index| self.start_daemon(index, &[]));
        self.daemons = daemons.collect();
        for daemon in 0..count {
            self.wait_for_peers(daemon, count).await;
        }
        self.apply_objects(SETTLEMENT_OBJECTS).await;
        self.wait_until_serving().await;
        self
    }

    /// Starts a relay in front of the store that counts what it receives from the
    /// daemons. Only daemons started later connect to the relay.
    pub(super) async fn start_store_relay(&mut self) -> ByteCount {
        let (address, bytes) = start_counting_relay(self.platform_address).await;
        self.store_address = address;
        bytes
    }
}
