//! The ownerships of a service that may not have ended.
//!
//! Failure mode: an owner and a worker with its tasks are lost together. The successor cannot
//! reach the worker, and a predecessor that only lost contact with the store would renew the
//! worker's lease for a while, so the successor has to wait for longer than that. It need not
//! wait once it knows that each predecessor has ended its ownership: a daemon registers in the
//! store when it starts, and again after it has lost its lease and released its services. A
//! registration that is newer than an ownership therefore shows that the ownership has ended. If a
//! predecessor does not return, the answers of its witnesses show that it extends no lease: at once those
//! of more than half of them, and after a limited time that of one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::Epoch;
use auburnsaddle_platform::StoreItem;
use serde::{Deserialize, Serialize};

use super::records::{decode_front, decode_value};
use crate::witness::{EXTENSION_END_DELAY, WitnessEntry, WitnessList, WitnessRecord};

/// Decodes the recorded witnesses of a service.
pub(crate) fn decode_witnesses(item: &StoreItem) -> Option<WitnessRecord> {
    let (lists, rest) = decode_front(&item.key, &item.value)?;
    let partly_limited = match rest {
        // An earlier version has written the value.
        [] => BTreeSet::new(),
        rest => decode_value(&item.key, rest)?,
    };
    Some(WitnessRecord {
        lists,
        partly_limited,
    })
}

/// One ownership of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct OwnerSession {
    /// Name of the owner; empty if an earlier version has not recorded it.
    pub(crate) daemon: String,
    pub(crate) epoch: Epoch,
    /// Revision of the takeover. It is 0 in the value that the takeover writes, and is then that
    /// of the item.
    pub(crate) revision: u64,
}

/// The registration of a daemon in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DaemonRegistration {
    pub(crate) revision: u64,
    /// When this daemon read it for the first time.
    pub(crate) seen_at: Duration,
}

/// The ownerships before a takeover that are not known to have ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct PredecessorList {
    sessions: Vec<OwnerSession>,
    /// The recorded witnesses of these ownerships, and of those that have ended since the
    /// takeover, as the store lists them until none is left.
    witnesses: WitnessRecord,
    /// When each daemon had acknowledged the takeover.
    acked_at: BTreeMap<String, Duration>,
    /// When the last one that is known to have ended was seen to have.
    ended_at: Duration,
    /// Whether the daemon itself has owned the service before, perhaps until its restart.
    has_own: bool,
}

impl PredecessorList {
    /// Returns the predecessors of an owner that takes over after the given epoch. `item` is the
    /// value that the takeover of that epoch wrote, and `witnesses` the latest lists of witnesses.
    ///
    /// Earlier ownerships of the same daemon have ended: it takes over only what it does not own.
    pub(crate) fn read(
        item: Option<&StoreItem>,
        witnesses: Option<&StoreItem>,
        last_epoch: Epoch,
        daemon: &str,
    ) -> Self {
        let sessions = item.and_then(|item| {
            let mut sessions: Vec<OwnerSession> = decode_value(&item.key, &item.value)?;
            let last = sessions.last_mut()?;
            if last.revision == 0 {
                last.revision = item.revision;
            }
            (last.epoch == last_epoch).then_some(sessions)
        });
        let unrecorded = || {
            let session = OwnerSession {
                daemon: String::new(),
                epoch: last_epoch,
                revision: 0,
            };
            Vec::from_iter((last_epoch > 0).then_some(session))
        };
        let mut sessions = sessions.unwrap_or_else(unrecorded);
        let count = sessions.len();
        sessions.retain(|session| session.daemon != daemon);
        let mut record = witnesses.and_then(decode_witnesses).unwrap_or_default();
        let is_listed = |epoch| sessions.iter().any(|session| session.epoch == epoch);
        record.lists.retain(|list| is_listed(list.epoch));
        record.partly_limited.retain(|epoch| is_listed(*epoch));
        Self {
            has_own: sessions.len() < count,
            sessions,
            witnesses: record,
            acked_at: BTreeMap::new(),
            ended_at: Duration::ZERO,
        }
    }

