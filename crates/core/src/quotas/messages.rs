//! The records of the store, and the changes that an owner makes to them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    teams::ResourceCap,
    types::{ResourceVector, ServiceId, TeamId},
};

/// What one service may have running of a team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QuotaAllotment {
    /// Resources that the service may use. A resource without a cap is 0.
    pub allotted: ResourceVector,
    /// Resources that the service lacks beyond them, which the others return if they can.
    pub wanted: ResourceVector,
}

/// The allotments of a team by service, as the store holds them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QuotaRecord {
    /// Allotment of each service that has had one.
    pub services: BTreeMap<ServiceId, QuotaAllotment>,
}

/// A record and its revision in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredQuota {
    /// The record.
    pub record: QuotaRecord,
    /// Its revision; 0 if the store has none.
    pub revision: u64,
}

/// A new record of a team, to be written if the store has the expected revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaWrite {
    /// The team.
    pub team: TeamId,
    /// Revision of the record that the new one replaces; 0 if there is none.
    pub expected_revision: u64,
    /// The new record.
    pub record: QuotaRecord,
}

/// Writes of several teams that are to be made together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuotaChange {
    /// The writes.
    pub writes: Vec<QuotaWrite>,
    /// Whether an allotment is raised, so that no newer caps may exist.
    pub is_raise: bool,
}

/// The outcome of a [`QuotaChange`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaOutcome {
    /// All records were written at this revision.
    Written(u64),
    /// A condition did not hold, so nothing was written. Contains the records that the store has of
    /// the teams in the change.
    Conflict(BTreeMap<TeamId, StoredQuota>),
    /// Nothing was written, or that is not known.
    Unknown,
}

/// What a team uses of its cap, as far as one owner knows, for metrics and the dump.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TeamUsage {
    /// The cap.
    pub cap: ResourceCap,
    /// Resources of the runs in the service of this owner.
    pub used: ResourceVector,
    /// Allotment of the service.
    pub allotted: ResourceVector,
    /// Resources that waiting tasks lack.
    pub lacking: ResourceVector,
}
