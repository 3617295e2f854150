//! The platform's list of hosts, as last read.

use std::{collections::BTreeMap, sync::Arc};

use super::messages::{HostEntry, HostKind, HostState};
use crate::types::{HostId, PoolId, ServiceId, ZoneId};

/// The entries of the platform's list of hosts, by name.
#[derive(Clone, Debug, Default)]
pub struct HostTable {
    hosts: Arc<BTreeMap<HostId, HostEntry>>,
}

impl HostTable {
    /// Replaces all entries and returns whether anything has changed.
    pub fn replace(&mut self, entries: Vec<HostEntry>) -> bool {
        let hosts: BTreeMap<_, _> = entries
            .into_iter()
            .map(|entry| (entry.name.clone(), entry))
            .collect();
        let changed = hosts != *self.hosts;
        if changed {
            self.hosts = Arc::new(hosts);
        }
        changed
    }

    /// Returns the entry of a host, if it is listed.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<&HostEntry> {
        self.hosts.get(host)
    }

    /// Returns a shared snapshot of all entries, by name.
    #[must_use]
    pub fn shared_entries(&self) -> Arc<BTreeMap<HostId, HostEntry>> {
        Arc::clone(&self.hosts)
    }

    /// Returns all entries in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values()
    }

    /// Returns the live runners of a service in a zone.
    #[must_use]
    pub fn live_runners(&self, service: &ServiceId, zone: &ZoneId) -> Vec<HostEntry> {
        self.hosts
            .values()
            .filter(|entry| entry.kind == HostKind::Runner)
            .filter(|entry| entry.state == HostState::Live)
            .filter(|entry| entry.service.as_ref() == Some(service) && entry.zone == *zone)
            .cloned()
            .collect()
    }

    /// Returns the workers of a pool, including those that are leaving.
    #[must_use]
    pub fn workers(&self, pool: &PoolId) -> Vec<HostEntry> {
        self.hosts
            .values()
            .filter(|entry| entry.kind == HostKind::Worker && entry.pool == *pool)
            .cloned()
            .collect()
    }
}
