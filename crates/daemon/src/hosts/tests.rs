//! Tests of the classification of failed exchanges against scripted servers, and
//! of the host list client against the stand-in platform.

use std::sync::{Arc, Mutex};

use auburnsaddle_core::{NotRunReason, UnknownReason};
use auburnsaddle_standins::{
    http::serve,
    platform::{self, SharedPlatform},
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{
    HostClient, HostSource,
    exchange::{ExchangeFailure, admission_rejection, classify_failure},
};

const SETTINGS_FRAME: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];

/// A `GOAWAY` frame with the reason `NO_ERROR`.
const fn goaway_frame(last_stream: u8) -> [u8; 17] {
    [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, last_stream, 0, 0, 0, 0]
}

/// A `RST_STREAM` frame for the first stream of a client.
const fn reset_frame(reason: u8) -> [u8; 13] {
    [0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, reason]
}

/// Sends a request to a server that responds with raw frames and closes the
/// connection, and returns the classified failure.
async fn send_and_classify(frames: &'static [u8]) -> ExchangeFailure {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    let server = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("one connection");
        respond_with(stream, frames).await;
    });
    let failure = send(&address.to_string()).await;
    server.await.expect("the server does not panic");
    failure
}

async fn respond_with(mut stream: TcpStream, frames: &[u8]) {
    /// `END_STREAM` and `END_HEADERS` of a `HEADERS` frame of stream 1.
    const FIRST_STREAM_HEADERS: [u8; 6] = [1, 5, 0, 0, 0, 1];
    let _ = stream.write_all(&SETTINGS_FRAME).await;
    let mut received = Vec::new();
    while !received
        .windows(FIRST_STREAM_HEADERS.len())
        .any(|window| window == FIRST_STREAM_HEADERS)
    {
        if stream
            .read_buf(&mut received)
            .await
            .is_ok_and(|read| read == 0)
        {
            return;
        }
    }
    let _ = stream.write_all(frames).await;
    let _ = stream.shutdown().await;
    // Closing a socket with unread bytes would reset the connection before the
    // client reads the frames.
    let _ = stream.read_to_end(&mut received).await;
}

async fn send(address: &str) -> ExchangeFailure {
    let client = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .retry_canceled_requests(false)
        .build_http::<Empty<Bytes>>();
    let request = Request::get(format!("http://{address}/"))
        .body(Empty::new())
        .expect("the request is valid");
    let error = client
        .request(request)
        .await
        .expect_err("no server sends a response");
    classify_failure(&error)
}

/// Guards against an unknown outcome for a request that certainly was not run.
#[tokio::test]
async fn unprocessed_streams_are_not_run() {
    const REFUSED: &[u8] = &reset_frame(7);
    const GOAWAY_BEFORE: &[u8] = &goaway_frame(0);

    let refused = send_and_classify(REFUSED).await;
    let goaway = send_and_classify(GOAWAY_BEFORE).await;

    let not_run = ExchangeFailure::NotRun(NotRunReason::RejectedByTarget);
    assert_eq!([refused, goaway], [not_run; 2]);
}

/// Guards against reporting a request as not run although the target may have
/// run it.
#[tokio::test]
async fn processed_streams_are_unknown() {
    const CANCELLED: &[u8] = &reset_frame(8);
    const GOAWAY_AFTER: &[u8] = &goaway_frame(1);

    let cancelled = send_and_classify(CANCELLED).await;
    let goaway = send_and_classify(GOAWAY_AFTER).await;
    let closed = send_and_classify(&[]).await;

    let reset = ExchangeFailure::Unknown(UnknownReason::TargetReset);
    let lost = ExchangeFailure::Unknown(UnknownReason::ConnectionLost);
    assert_eq!([cancelled, goaway, closed], [reset, lost, lost]);
}

/// Guards against an unknown outcome for a request that was never sent.
#[tokio::test]
async fn refused_connections_are_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    drop(listener);

    let failure = send(&address.to_string()).await;

    let not_run = ExchangeFailure::NotRun(NotRunReason::TargetUnreachable);
    assert_eq!(failure, not_run);
}

/// Guards against treating a response with the header but another status as a
/// rejection.
#[test]
fn only_503_is_an_admission_rejection() {
    let response_with = |status| {
        Response::builder()
            .status(status)
            .header("auburnsaddle-not-run", "full")
            .body(())
            .expect("the response is valid")
    };

    let rejected = response_with(StatusCode::SERVICE_UNAVAILABLE);
    let successful = response_with(StatusCode::OK);

    assert_eq!(admission_rejection(&rejected), Some("full"));
    assert_eq!(admission_rejection(&successful), None);
}

/// Guards against an unchanged list that is transferred again, and against a
/// change that the conditional request misses.
#[tokio::test]
async fn an_unchanged_list_is_not_transferred() {
    let (platform, statuses) = (SharedPlatform::default(), Arc::new(Mutex::new(Vec::new())));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    let (served, recorded) = (platform.clone(), Arc::clone(&statuses));
    tokio::spawn(serve(listener, Arc::default(), move |request| {
        let (pending, recorded) = (
            platform::handle(served.clone(), request),
            Arc::clone(&recorded),
        );
        async move {
            let response = pending.await?;
            recorded
                .lock()
                .expect("the lock is not poisoned")
                .push(response.status());
            Ok(response)
        }
    }));
    let host = |state| serde_json::json!({ "name": "worker-0", "state": state });
    let mut client = HostClient::new(address);

    let mut lengths = Vec::new();
    for state in ["live", "live", "leaving"] {
        platform.lock().hosts = vec![host(state)];
        let entries = client.read().await.expect("a list");
        lengths.push(entries.map(|entries| entries.len()));
    }

    assert_eq!(lengths, [Some(1), None, Some(1)]);
    let expected = [StatusCode::OK, StatusCode::NOT_MODIFIED, StatusCode::OK];
    assert_eq!(
        *statuses.lock().expect("the lock is not poisoned"),
        expected
    );
}
