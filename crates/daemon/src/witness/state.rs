//! The epochs that were announced to a daemon, and until when witnesses let an owner extend leases.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use auburnsaddle_core::{Epoch, ServiceId, UNCONFIRMED_RENEWAL_TIME};
use serde::{Deserialize, Serialize};

use super::messages::EpochNotice;

/// Time for which a confirmation permits leases to be extended, from when it was requested.
const EXTENSION_TERM: Duration = Duration::from_millis(900);

/// Time after which every permission has ended that was confirmed before. Longer than
/// [`EXTENSION_TERM`], as the clocks of two hosts differ.
pub(crate) const EXTENSION_END_DELAY: Duration = Duration::from_secs(1);

/// Time after the latest confirmation by the store for which half of the witnesses permit extensions.
/// Afterwards all of them are needed, so a successor which knows that one does not confirm the owner
/// waits for no longer.
const PARTIAL_EXTENSION_TIME: Duration = Duration::from_secs(4);

/// Time after a takeover by which every extension has ended that half of the witnesses permitted:
/// [`PARTIAL_EXTENSION_TIME`] on clocks that differ by up to 5 %. The store has confirmed no owner
/// after the takeover that followed it.
pub(crate) const PARTIAL_EXTENSION_END_DELAY: Duration = Duration::from_millis(4_200);

/// Time without a confirmation by the store after which an owner asks its witnesses: longer than
/// the interval at which a daemon renews its lease in the store.
const STORE_SILENCE: Duration = Duration::from_millis(600);

/// Largest number of witnesses of an ownership. It limits the calls during an outage of the store.
const MAX_WITNESSES: usize = 31;

/// The highest epoch of each service that was announced to this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct EpochRegister {
    epochs: BTreeMap<ServiceId, Epoch>,
}

impl EpochRegister {
    /// Records an announcement. Returns the highest epoch of its service.
    pub(crate) fn raise(&mut self, notice: &EpochNotice) -> Epoch {
        let epoch = self.epochs.entry(notice.service.clone()).or_default();
        *epoch = notice.epoch.max(*epoch);
        *epoch
    }
}

/// A daemon that may confirm an ownership, by its registration in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct WitnessEntry {
    pub(crate) daemon: String,
    /// Address at which it serves peers.
    pub(crate) address: String,
    /// Revision of its registration.
    pub(crate) registration: u64,
}

/// The witnesses of one ownership.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct WitnessList {
    pub(crate) epoch: Epoch,
    pub(crate) entries: Vec<WitnessEntry>,
    /// Whether the owner extends leases without witnesses, as it has been the only daemon for long.
    pub(crate) is_alone: bool,
}

/// The witnesses of the ownerships of a service that may not have ended, as the store holds them.
///
/// Earlier versions write and read the lists only: the encoding of the epochs follows them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct WitnessRecord {
    pub(crate) lists: Vec<WitnessList>,
    /// Epochs of the owners that need all of their witnesses after [`PARTIAL_EXTENSION_TIME`]. Those
    /// of earlier versions do not.
    pub(crate) partly_limited: BTreeSet<Epoch>,
}

impl WitnessRecord {
    /// Returns the record with a list of an owner of this version.
    pub(crate) fn with_list(mut self, list: WitnessList) -> Self {
        self.partly_limited.insert(list.epoch);
        self.lists.push(list);
        self
    }
}

impl WitnessList {
    /// Returns when the latest majority of the daemons, the owner and half of its witnesses, had
    /// confirmed the ownership. `confirmed_at` returns that time for one of the witnesses.
    fn majority_at(
        &self,
        confirmed_at: impl Fn(&WitnessEntry) -> Option<Duration>,
    ) -> Option<Duration> {
        let mut times: Vec<Duration> = self.entries.iter().filter_map(confirmed_at).collect();
        times.sort_unstable();
        let count = self.entries.len().div_ceil(2);
        times.into_iter().rev().nth(count.checked_sub(1)?)
    }

    /// Returns the latest time by which all of the witnesses had confirmed the ownership, or `None` if
    /// one has not or there are none.
    fn unanimous_at(
        &self,
        confirmed_at: impl Fn(&WitnessEntry) -> Option<Duration>,
    ) -> Option<Duration> {
        let times: Option<Vec<Duration>> = self.entries.iter().map(confirmed_at).collect();
        times?.into_iter().min()
    }

    /// Returns when the owner extends no lease any more as one of its witnesses had acknowledged a
    /// later epoch: from then on it lacks one of them, and half of them permit extensions only for a
    /// limited time. `taken_over_at` is the time of a later takeover.
    pub(crate) fn partly_fenced_at(
        &self,
        taken_over_at: Duration,
        acked_at: impl Fn(&WitnessEntry) -> Option<Duration>,
    ) -> Option<Duration> {
        let first_ack = self.entries.iter().filter_map(acked_at).min();
        let unanimous_until = first_ack? + EXTENSION_END_DELAY;
        Some(unanimous_until.max(taken_over_at + PARTIAL_EXTENSION_END_DELAY))
    }

    /// Returns when so many witnesses had acknowledged a later epoch that each half has one of them.
    /// `acked_at` returns that time for one of them. Without witnesses it is the time of the
    /// takeover, unless the owner extends leases by itself.
    pub(crate) fn fenced_at(
        &self,
        taken_over_at: Duration,
        acked_at: impl Fn(&WitnessEntry) -> Option<Duration>,
    ) -> Option<Duration> {
        if self.entries.is_empty() {
            return (!self.is_alone).then_some(taken_over_at);
        }
        let mut times: Vec<Duration> = self.entries.iter().filter_map(acked_at).collect();
        times.sort_unstable();
        times.get(self.entries.len() / 2).copied()
    }
}

