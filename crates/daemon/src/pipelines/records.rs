//! Keys and values that the daemons keep in the store.

use auburnsaddle_core::{PipelineId, PipelineSpec, ServiceId, TeamId};
use bincode::config;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::log::RecordNumber;
use crate::job_table::JobSummary;

/// Prefix of all keys that the daemons write.
pub(crate) const KEY_PREFIX: &str = "auburnsaddle/";

/// Prefix of the owners of services and of the daemons. Every daemon watches it.
pub(crate) const PUBLIC_PREFIX: &str = "auburnsaddle/pub/";

/// Prefix of the summaries of all jobs. Every daemon watches it, but takes changes
/// less often than those below [`PUBLIC_PREFIX`].
pub(crate) const SUMMARY_PREFIX: &str = "auburnsaddle/phase/";

/// Prefix of the records of what the services may have running of each team.
pub(crate) const QUOTA_PREFIX: &str = "auburnsaddle/quota/";

/// Largest number of conditions, puts and removals in one transaction. The platform
/// accepts 32.
pub(super) const MAX_TRANSACTION_ENTRIES: usize = 32;

/// A key of the store, by the kind of its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CellKey {
    /// The owner of a service.
    Owner(ServiceId),
    /// The address and capacity of a running daemon.
    Member(String),
    /// The summary of a job.
    Summary(PipelineId),
    /// The epoch and number of the latest commit of a service.
    Sequence(ServiceId),
    /// The ownerships of a service that may not have ended.
    Sessions(ServiceId),
    /// The witnesses of these ownerships.
    Witnesses(ServiceId),
    /// The specification of a job that has not ended.
    Job(ServiceId, PipelineId),
    /// A request to cancel a job.
    Cancellation(ServiceId, PipelineId),
    /// A record in the progress log of a service.
    Record(ServiceId, RecordNumber),
    /// What the services may have running of a team.
    Quota(TeamId),
}

impl CellKey {
    /// Returns the text of the key in the store.
    pub(crate) fn path(&self) -> String {
        match self {
            Self::Owner(service) => format!("{PUBLIC_PREFIX}owner/{service}"),
            Self::Member(daemon) => format!("{PUBLIC_PREFIX}member/{daemon}"),
            Self::Summary(id) => format!("{SUMMARY_PREFIX}{id:016x}"),
            Self::Sequence(service) => format!("{KEY_PREFIX}seq/{service}"),
            Self::Sessions(service) => format!("{KEY_PREFIX}own/{service}"),
            Self::Witnesses(service) => format!("{KEY_PREFIX}wit/{service}"),
            Self::Job(service, id) => format!("{KEY_PREFIX}job/{service}/j{id:016x}"),
            Self::Cancellation(service, id) => format!("{KEY_PREFIX}job/{service}/x{id:016x}"),
            Self::Record(service, number) => {
                format!("{}{number:016x}", Self::record_prefix(service))
            }
            Self::Quota(team) => format!("{QUOTA_PREFIX}{team}"),
        }
    }

    /// Parses the text of a key. Returns `None` for a key of unknown format, such as one
    /// of another version of the daemon.
    pub(crate) fn parse(path: &str) -> Option<Self> {
        if let Some(team) = path.strip_prefix(QUOTA_PREFIX) {
            return Some(Self::Quota(team.into()));
        }
        let rest = path.strip_prefix(KEY_PREFIX)?;
        let id = |text: &str| PipelineId::from_str_radix(text, 16).ok();
        let parts: Vec<&str> = rest.split('/').collect();
        match parts[..] {
            ["pub", "owner", service] => Some(Self::Owner(service.into())),
            ["pub", "member", daemon] => Some(Self::Member(daemon.to_owned())),
            ["phase", job] => Some(Self::Summary(id(job)?)),
            ["seq", service] => Some(Self::Sequence(service.into())),
            ["own", service] => Some(Self::Sessions(service.into())),
            ["wit", service] => Some(Self::Witnesses(service.into())),
            ["job", service, job] => match job.split_at_checked(1)? {
                ("j", job) => Some(Self::Job(service.into(), id(job)?)),
                ("x", job) => Some(Self::Cancellation(service.into(), id(job)?)),
                _ => None,
            },
            ["prog", service, number] => {
                let number = RecordNumber::from_str_radix(number, 16).ok()?;
                Some(Self::Record(service.into(), number))
            }
            _ => None,
        }
    }