    /// Returns the value that a takeover writes.
    pub(crate) fn followed_by(&self, session: &OwnerSession) -> Vec<OwnerSession> {
        let sessions = self.sessions.iter();
        // A later ownership of a daemon shows that its earlier ones have ended.
        let earlier = sessions.filter(|earlier| earlier.daemon != session.daemon);
        earlier.cloned().chain([session.clone()]).collect()
    }

    /// Returns the witnesses that are recorded together with the sessions.
    pub(crate) fn witnesses_followed_by(&self, list: &WitnessList) -> WitnessRecord {
        self.witnesses.clone().with_list(list.clone())
    }

    /// Returns the witnesses that have not acknowledged the takeover, of ownerships that may not
    /// have ended.
    pub(crate) fn unacked_witnesses(&self) -> Vec<WitnessEntry> {
        let lists = self.witnesses.lists.iter().filter(|list| {
            let mut sessions = self.sessions.iter();
            sessions.any(|session| session.epoch == list.epoch)
        });
        let entries = lists.flat_map(|list| &list.entries);
        let unacked = entries.filter(|entry| !self.acked_at.contains_key(&entry.daemon));
        unacked.cloned().collect()
    }

    /// Records that a daemon had acknowledged the takeover by the given time, and removes the
    /// ownerships that extend no lease any more, as enough of their witnesses have.
    pub(crate) fn record_ack(&mut self, daemon: &str, at: Duration) {
        self.acked_at.entry(daemon.to_owned()).or_insert(at);
        let acked_at = |entry: &WitnessEntry| self.acked_at.get(&entry.daemon).copied();
        // The first acknowledgement is that of the successor itself, at its takeover.
        let taken_over_at = self.acked_at.values().copied().min().unwrap_or(at);
        let fenced = self.witnesses.lists.iter().filter_map(|list| {
            let fenced_at = list.fenced_at(taken_over_at, acked_at)?;
            Some((list.epoch, fenced_at + EXTENSION_END_DELAY))
        });
        let fenced: BTreeMap<Epoch, Duration> = fenced.collect();
        self.remove_fenced(&fenced);
    }

    /// Removes the ownerships that extend no lease any more at `now`, as each lacks one of its
    /// witnesses.
    pub(crate) fn remove_partly_fenced(&mut self, taken_over_at: Duration, now: Duration) {
        let acked_at = |entry: &WitnessEntry| self.acked_at.get(&entry.daemon).copied();
        let record = &self.witnesses;
        let lists = record.lists.iter();
        let limited = lists.filter(|list| record.partly_limited.contains(&list.epoch));
        let fenced = limited.filter_map(|list| {
            let fenced_at = list.partly_fenced_at(taken_over_at, acked_at)?;
            (now >= fenced_at).then_some((list.epoch, fenced_at))
        });
        let fenced: BTreeMap<Epoch, Duration> = fenced.collect();
        self.remove_fenced(&fenced);
    }

    /// Removes the ownerships of these epochs, which extend no lease from the given times on.
    fn remove_fenced(&mut self, fenced: &BTreeMap<Epoch, Duration>) {
        let ended_at = &mut self.ended_at;
        self.sessions
            .retain(|session| match fenced.get(&session.epoch) {
                Some(fenced_at) => {
                    *ended_at = (*ended_at).max(*fenced_at);
                    false
                }
                None => true,
            });
    }

    /// Removes the ownerships that have ended according to the registrations of the daemons.
    pub(crate) fn remove_ended(&mut self, registrations: &BTreeMap<String, DaemonRegistration>) {
        let ended_at = &mut self.ended_at;
        self.sessions.retain(|session| {
            let registration = registrations.get(&session.daemon);
            match registration.filter(|registration| registration.revision > session.revision) {
                Some(registration) => {
                    *ended_at = registration.seen_at.max(*ended_at);
                    false
                }
                None => true,
            }
        });
    }

    /// Returns when all of the ownerships before a takeover at the given time had ended, or `None`
    /// if that is not known.
    pub(crate) fn ended_at(&self, taken_over_at: Duration) -> Option<Duration> {
        let own_end = if self.has_own {
            taken_over_at
        } else {
            Duration::ZERO
        };
        self.sessions
            .is_empty()
            .then_some(self.ended_at.max(own_end))
    }
}
