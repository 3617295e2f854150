//! Responses to callers and operators.

use auburnsaddle_core::{ErrorReply, NotRunReason, UnknownReason};
use std::collections::BTreeMap;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use snafu::Snafu;

use super::body::FrontBody;
use crate::{calls::BodyError, control::ControlDump};

/// Response header with `not-run` or `unknown` for a request that got no regular
/// response.
pub(super) const OUTCOME_HEADER: &str = "auburnsaddle-outcome";

/// Value of `Retry-After` for requests that were not run, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// A response to a caller or operator.
pub(crate) type FrontResponse = Response<FrontBody>;

/// The response to `/admin/dump`.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct DumpReply {
    /// The state of the control thread, or `None` while the daemon shuts down.
    pub(super) control: Option<Box<ControlDump>>,
    /// Number of events in the queue of the control thread.
    pub(super) queue_depth: usize,
    /// Number of calls to the store, by kind of call.
    pub(super) store_calls: BTreeMap<&'static str, u64>,
}

/// Returns a response with a text body.
pub(super) fn text_response(text: String) -> FrontResponse {
    Response::new(FrontBody::Full(Full::new(Bytes::from(text))))
}

/// Returns a response with a JSON body.
pub(super) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> FrontResponse {
    let (status, bytes) = match serde_json::to_vec(value) {
        Ok(bytes) => (status, bytes),
        Err(error) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            error.to_string().into_bytes(),
        ),
    };
    let mut response = Response::new(FrontBody::Full(Full::new(Bytes::from(bytes))));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// A failed request: the error and its remedy, which are sent as JSON.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("{error}; {remedy}"))]
pub(super) struct FrontError {
    status: StatusCode,
    error: String,
    remedy: &'static str,
    details: Vec<String>,
    /// Whether the same request can succeed after [`RETRY_AFTER_SECONDS`].
    is_temporary: bool,
}

impl FrontError {
    /// Returns an error without details. `remedy` tells the caller what to do next.
    pub(super) fn new(status: StatusCode, error: &str, remedy: &'static str) -> Self {
        Self {
            status,
            error: error.to_owned(),
            remedy,
            details: Vec::new(),
            is_temporary: false,
        }
    }

    /// Sets the details, with one text for each problem or change.
    pub(super) fn with_details(mut self, details: Vec<String>) -> Self {
        self.details = details;
        self
    }
}

impl From<NotRunReason> for FrontError {
    fn from(reason: NotRunReason) -> Self {
        let error = format!("not run: {reason}");
        Self {
            is_temporary: true,
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, &error, reason.remedy())
        }
    }
}

impl From<BodyError> for FrontError {
    fn from(fault: BodyError) -> Self {
        match fault {
            BodyError::TooLarge => Self::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
                "send a smaller body, or raise max_body_bytes of the service; \
                 with a key, a body has at most 983040 bytes",
            ),
            BodyError::TimedOut => Self::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
                "send the request again, its body without pauses",
            ),
            BodyError::BrokenOff => Self::new(
                StatusCode::BAD_REQUEST,
                "the body broke off",
                "send the request again with its whole body",
            ),
        }
    }
}

impl From<FrontError> for FrontResponse {
    fn from(error: FrontError) -> Self {
        let mut response = json_response(
            error.status,
            &ErrorReply {
                error: error.error,
                remedy: error.remedy.to_owned(),
                details: error.details,
            },
        );
        if error.is_temporary {
            let seconds = HeaderValue::from_static(RETRY_AFTER_SECONDS);
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

/// Returns the response to a request that has certainly not run.
pub(super) fn not_run_response(reason: NotRunReason) -> FrontResponse {
    mark_not_run(FrontError::from(reason).into())
}

/// Sets the outcome header of a response to `not-run`.
pub(super) fn mark_not_run(mut response: FrontResponse) -> FrontResponse {
    let value = HeaderValue::from_static("not-run");
    response.headers_mut().insert(OUTCOME_HEADER, value);
    response
}

/// Returns the response to a request that may have run.
pub(super) fn unknown_response(reason: UnknownReason) -> FrontResponse {
    let error = format!("outcome unknown: {reason}");
    let status = match reason {
        UnknownReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        UnknownReason::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
        UnknownReason::BodyBrokenOff => StatusCode::BAD_REQUEST,
        _ => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = FrontResponse::from(FrontError::new(status, &error, reason.remedy()));
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static("unknown"));
    response
}
