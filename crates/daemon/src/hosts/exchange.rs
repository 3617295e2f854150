//! What an exchange with a target that gave no answer says about the request.

use auburnsaddle_core::{NotRunReason, UnknownReason};
use http::{Response, StatusCode};

/// Response header with which a target says that it ran nothing.
const NOT_RUN_HEADER: &str = "auburnsaddle-not-run";

/// Why an exchange gave no answer, by what is known about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangeFailure {
    /// The target certainly did not process the request.
    NotRun(NotRunReason),
    /// The target may have processed the request.
    Unknown(UnknownReason),
}

/// Classifies the failure of a request that was handed to a connection.
///
/// A request was not run if there was no connection, or if HTTP/2 says that the
/// stream was not processed: `REFUSED_STREAM`, or a `GOAWAY` whose last stream
/// comes before it. `h2` reports a remote `GOAWAY` only to the streams above
/// the last one; earlier streams fail with the end of the connection.
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

/// Returns the reason of an admission rejection, or `None` for any other answer.
pub(crate) fn admission_rejection<B>(response: &Response<B>) -> Option<&str> {
    let reason = response.headers().get(NOT_RUN_HEADER)?;
    let rejected = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    rejected.then(|| reason.to_str().unwrap_or_default())
}

fn is_unprocessed(error: &h2::Error) -> bool {
    let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
    error.is_remote() && (refused || error.is_go_away())
}
