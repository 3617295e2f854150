//! Propagation of request IDs.
//!
//! The ID of a caller's request is stored in a task-local variable. The logger adds
//! it to each line and requests to other daemons carry it, so that a request can
//! be traced through all processes.

use std::future::Future;

use auburnsaddle_core::RequestId;

tokio::task_local! {
    static CURRENT_REQUEST_ID: RequestId;
}

/// Returns a future that runs with a request ID set.
pub(crate) fn trace_request<F: Future>(
    request: RequestId,
    future: F,
) -> impl Future<Output = F::Output> {
    CURRENT_REQUEST_ID.scope(request, future)
}

/// Runs a synchronous function with a request ID set.
pub(crate) fn trace_function<T>(request: RequestId, function: impl FnOnce() -> T) -> T {
    CURRENT_REQUEST_ID.sync_scope(request, function)
}

/// Returns the ID of the request that the current task processes, if any.
pub(crate) fn current_request_id() -> Option<RequestId> {
    CURRENT_REQUEST_ID.try_with(|request| *request).ok()
}

/// Formats a request ID as 32 hexadecimal digits, as in headers and log lines.
pub(crate) fn format_request_id(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Parses a request ID: a UUID with or without hyphens.
pub(crate) fn parse_request_id(text: &str) -> Option<RequestId> {
    uuid::Uuid::try_parse(text).ok().map(|id| id.as_u128())
}
