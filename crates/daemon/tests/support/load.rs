//! Load generation: concurrent callers, each of which sends calls one after the
//! other until it is stopped.

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

/// Pause of a caller between the result of a call and its next call.
const CALL_INTERVAL: Duration = Duration::from_millis(5);

/// Addresses of the daemons, shared with the callers. If a daemon refuses the
/// connection, a caller tries the next address.
pub type AddressBook = Arc<Mutex<Vec<SocketAddr>>>;

/// A set of running callers.
pub struct CallerLoad {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<CallResult>>>,
}

impl CallerLoad {
    /// Starts `callers` callers for each of the daemons, with the present
    /// addresses of the cluster. Each call has a different body.
    pub fn start(cluster: &Arc<TestCluster>, daemons: &[usize], callers: usize) -> Self {
        let book = cluster.address_book();
        Self::start_with_book(cluster, &book, daemons, callers)
    }

    /// Starts callers like [`Self::start`], with a list of addresses that the test
    /// can change while they run.
    pub fn start_with_book(
        cluster: &Arc<TestCluster>,
        book: &AddressBook,
        daemons: &[usize],
        callers: usize,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        // A runner that responds in several chunks repeats its text in each chunk.
        let chunk_count = cluster.runners[0].lock().behaviour.chunks.max(1) as usize;
        let assignments = daemons
            .iter()
            .flat_map(|daemon| (0..callers).map(|caller| (*daemon, caller)));
        let callers = assignments.map(|(daemon, caller)| {
            let cluster = Arc::clone(cluster);
            let book = Arc::clone(book);
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let mut results = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let body = format!("{daemon}-{caller}-{}", results.len());
                    let result = call_with_failover(&cluster, &book, daemon, &body).await;
                    results.push(check_body(result, &body, chunk_count));
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

    /// Stops the callers after their current calls and returns all results.
    pub async fn finish(self) -> Vec<CallResult> {
        self.stop.store(true, Ordering::Relaxed);
        let mut results = Vec::new();
        for caller in self.callers {
            results.extend(caller.await.expect("callers do not panic"));
        }
        results
    }
}

/// Sends a call to the daemon at index `first`, and to the following ones in
/// order as long as the connection is refused.
async fn call_with_failover(
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

/// Replaces the body of a correct response by the text `whole`, so that all
/// correct results are equal, and any other body by a description of the
/// mismatch.
fn check_body(result: CallResult, body: &str, chunk_count: usize) -> CallResult {
    match result {
        CallResult::Answered(StatusCode::OK, outcome, response_body) => {
            let checked_body = if response_body == format!("done: {body}").repeat(chunk_count) {
                "whole".to_owned()
            } else {
                format!("`{response_body}` in response to {body}")
            };
            CallResult::Answered(StatusCode::OK, outcome, checked_body)
        }
        other => other,
    }
}

/// Returns the result of a call whose response was complete and correct.
pub fn complete_result() -> CallResult {
    CallResult::Answered(StatusCode::OK, String::new(), "whole".to_owned())
}

/// Returns the results that are neither [`complete_result`] nor permitted.
pub fn unexpected_results<F>(results: &[CallResult], permitted: F) -> Vec<&CallResult>
where
    F: Fn(&CallResult) -> bool,
{
    let others = results
        .iter()
        .filter(|result| **result != complete_result());
    others.filter(|result| !permitted(result)).collect()
}
