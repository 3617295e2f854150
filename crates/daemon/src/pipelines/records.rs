//! Keys and values in the store.

use auburnsaddle_core::{PipelineId, PipelineSpec, ServiceId};
use bincode::config;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::log::RecordNumber;

/// Everything that the daemons write is below this prefix.
pub(crate) const KEY_PREFIX: &str = "auburnsaddle/";

/// Owners and daemons, which every daemon watches.
pub(crate) const PUBLIC_PREFIX: &str = "auburnsaddle/pub/";

/// Summaries of all jobs, which every daemon watches at a slower pace.
pub(crate) const SUMMARY_PREFIX: &str = "auburnsaddle/phase/";

/// A key of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CellKey {
    /// The owner of a service.
    Owner(ServiceId),
    /// A daemon.
    Member(String),
    /// The summary of a job.
    Summary(PipelineId),
    /// The latest commit of a service.
    Sequence(ServiceId),
    /// A job.
    Job(ServiceId, PipelineId),
    /// A cancellation.
    Cancellation(ServiceId, PipelineId),
    /// A record of the progress of a service's jobs.
    Record(ServiceId, RecordNumber),
}

impl CellKey {
    /// Returns the key as the store spells it.
    pub(crate) fn path(&self) -> String {
        match self {
            Self::Owner(service) => format!("{PUBLIC_PREFIX}owner/{service}"),
            Self::Member(daemon) => format!("{PUBLIC_PREFIX}member/{daemon}"),
            Self::Summary(id) => format!("{SUMMARY_PREFIX}{id:016x}"),
            Self::Sequence(service) => format!("{KEY_PREFIX}seq/{service}"),
            Self::Job(service, id) => format!("{KEY_PREFIX}job/{service}/j{id:016x}"),
            Self::Cancellation(service, id) => format!("{KEY_PREFIX}job/{service}/x{id:016x}"),
            Self::Record(service, number) => {
                format!("{}{number:016x}", Self::record_prefix(service))
            }
        }
    }

    /// Reads a key; `None` if another version wrote it.
    pub(crate) fn parse(path: &str) -> Option<Self> {
        let rest = path.strip_prefix(KEY_PREFIX)?;
        let id = |text: &str| PipelineId::from_str_radix(text, 16).ok();
        let parts: Vec<&str> = rest.split('/').collect();
        match parts[..] {
            ["pub", "owner", service] => Some(Self::Owner(service.into())),
            ["pub", "member", daemon] => Some(Self::Member(daemon.to_owned())),
            ["phase", job] => Some(Self::Summary(id(job)?)),
            ["seq", service] => Some(Self::Sequence(service.into())),
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

    /// Returns the prefix of the jobs and cancellations of a service.
    pub(crate) fn job_prefix(service: &str) -> String {
        format!("{KEY_PREFIX}job/{service}/")
    }

    /// Returns the prefix of the records of a service, whose keys are in the order
    /// of their numbers.
    pub(crate) fn record_prefix(service: &str) -> String {
        format!("{KEY_PREFIX}prog/{service}/")
    }
}

/// The owner of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct OwnerEntry {
    /// The daemon.
    pub(crate) daemon: String,
}

/// A daemon that is up.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct MemberEntry {
    /// Where it answers peers.
    pub(crate) address: String,
    /// Processors that it may use, in thousandths of a core.
    pub(crate) cpu_milli: u64,
}

/// The latest commit of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct SequenceEntry {
    /// Epoch of the owner; each takeover raises it.
    pub(crate) epoch: u64,
    /// Number of the commit, which goes on over takeovers.
    pub(crate) commit: RecordNumber,
}

/// A job as it is stored.
pub(crate) type StoredJob = PipelineSpec;

/// Encodes a value.
pub(crate) fn encode_value<T: Serialize>(record: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(record, config::standard()).unwrap_or_else(|error| {
        log::error!("a record cannot be encoded: {error}");
        Vec::new()
    })
}

/// Decodes a value; one that cannot be read is logged and left out.
pub(crate) fn decode_value<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    match bincode::serde::decode_from_slice(value, config::standard()) {
        Ok((record, _)) => Some(record),
        Err(error) => {
            log::error!(key; "a record of the store cannot be decoded: {error}");
            None
        }
    }
}
