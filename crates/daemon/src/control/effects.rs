//! Effects that the control thread hands to the traffic threads.

use std::net::SocketAddr;

use auburnsaddle_core::{ConfigVersion, Heartbeat, OwnerRecord, ShardName};
use tokio::runtime::Handle;

use super::messages::{ControlEvent, ControlHandle};
use crate::{
    calls::LoanLetter,
    ownership::{OWNER_PREFIX, claim_transaction, read_owner, read_owners},
    peers::{PeerClient, PeerReply, PeerRequest},
    publication::fetch_versions,
    store::{StoreClient, TxnOutcome},
};

/// Something to be done outside the control thread.
#[derive(Clone, Debug)]
pub(super) enum ControlEffect {
    /// Sends a heartbeat to peers.
    SendHeartbeat {
        /// The peers.
        addresses: Vec<SocketAddr>,
        /// The message.
        heartbeat: Heartbeat,
    },
    /// Replaces an owner by compare-and-swap.
    ClaimShard {
        /// The shard.
        shard: ShardName,
        /// The record that must be in the store.
        expected: Option<OwnerRecord>,
        /// The record to write.
        next: OwnerRecord,
    },
    /// Reads configuration versions from the store.
    FetchConfig {
        /// The version in force.
        from: ConfigVersion,
        /// The newest version.
        head: ConfigVersion,
    },
    /// Asks a peer for configuration versions.
    PullConfig {
        /// The version in force.
        from: ConfigVersion,
        /// The peer.
        address: SocketAddr,
    },
    /// Sends a message about loans to the owner of a call shard.
    SendLoan(SocketAddr, LoanLetter),
    /// Reads one owner record.
    ReadOwner(ShardName),
}

/// Carries out effects on the traffic threads.
#[derive(Clone, Debug)]
pub(super) struct EffectRunner<S> {
    pub(super) traffic: Handle,
    pub(super) control: ControlHandle,
    pub(super) peers: PeerClient,
    pub(super) store: S,
}

impl<S: StoreClient> EffectRunner<S> {
    /// Starts an effect; its result comes back as an event.
    pub(super) fn start(&self, effect: ControlEffect) {
        match effect {
            ControlEffect::SendHeartbeat {
                addresses,
                heartbeat,
            } => {
                for address in addresses {
                    self.send_heartbeat(address, heartbeat.clone());
                }
            }
            ControlEffect::ClaimShard {
                shard,
                expected,
                next,
            } => {
                self.claim_shard(shard, expected, next);
            }
            ControlEffect::FetchConfig { from, head } => self.fetch_config(from, head),
            ControlEffect::PullConfig { from, address } => self.pull_config(from, address),
            ControlEffect::SendLoan(address, letter) => self.send_loan(address, letter),
            ControlEffect::ReadOwner(shard) => self.read_owner(shard),
        }
    }

    fn send_heartbeat(&self, address: SocketAddr, heartbeat: Heartbeat) {
        let peers = self.peers.clone();
        self.traffic.spawn(async move {
            if let Err(error) = peers
                .send(address, &PeerRequest::Heartbeat(heartbeat))
                .await
            {
                log::debug!("heartbeat was not sent: {error}");
            }
        });
    }

    fn send_loan(&self, address: SocketAddr, letter: LoanLetter) {
        let peers = self.peers.clone();
        self.traffic.spawn(async move {
            // A lost message is repeated, or its loan ends with its term.
            if let Err(error) = peers.send(address, &PeerRequest::Loan(letter)).await {
                log::debug!("loan message was not sent: {error}");
            }
        });
    }

    fn fetch_config(&self, from: ConfigVersion, head: ConfigVersion) {
        let control = self.control.clone();
        let store = self.store.clone();
        self.traffic.spawn(async move {
            match fetch_versions(&store, from, head).await {
                Ok(pull) => control.send(ControlEvent::ConfigFetched(pull)).await,
                Err(error) => log::warn!("reading configuration version {head}: {error}"),
            }
        });
    }

    fn pull_config(&self, from: ConfigVersion, address: SocketAddr) {
        let control = self.control.clone();
        let peers = self.peers.clone();
        self.traffic.spawn(async move {
            match peers.send(address, &PeerRequest::PullConfig(from)).await {
                Ok(PeerReply::Config(pull)) => {
                    control.send(ControlEvent::ConfigFetched(pull)).await;
                }
                Ok(_) => log::warn!("peer {address} sent no configuration"),
                Err(error) => log::warn!("pulling the configuration: {error}"),
            }
        });
    }

    fn read_owner(&self, shard: ShardName) {
        let control = self.control.clone();
        let store = self.store.clone();
        self.traffic.spawn(async move {
            let prefix = format!("{OWNER_PREFIX}{shard}");
            // A failed reading is repeated by the owner table.
            match store.read_prefix(&prefix).await {
                Ok(entries) => {
                    let record = read_owners(&entries).remove(&shard);
                    control.send(ControlEvent::OwnerRead(shard, record)).await;
                }
                Err(error) => log::warn!("reading the owner of shard {shard}: {error}"),
            }
        });
    }

    fn claim_shard(&self, shard: ShardName, expected: Option<OwnerRecord>, next: OwnerRecord) {
        let control = self.control.clone();
        let store = self.store.clone();
        self.traffic.spawn(async move {
            let transaction = claim_transaction(&shard, expected.as_ref(), &next);
            let record = match store.commit(transaction).await {
                Ok(TxnOutcome::Committed) => Some(next),
                Ok(TxnOutcome::Conflict(entries)) => entries
                    .iter()
                    .find_map(read_owner)
                    .map(|(_, record)| record),
                Err(error) => {
                    log::warn!("claiming shard {shard}: {error}");
                    None
                }
            };
            control
                .send(ControlEvent::ClaimAnswered(shard, record))
                .await;
        });
    }
}
