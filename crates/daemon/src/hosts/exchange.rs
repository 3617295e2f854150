//! Classification of failed exchanges with targets.

use auburnsaddle_core::{NotRunReason, UnknownReason};
use http::{Response, StatusCode};

/// Response header with which a target rejects a request that it did not run.
const NOT_RUN_HEADER: &str = "auburnsaddle-not-run";

/// Reason for a missing response, by whether the target may have run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangeFailure {
    /// The target certainly did not process the request.
    NotRun(NotRunReason),
    /// The target may have processed the request.
    Unknown(UnknownReason),
}

/// Classifies the failure of a request.
///
/// A request was certainly not run if no connection was established, or if HTTP/2
/// guarantees that the stream was not processed: after `REFUSED_STREAM`, or after
/// a `GOAWAY` whose last stream ID is lower. `h2` reports a remote `GOAWAY` only
/// on streams above that ID; the others fail when the connection closes.
pub(crate) fn classify_failure(error: &hyper_util::client::legacy::Error) -> ExchangeFailure {
    if error.is_connect() {
        return ExchangeFailure::NotRun(NotRunReason::TargetUnreachable);
    }
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        match inner.downcast_ref::<h2::Error>() {
            Some(error) if is_unprocessed(error) => {
                return ExchangeFailure::NotRun(NotRunReason::RejectedByTarget);
            }
            Some(error) if error.is_reset() && error.is_remote() => {
                return ExchangeFailure::Unknown(UnknownReason::TargetReset);
            }
            _ => cause = inner.source(),
        }
    }
    ExchangeFailure::Unknown(UnknownReason::ConnectionLost)
}

/// Returns the reason of an admission rejection, or `None` for any other response.
pub(crate) fn admission_rejection<B>(response: &Response<B>) -> Option<&str> {
    let reason = response.headers().get(NOT_RUN_HEADER)?;
    let rejected = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    rejected.then(|| reason.to_str().unwrap_or_default())
}

fn is_unprocessed(error: &h2::Error) -> bool {
    let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    error.is_remote() && (refused || error.is_go_away())
}
