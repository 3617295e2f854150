//! Effects: I/O that the control thread requests and the traffic threads run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use auburnsaddle_core::{ConfigVersion, DaemonId, Epoch, Heartbeat, OwnerRecord, ShardName};
use tokio::runtime::Handle;

use super::leases::LeaseResponse;
use super::messages::{ControlEvent, ControlHandle};
use crate::{
    calls::LoanEnvelope,
    journal::{JournalEffect, run_effect},
    keys::{KeyEffect, KeyExecutor},
    ownership::{OWNER_PREFIX, claim_transaction, decode_owner, decode_owners, ensure_lease},
    peers::{PeerClient, PeerError, PeerReply, PeerRequest},
    publication::fetch_versions,
    store::{CoordinationClient, LeaseId, TxnOutcome},
    tasks::{self, TaskEffect},
    telemetry::ProcessMetrics,
    workers::HttpWorkers,
};

/// I/O requested by the control thread.
#[derive(Clone, Debug)]
pub(super) enum ControlEffect {
    /// Sends a heartbeat to peers.
    SendHeartbeat {
        receivers: Vec<HeartbeatReceiver>,
        heartbeat: Heartbeat,
    },
    /// Writes the owner record of a shard by compare-and-swap.
    ClaimShard {
        shard: ShardName,
        /// The record that must be in the store; `None` requires that there is none.
        expected: Option<OwnerRecord>,
        /// The record to write.
        next: OwnerRecord,
    },
    /// Reads configuration versions from the store.
    FetchConfig {
        /// The version in force at this daemon.
        from: ConfigVersion,
        /// The newest version in the store.
        head: ConfigVersion,
    },
    /// Requests configuration versions from a peer.
    PullConfig {
        /// The version in force at this daemon.
        from: ConfigVersion,
        /// The peer address of the daemon to ask.
        address: SocketAddr,
    },
    /// Sends a message about slot loans to the owner of a call shard.
    SendLoan(SocketAddr, LoanEnvelope),
    /// Reads the owner record of a shard.
    ReadOwner(ShardName),
    /// Dispatches a call with an idempotency key, or queries runners for its
    /// outcome.
    Key(KeyEffect),
    /// Renews the store lease of a shard or acquires a new one.
    RequestLease {
        shard: ShardName,
        /// The epoch that the owner record must have.
        epoch: Epoch,
        /// The time at which the owner table requested the lease.
        sent_at: Duration,
        /// The lease to renew, if one is held for this epoch.
        current_lease: Option<LeaseId>,
    },
    /// Revokes a lease.
    ReleaseLease(LeaseId),
    /// Sends a request to a worker.
    Task(TaskEffect),
    /// Reads or writes the journal.
    Journal(JournalEffect),
    /// Reads all owner records.
    ReadOwners,
}

/// A peer that a heartbeat is sent to.
#[derive(Clone, Debug)]
pub(super) struct HeartbeatReceiver {
    pub(super) daemon: DaemonId,
    pub(super) address: SocketAddr,
    /// Whether to replace the connection to the peer.
    pub(super) is_reconnect_due: bool,
}

/// Runs effects on the traffic threads.
#[derive(Clone, Debug)]
pub(super) struct EffectRunner<S> {
    pub(super) daemon: DaemonId,
    pub(super) keys: KeyExecutor,
    /// The runtime of the traffic threads.
    pub(super) traffic: Handle,
    pub(super) control: ControlHandle,
    pub(super) peers: PeerClient,
    pub(super) store: S,
    pub(super) workers: HttpWorkers,
    pub(super) metrics: ProcessMetrics,
}