/// Returns the witnesses for an ownership of a service among the registered daemons, in an order
/// that differs for each service, so that the calls are spread.
pub(crate) fn choose_witnesses(
    service: &ServiceId,
    own: &str,
    daemons: impl IntoIterator<Item = WitnessEntry>,
) -> Vec<WitnessEntry> {
    let peers = daemons.into_iter().filter(|entry| entry.daemon != own);
    let ranked = peers.map(|entry| {
        let mut hasher = DefaultHasher::new();
        (service, &entry.daemon).hash(&mut hasher);
        ((hasher.finish(), entry.daemon.clone()), entry)
    });
    let ranked: BTreeMap<(u64, String), WitnessEntry> = ranked.collect();
    ranked.into_values().take(MAX_WITNESSES).collect()
}

/// Until when an owner may extend the leases of its workers.
#[derive(Clone, Debug)]
pub(crate) struct ExtensionPermit {
    /// The list that the store holds.
    recorded: WitnessList,
    /// A list that replaces it by a commit without an outcome. A successor may read either.
    pending: Option<WitnessList>,
    /// When each witness, by its registration, was sent the latest announcement that it confirmed.
    confirmations: BTreeMap<(String, u64), Duration>,
    /// When the latest renewal that the store confirmed was sent.
    store_confirmed_at: Duration,
    /// Until when the store has confirmed the ownership.
    confirmed_until: Duration,
}

impl ExtensionPermit {
    /// Returns the permit of an owner whose takeover has recorded these witnesses.
    pub(crate) const fn new(recorded: WitnessList) -> Self {
        Self {
            recorded,
            pending: None,
            confirmations: BTreeMap::new(),
            store_confirmed_at: Duration::ZERO,
            confirmed_until: Duration::ZERO,
        }
    }

    /// Returns until when leases may be extended.
    pub(crate) fn until(&self) -> Duration {
        let lists = [Some(&self.recorded), self.pending.as_ref()];
        let limits = lists.into_iter().flatten().map(|list| self.limit(list));
        limits.min().unwrap_or_default()
    }

    /// Returns until when leases may be extended if a successor reads this list.
    fn limit(&self, list: &WitnessList) -> Duration {
        if list.is_alone {
            // The successor waits for the longest time.
            return self.confirmed_until + UNCONFIRMED_RENEWAL_TIME;
        }
        let confirmed_at = |entry: &WitnessEntry| {
            let witness = (entry.daemon.clone(), entry.registration);
            self.confirmations.get(&witness).copied()
        };
        let partial_limit = self.store_confirmed_at + PARTIAL_EXTENSION_TIME;
        let by_half = list
            .majority_at(confirmed_at)
            .map(|at| (at + EXTENSION_TERM).min(partial_limit));
        let by_all = list
            .unanimous_at(confirmed_at)
            .map(|at| at + EXTENSION_TERM);
        let by_store = self.store_confirmed_at + EXTENSION_TERM;
        by_store.max(by_half.max(by_all).unwrap_or_default())
    }

    /// Records a confirmation by the store, requested at `sent_at` and valid until `until`.
    pub(crate) fn confirm_by_store(&mut self, sent_at: Duration, until: Duration) {
        self.store_confirmed_at = self.store_confirmed_at.max(sent_at);
        self.confirmed_until = self.confirmed_until.max(until);
    }

    /// Records a confirmation by a witness, requested at `sent_at`.
    pub(crate) fn confirm_by_witness(
        &mut self,
        daemon: &str,
        registration: u64,
        sent_at: Duration,
    ) {
        let witness = (daemon.to_owned(), registration);
        let confirmed_at = self.confirmations.entry(witness).or_default();
        *confirmed_at = sent_at.max(*confirmed_at);
    }

    /// Returns the witnesses to ask, if the store has not confirmed the ownership for a while.
    pub(crate) fn witnesses_to_ask(&self, now: Duration) -> Vec<WitnessEntry> {
        let is_due = now >= self.store_confirmed_at + STORE_SILENCE
            && now < self.confirmed_until + UNCONFIRMED_RENEWAL_TIME;
        let lists = [Some(&self.recorded), self.pending.as_ref()];
        let entries = lists.into_iter().flatten().flat_map(|list| &list.entries);
        entries.filter(|_| is_due).cloned().collect()
    }

    /// Returns the list for the present witnesses, unless the store holds it already or a change
    /// has no outcome yet. `is_alone` is whether there have been none for long.
    pub(crate) fn changed_list(
        &self,
        entries: &[WitnessEntry],
        is_alone: bool,
    ) -> Option<WitnessList> {
        let list = WitnessList {
            epoch: self.recorded.epoch,
            entries: entries.to_vec(),
            is_alone,
        };
        (self.pending.is_none() && self.recorded != list).then_some(list)
    }

    /// Records that a commit with a new list is sent. It is binding from then on, as the commit
    /// may become durable at any time.
    pub(crate) fn begin_change(&mut self, list: WitnessList) {
        self.pending = Some(list);
    }

    /// Records that the commit with the new list, if there was one, is durable.
    pub(crate) fn finish_change(&mut self) {
        if let Some(list) = self.pending.take() {
            self.recorded = list;
            let entries = &self.recorded.entries;
            self.confirmations.retain(|(daemon, registration), _| {
                let mut entries = entries.iter();
                entries.any(|entry| (&entry.daemon, entry.registration) == (daemon, *registration))
            });
        }
    }
}
