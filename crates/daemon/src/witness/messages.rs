//! The announcement of an epoch to a witness.

use std::time::Duration;

use auburnsaddle_core::{Epoch, ServiceId};
use auburnsaddle_platform::HttpEndpoint;
use serde::{Deserialize, Serialize};

/// Path at which a daemon accepts announcements.
pub(crate) const WITNESS_PATH: &str = "/epoch";

/// Time limit of an announcement. It is repeated until it is answered.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// An announcement of the present ownership of a service by its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EpochNotice {
    pub(crate) service: ServiceId,
    pub(crate) epoch: Epoch,
}

/// The answer of a witness.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EpochReply {
    /// Name of the witness.
    pub(crate) daemon: String,
    /// Revision of its registration in the store; 0 while it has none.
    pub(crate) registration: u64,
    /// Highest epoch of the service that was announced to it.
    pub(crate) epoch: Epoch,
}

/// Announces an epoch. Returns `None` if the witness does not answer in time.
pub(crate) async fn announce_epoch(
    witness: &HttpEndpoint,
    notice: &EpochNotice,
) -> Option<EpochReply> {
    let body = serde_json::to_vec(notice).ok()?;
    // A failure needs no log line: the owner logs what it waits for.
    let response = witness
        .post_json(WITNESS_PATH, body, NOTICE_TIMEOUT)
        .await
        .ok()??;
    match serde_json::from_slice(&response) {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::warn!("the answer of a witness cannot be decoded: {error}");
            None
        }
    }
}
