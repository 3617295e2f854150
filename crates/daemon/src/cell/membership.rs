//! The daemons of the cell and the owners of the services, as the store lists them.

use std::collections::BTreeSet;

use auburnsaddle_core::ServiceId;
use auburnsaddle_platform::{HttpEndpoint, ItemChange, StoreItem};

use super::control::{CellControl, KnownOwner, relay_order};
use crate::{
    job_table::JobSummary,
    pipelines::{
        CellKey, DaemonRegistration, MemberEntry, OwnerEntry, decode_team_value, decode_value,
    },
    session::PrefixUpdate,
};

impl CellControl {
    /// Replaces the owners and members by those of the store. Releases services for
    /// which the store lists no owner.
    pub(super) fn reset_membership(&mut self, items: Vec<StoreItem>) {
        self.has_membership = true;
        self.members.clear();
        let daemons: BTreeSet<String> = items
            .iter()
            .filter_map(|item| match CellKey::parse(&item.key) {
                Some(CellKey::Member(daemon)) => Some(daemon),
                _ => None,
            })
            .collect();
        self.registrations
            .retain(|daemon, _| daemons.contains(daemon));
        self.cpu_by_daemon.clear();
        let previous = std::mem::take(&mut self.owners);
        for item in items {
            self.apply_change(ItemChange::Put(item));
        }
        for (service, owner) in previous {
            if !self.owners.contains_key(&service) && owner.daemon == self.settings.daemon {
                self.drop_shard(&service, "the store holds no owner");
            }
        }
        self.update_predecessors();
        self.update_witnesses();
    }

    /// Applies an update of the summaries.
    pub(super) fn apply_summaries(&mut self, update: PrefixUpdate) {
        let changes = match update {
            PrefixUpdate::Snapshot(items) => items.into_iter().map(ItemChange::Put).collect(),
            PrefixUpdate::Changes(changes) => changes,
        };
        for change in changes {
            self.apply_change(change);
        }
    }

    /// Applies a change of a summary, a member or an owner.
    pub(super) fn apply_change(&mut self, change: ItemChange) {
        match change {
            ItemChange::Put(item) => match CellKey::parse(&item.key) {
                Some(CellKey::Summary(id)) => {
                    if let Some(summary) = decode_team_value::<JobSummary>(&item.key, &item.value) {
                        // A service with accepted jobs needs an owner even if no queue of
                        // the manifest routes to it any more.
                        self.services.insert(summary.service.clone());
                        let now = self.effects.clock.now();
                        self.ended.update(id, &summary, item.revision, now);
                        self.jobs.insert(id, summary);
                    }
                }
                Some(CellKey::Member(daemon)) => {
                    if let Some(entry) = decode_value::<MemberEntry>(&item.key, &item.value) {
                        self.cpu_by_daemon.insert(daemon.clone(), entry.cpu_milli);
                        self.update_registration(&daemon, item.revision);
                        self.add_member(daemon, &entry.address);
                    }
                }
                Some(CellKey::Owner(service)) => {
                    if let Some(entry) = decode_value::<OwnerEntry>(&item.key, &item.value) {
                        self.update_owner(service, Some(entry.daemon), item.revision);
                    }
                }
                _ => log::debug!(key = item.key.as_str(); "ignored an unknown key"),
            },
            ItemChange::Removed { key, revision } => match CellKey::parse(&key) {
                Some(CellKey::Summary(id)) => {
                    self.ended.remove(id);
                    self.jobs.remove(id);
                }
                Some(CellKey::Member(daemon)) if self.members.remove(&daemon).is_some() => {
                    self.registrations.remove(&daemon);
                    log::info!(daemon = daemon.as_str(); "a daemon left the cell");
                    self.cpu_by_daemon.remove(&daemon);
                    self.update_relay_peers();
                }
                Some(CellKey::Owner(service)) => self.update_owner(service, None, revision),
                _ => {}
            },
        }
    }

    /// Records the registration of a daemon if it is newer than the known one.
    fn update_registration(&mut self, daemon: &str, revision: u64) {
        let known = self.registrations.get(daemon);
        if known.is_none_or(|known| known.revision < revision) {
            let registration = DaemonRegistration {
                revision,
                seen_at: self.effects.clock.now(),
            };
            self.registrations.insert(daemon.to_owned(), registration);
        }
    }

    /// Adds a daemon, or replaces its address after a restart.
    fn add_member(&mut self, daemon: String, address: &str) {
        let known = self.members.get(&daemon);
        if known.is_some_and(|endpoint| *endpoint.address() == address) {
            return;
        }
        log::info!(daemon = daemon.as_str(), address; "a daemon joined the cell");
        self.members.insert(daemon, HttpEndpoint::new(address));
        self.update_relay_peers();
    }

    /// Updates the peers that can relay calls to the store. If no peer is left, the
    /// previous ones are kept, because this daemon may be the one that cannot reach the
    /// store.
    fn update_relay_peers(&self) {
        let own = self.settings.daemon.as_str();
        let order = relay_order(own, &self.cpu_by_daemon);
        let peers = order.iter().filter_map(|daemon| self.members.get(*daemon));
        let peers: Vec<HttpEndpoint> = peers.cloned().collect();
        if !peers.is_empty() {
            self.effects.route.set_peers(peers);
        }
    }

    /// Records the owner of a service, and releases the service if another daemon owns
    /// it.
    fn update_owner(&mut self, service: ServiceId, daemon: Option<String>, revision: u64) {
        // A takeover by this daemon may be newer than this change.
        if self
            .owners
            .get(&service)
            .is_some_and(|owner| owner.revision > revision)
        {
            return;
        }
        let is_self = daemon.as_ref() == Some(&self.settings.daemon);
        if !is_self {
            self.drop_shard(&service, "the store holds another owner or none");
        }
        match daemon {
            Some(daemon) => {
                log::info!(
                    service = service.as_ref(), daemon = daemon.as_str();
                    "read the owner of a service"
                );
                let known = KnownOwner { daemon, revision };
                self.owners.insert(service, known);
            }
            None => {
                self.owners.remove(&service);
            }
        }
    }
}
