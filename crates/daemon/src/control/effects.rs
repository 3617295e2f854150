//! Effects that the control thread hands to the traffic threads.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use auburnsaddle_core::{ConfigVersion, DaemonId, Epoch, Heartbeat, OwnerRecord, ShardName};
use tokio::runtime::Handle;

use super::leases::LeaseAnswer;
use super::messages::{ControlEvent, ControlHandle};
use crate::{
    calls::LoanEnvelope,
    journal::{JournalEffect, run_effect},
    keys::{KeyEffect, KeyRunner},
    ownership::{OWNER_PREFIX, claim_transaction, hold_lease, read_owner, read_owners},
    peers::{PeerClient, PeerError, PeerReply, PeerRequest},
    publication::fetch_versions,
    store::{LeaseId, StoreFeed, TxnOutcome},
    tasks::{self, TaskEffect},
    telemetry::ProcessMetrics,
    workers::HttpWorkers,
};

/// Something to be done outside the control thread.
#[derive(Clone, Debug)]
pub(super) enum ControlEffect {
    /// Sends a heartbeat to peers.
    SendHeartbeat {
        /// The peers.
        receivers: Vec<HeartbeatReceiver>,
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
    SendLoan(SocketAddr, LoanEnvelope),
    /// Reads one owner record.
    ReadOwner(ShardName),
    /// Dispatches a call with a key, or asks runners about it.
    Key(KeyEffect),
    /// Renews or takes the lease of a shard.
    RequestLease {
        /// The shard.
        shard: ShardName,
        /// The epoch that the owner record must have.
        epoch: Epoch,
        /// When the request was made.
        sent_at: Duration,
        /// The lease held so far.
        known: Option<LeaseId>,
    },
    /// Ends a lease.
    ReleaseLease(LeaseId),
    /// Asks a worker.
    Task(TaskEffect),
    /// Reads or writes the journal.
    Journal(JournalEffect),
    /// Reads all owner records.
    ReadOwners,
}

/// A peer that a heartbeat goes to.
#[derive(Clone, Debug)]
pub(super) struct HeartbeatReceiver {
    pub(super) daemon: DaemonId,
    pub(super) address: SocketAddr,
    /// Whether the connection is to be replaced.
    pub(super) renew: bool,
}

/// Carries out effects on the traffic threads.
#[derive(Clone, Debug)]
pub(super) struct EffectRunner<S> {
    pub(super) daemon: DaemonId,
    pub(super) keys: KeyRunner,
    pub(super) traffic: Handle,
    pub(super) control: ControlHandle,
    pub(super) peers: PeerClient,
    pub(super) store: S,
    pub(super) workers: HttpWorkers,
    pub(super) metrics: ProcessMetrics,
}

impl<S: StoreFeed> EffectRunner<S> {
    /// Starts an effect; its result comes back as an event.
    pub(super) fn start(&self, effect: ControlEffect) {
        match effect {
            ControlEffect::SendHeartbeat {
                receivers,
                heartbeat,
            } => {
                for receiver in receivers {
                    self.send_heartbeat(receiver, heartbeat.clone());
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
            ControlEffect::SendLoan(address, envelope) => self.send_loan(address, envelope),
            ControlEffect::ReadOwner(shard) => self.read_owner(shard),
            ControlEffect::RequestLease {
                shard,
                epoch,
                sent_at,
                known,
            } => self.request_lease(shard, epoch, sent_at, known),
            ControlEffect::ReleaseLease(lease) => self.release_lease(lease),
            ControlEffect::Key(effect) => {
                let keys = self.keys.clone();
                self.traffic.spawn(async move { keys.run(effect).await });
            }
            ControlEffect::Journal(effect) => self.run_journal(effect),
            ControlEffect::ReadOwners => self.read_owners(),
            ControlEffect::Task(effect) => self.ask_worker(effect),
        }
    }

    fn send_heartbeat(&self, receiver: HeartbeatReceiver, heartbeat: Heartbeat) {
        let peers = self.peers.clone();
        let control = self.control.clone();
        let HeartbeatReceiver {
            daemon,
            address,
            renew,
        } = receiver;
        self.traffic.spawn(async move {
            match peers.send_heartbeat(address, heartbeat, renew).await {
                Ok(()) => {}
                Err(PeerError::Refused { .. }) => {
                    control.send(ControlEvent::PeerRefused(daemon)).await;
                }
                Err(error) => log::debug!("heartbeat was not sent: {error}"),
            }
        });
    }

    fn read_owners(&self) {
        let control = self.control.clone();
        let store = self.store.clone();
        self.traffic.spawn(async move {
            // The periodic reading makes up for one that fails.
            match store.read_prefix(OWNER_PREFIX).await {
                Ok(entries) => {
                    control
                        .send(ControlEvent::OwnersRead(read_owners(&entries)))
                        .await;
                }
                Err(error) => log::warn!("reading the owners: {error}"),
            }
        });
    }

    fn send_loan(&self, address: SocketAddr, envelope: LoanEnvelope) {
        let peers = self.peers.clone();
        self.traffic.spawn(async move {
            // A lost message is repeated, or its loan ends with its term.
            if let Err(error) = peers.send(address, &PeerRequest::Loan(envelope)).await {
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

    fn request_lease(
        &self,
        shard: ShardName,
        epoch: Epoch,
        sent_at: Duration,
        known: Option<LeaseId>,
    ) {
        let control = self.control.clone();
        let store = self.store.clone();
        let daemon = self.daemon.clone();
        self.traffic.spawn(async move {
            let held = hold_lease(&store, &daemon, &shard, epoch, known).await;
            let lease = held.unwrap_or_else(|error| {
                log::warn!("holding the lease of shard {shard}: {error}");
                None
            });
            let answer = LeaseAnswer {
                shard,
                epoch,
                sent_at,
                lease,
            };
            control.send(ControlEvent::LeaseAnswered(answer)).await;
        });
    }

    fn release_lease(&self, lease: LeaseId) {
        let store = self.store.clone();
        self.traffic.spawn(async move {
            if let Err(error) = store.revoke_lease(lease).await {
                log::warn!("ending a shard's lease: {error}; it expires by itself");
            }
        });
    }

    fn run_journal(&self, effect: JournalEffect) {
        let control = self.control.clone();
        let store = self.store.clone();
        let daemon = self.daemon.clone();
        let metrics = self.metrics.clone();
        self.traffic.spawn(async move {
            let started_at = Instant::now();
            if let Some(report) = run_effect(&store, &daemon, effect).await {
                if let Some(result) = report.commit_result() {
                    metrics.note_commit(result, started_at.elapsed());
                }
                control.send(ControlEvent::Journal(report)).await;
            }
        });
    }

    fn ask_worker(&self, effect: TaskEffect) {
        let control = self.control.clone();
        let workers = self.workers.clone();
        if let Some(waited) = effect.waited {
            self.metrics.note_task_start(waited);
        }
        self.traffic.spawn(async move {
            let command = tasks::run_effect(&workers, effect).await;
            control.send(ControlEvent::Tasks(command)).await;
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
