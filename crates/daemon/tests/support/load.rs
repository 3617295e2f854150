//! Callers that send calls one after the other until they are stopped.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use tokio::task::JoinHandle;

use super::{CallResult, TestCluster};

/// Time between the calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(5);

/// The daemons that callers know; one that refuses the connection is passed
/// over in favour of the next.
pub type AddressBook = Arc<Mutex<Vec<SocketAddr>>>;

/// Running callers.
pub struct CallerLoad {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<CallResult>>>,
}

impl CallerLoad {
    /// Starts callers, `callers` of them at each named daemon. The body of each
    /// call is its own.
    pub fn start(cluster: &Arc<TestCluster>, daemons: &[usize], callers: usize) -> Self {
        let book = cluster.address_book();
        Self::start_with_book(cluster, &book, daemons, callers)
    }

    /// Does the same with addresses that may change.
    pub fn start_with_book(
        cluster: &Arc<TestCluster>,
        book: &AddressBook,
        daemons: &[usize],
        callers: usize,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        // A runner that answers in parts repeats its answer in each of them.
        let parts = cluster.runners[0].lock().behaviour.chunks.max(1) as usize;
        let places = daemons
            .iter()
            .flat_map(|daemon| (0..callers).map(|caller| (*daemon, caller)));
        let callers = places.map(|(daemon, caller)| {
            let cluster = Arc::clone(cluster);
            let book = Arc::clone(book);
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let mut results = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let body = format!("{daemon}-{caller}-{}", results.len());
                    let result = call_any(&cluster, &book, daemon, &body).await;
                    results.push(check_body(result, &body, parts));
                    tokio::time::sleep(CALL_INTERVAL).await;
                }
                results
            })
        });
        Self {
            callers: callers.collect(),
            stop,
        }
    }

    /// Ends the callers after their present calls and returns all results.
    pub async fn finish(self) -> Vec<CallResult> {
        self.stop.store(true, Ordering::Relaxed);
        let mut results = Vec::new();
        for caller in self.callers {
            results.extend(caller.await.expect("callers do not panic"));
        }
        results
    }
}

/// Calls a daemon, and each other one in turn while connections are refused.
async fn call_any(
    cluster: &TestCluster,
    book: &AddressBook,
    first: usize,
    body: &str,
) -> CallResult {
    let addresses = book.lock().unwrap_or_else(PoisonError::into_inner).clone();
    for step in 0..addresses.len() {
        let address = addresses[(first + step) % addresses.len()];
        match cluster.call_at(address, body).await {
            CallResult::NotConnected => {}
            result => return result,
        }
    }
    CallResult::NotConnected
}

/// Gives all whole answers the same body, and an answer to another call a body
/// that says so.
fn check_body(result: CallResult, body: &str, parts: usize) -> CallResult {
    match result {
        CallResult::Answered(StatusCode::OK, outcome, answer) => {
            let text = if answer == format!("done: {body}").repeat(parts) {
                "whole".to_owned()
            } else {
                format!("`{answer}` in answer to {body}")
            };
            CallResult::Answered(StatusCode::OK, outcome, text)
        }
        other => other,
    }
}

/// Returns the result of a call that was answered in full.
pub fn complete_result() -> CallResult {
    CallResult::Answered(StatusCode::OK, String::new(), "whole".to_owned())
}

/// Returns the results that are neither whole nor permitted.
pub fn unexpected_results<F>(results: &[CallResult], permitted: F) -> Vec<&CallResult>
where
    F: Fn(&CallResult) -> bool,
{
    let others = results
        .iter()
        .filter(|result| **result != complete_result());
    others.filter(|result| !permitted(result)).collect()
}
