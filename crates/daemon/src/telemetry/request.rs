//! The request that a task works on.
//!
//! The logger adds its identifier to each line, and requests to other daemons
//! carry it, so that one request can be followed through all processes.

use std::future::Future;

use auburnsaddle_core::RequestId;

tokio::task_local! {
    static REQUEST: RequestId;
}

/// Runs a future that belongs to a request.
pub(crate) fn trace_request<F: Future>(
    request: RequestId,
    future: F,
) -> impl Future<Output = F::Output> {
    REQUEST.scope(request, future)
}

/// Runs a function that belongs to a request.
pub(crate) fn trace_function<T>(request: RequestId, step: impl FnOnce() -> T) -> T {
    REQUEST.sync_scope(request, step)
}

/// Returns the request that the present task works on.
pub(crate) fn current_request_id() -> Option<RequestId> {
    REQUEST.try_with(|request| *request).ok()
}

/// Returns an identifier as headers and log lines show it.
pub(crate) fn format_request_id(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Reads an identifier: 32 hexadecimal digits, with or without the hyphens of a
/// UUID.
pub(crate) fn parse_request_id(text: &str) -> Option<RequestId> {
    uuid::Uuid::try_parse(text).ok().map(|id| id.as_u128())
}