    /// Returns the prefix of the keys of a service's jobs and cancellations.
    pub(crate) fn job_prefix(service: &str) -> String {
        format!("{KEY_PREFIX}job/{service}/")
    }

    /// Returns the prefix of the keys of a service's progress records. The order of
    /// the keys is the order of the record numbers.
    pub(crate) fn record_prefix(service: &str) -> String {
        format!("{KEY_PREFIX}prog/{service}/")
    }
}

/// The value of [`CellKey::Owner`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct OwnerEntry {
    /// Name of the daemon that owns the service.
    pub(crate) daemon: String,
}

/// The value of [`CellKey::Member`]. It exists while the daemon holds its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct MemberEntry {
    /// Address at which the daemon serves peers.
    pub(crate) address: String,
    /// Processor time that the daemon may use, in thousandths of a core.
    pub(crate) cpu_milli: u64,
}

/// The value of [`CellKey::Sequence`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct SequenceEntry {
    /// Epoch of the owner, increased by each takeover.
    pub(crate) epoch: u64,
    /// Number of the latest commit. A takeover does not reset it.
    pub(crate) commit: RecordNumber,
}

/// The value of [`CellKey::Job`].
pub(crate) type StoredJob = PipelineSpec;

/// Encodes a value for the store. Logs an encoding failure and returns an empty value.
pub(crate) fn encode_value<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, config::standard()).unwrap_or_else(|error| {
        log::error!("a value for the store cannot be encoded: {error}");
        Vec::new()
    })
}

/// Decodes the value of a key. Logs a value that cannot be decoded and returns `None`.
pub(crate) fn decode_value<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    let (decoded, _) = decode_front(key, value)?;
    Some(decoded)
}

/// A value whose team is stored behind it, where versions without teams do not look.
pub(crate) trait TeamValue: Serialize + DeserializeOwned {
    /// Returns the team that the value belongs to.
    fn team(&self) -> Option<&TeamId>;

    /// Sets the team that the value belongs to.
    fn set_team(&mut self, team: Option<TeamId>);
}

impl TeamValue for StoredJob {
    fn team(&self) -> Option<&TeamId> {
        self.team.as_ref()
    }

    fn set_team(&mut self, team: Option<TeamId>) {
        self.team = team;
    }
}

impl TeamValue for JobSummary {
    fn team(&self) -> Option<&TeamId> {
        self.team.as_ref()
    }

    fn set_team(&mut self, team: Option<TeamId>) {
        self.team = team;
    }
}

/// Encodes a value for the store, followed by its team if it has one.
pub(crate) fn encode_team_value<T: TeamValue>(value: &T) -> Vec<u8> {
    let mut encoded = encode_value(value);
    if let Some(team) = value.team() {
        encoded.extend(encode_value(team));
    }
    encoded
}

/// Decodes the value of a key and the team that follows it. Logs a value that cannot be decoded
/// and returns `None`.
pub(crate) fn decode_team_value<T: TeamValue>(key: &str, value: &[u8]) -> Option<T> {
    let (mut decoded, rest): (T, _) = decode_front(key, value)?;
    if !rest.is_empty() {
        decoded.set_team(Some(decode_value(key, rest)?));
    }
    Some(decoded)
}

/// Like [`decode_value`], and also returns what follows the decoded part.
pub(super) fn decode_front<'a, T: DeserializeOwned>(
    key: &str,
    value: &'a [u8],
) -> Option<(T, &'a [u8])> {
    match bincode::serde::decode_from_slice(value, config::standard()) {
        Ok((decoded, length)) => Some((decoded, &value[length..])),
        Err(error) => {
            log::error!(key; "a value of the store cannot be decoded: {error}");
            None
        }
    }
}