impl<S: CoordinationClient> EffectRunner<S> {
    /// Starts an effect. Its result, if any, is sent to the control thread as an
    /// event.
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
                current_lease,
            } => self.request_lease(shard, epoch, sent_at, current_lease),
            ControlEffect::ReleaseLease(lease) => self.release_lease(lease),
            ControlEffect::Key(effect) => {
                let keys = self.keys.clone();
                self.traffic
                    .spawn(async move { keys.execute(effect).await });
            }
            ControlEffect::Journal(effect) => self.run_journal(effect),
            ControlEffect::ReadOwners => self.read_owners(),
            ControlEffect::Task(effect) => self.run_task_effect(effect),
        }
    }

    fn send_heartbeat(&self, receiver: HeartbeatReceiver, heartbeat: Heartbeat) {
        let peers = self.peers.clone();
        let control = self.control.clone();
        let HeartbeatReceiver {
            daemon,
            address,
            is_reconnect_due,
        } = receiver;
        self.traffic.spawn(async move {
            match peers
                .send_heartbeat(address, heartbeat, is_reconnect_due)
                .await
            {
                Ok(()) => {}
                Err(PeerError::Refused { .. }) => {
                    control
                        .send(ControlEvent::PeerRefusedConnection(daemon))
                        .await;
                }
                Err(error) => log::debug!("cannot send a heartbeat: {error}"),
            }
        });
    }

    fn read_owners(&self) {
        let control = self.control.clone();
        let store = self.store.clone();
        self.traffic.spawn(async move {
            // No retry: the periodic read of the control keys includes the owners.
            match store.read_prefix(OWNER_PREFIX).await {
                Ok(entries) => {
                    control
                        .send(ControlEvent::OwnersRead(decode_owners(&entries)))
                        .await;
                }
                Err(error) => log::warn!("cannot read the owners: {error}"),
            }
        });
    }

    fn send_loan(&self, address: SocketAddr, envelope: LoanEnvelope) {
        let peers = self.peers.clone();
        self.traffic.spawn(async move {
            // No retry: a lost message is repeated, or its loan expires at the end of
            // its term.
            if let Err(error) = peers.send(address, &PeerRequest::Loan(envelope)).await {
                log::debug!("cannot send a loan message: {error}");
            }
        });
    }

    fn fetch_config(&self, from: ConfigVersion, head: ConfigVersion) {
        let control = self.control.clone();
        let store = self.store.clone();
        self.traffic.spawn(async move {
            match fetch_versions(&store, from, head).await {
                Ok(pull) => control.send(ControlEvent::ConfigFetched(pull)).await,
                Err(error) => log::warn!("cannot read configuration version {head}: {error}"),
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
                Err(error) => log::warn!("cannot pull the configuration from a peer: {error}"),
            }
        });
    }

    fn request_lease(
        &self,
        shard: ShardName,
        epoch: Epoch,
        sent_at: Duration,
        current_lease: Option<LeaseId>,
    ) {
        let control = self.control.clone();
        let store = self.store.clone();
        let daemon = self.daemon.clone();
        self.traffic.spawn(async move {
            let held = ensure_lease(&store, &daemon, &shard, epoch, current_lease).await;
            let lease = held.unwrap_or_else(|error| {
                log::warn!("cannot renew or acquire the lease of shard {shard}: {error}");
                None
            });
            let response = LeaseResponse {
                shard,
                epoch,
                sent_at,
                lease,
            };
            control.send(ControlEvent::LeaseAnswered(response)).await;
        });
    }

    fn release_lease(&self, lease: LeaseId) {
        let store = self.store.clone();
        self.traffic.spawn(async move {
            if let Err(error) = store.revoke_lease(lease).await {
                log::warn!("cannot revoke the lease of a shard: {error}; the store will expire it");
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
                    metrics.record_commit(result, started_at.elapsed());
                }
                control.send(ControlEvent::Journal(report)).await;
            }
        });
    }

    fn run_task_effect(&self, effect: TaskEffect) {
        let control = self.control.clone();
        let workers = self.workers.clone();
        if let Some(waited) = effect.waited {
            self.metrics.record_task_start(waited);
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
            // The owner table retries a failed read.
            match store.read_prefix(&prefix).await {
                Ok(entries) => {
                    let record = decode_owners(&entries).remove(&shard);
                    control.send(ControlEvent::OwnerRead(shard, record)).await;
                }
                Err(error) => log::warn!("cannot read the owner of shard {shard}: {error}"),
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
                    .find_map(decode_owner)
                    .map(|(_, record)| record),
                Err(error) => {
                    log::warn!("cannot confirm the claim of shard {shard}: {error}");
                    None
                }
            };
            control
                .send(ControlEvent::ClaimAnswered(shard, record))
                .await;
        });
    }
}
