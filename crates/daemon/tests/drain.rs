//! Tests of callers' connections to a daemon that drains. A longer response at
//! another connection keeps the daemon running until the tested calls have ended.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::{
        http1::{SendRequest, handshake},
        http2,
    },
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::{DaemonProcess, TestCluster, WAIT_TIMEOUT};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Chunks of a response that ends long after a draining daemon has stopped to
/// accept connections.
const LONG_CHUNKS: u32 = 200;

/// Chunks of a response that ends long after one of [`LONG_CHUNKS`].
const LONGEST_CHUNKS: u32 = 1_000;

/// Pause of a caller between two calls, in which a closed connection is noticed.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// A call as it is sent on a connection.
const RAW_CALL: &str = "POST /v1/services/settlement/redeem HTTP/1.1\r\n\
    host: daemon\r\ncontent-length: 5\r\n\r\ntoken";

/// The end of a call as its caller sees it.
#[derive(Debug, Eq, PartialEq)]
struct CallEnd {
    status: StatusCode,
    /// Whether the response asks the caller to close the connection.
    is_last: bool,
    chunks: usize,
}

/// A caller with one connection, which it never opens again.
struct OneConnectionCaller {
    sender: SendRequest<Full<Bytes>>,
}

impl OneConnectionCaller {
    /// Connects to a daemon.
    async fn connect(daemon: &DaemonProcess) -> Self {
        let stream = TcpStream::connect(daemon.address)
            .await
            .expect("the daemon accepts connections");
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .expect("a new connection");
        tokio::spawn(connection);
        Self { sender }
    }

    /// Sends a call and returns the head of its response.
    async fn start_call(&mut self) -> hyper::Result<Response<Incoming>> {
        self.sender.ready().await?;
        self.sender.send_request(call_request()).await
    }

    /// Sends a call and reads its whole response.
    async fn call(&mut self) -> hyper::Result<CallEnd> {
        let response = self.start_call().await?;
        finish_call(response).await
    }
}

fn call_request() -> Request<Full<Bytes>> {
    Request::post("http://daemon/v1/services/settlement/redeem")
        .header(header::HOST, "daemon")
        .header(
            "auburnsaddle-deadline-ms",
            WAIT_TIMEOUT.as_millis().to_string(),
        )
        .body(Full::new(Bytes::from_static(b"token")))
        .expect("the request is well-formed")
}

/// Reads the rest of a response.
async fn finish_call(response: Response<Incoming>) -> hyper::Result<CallEnd> {
    let status = response.status();
    let connection = response.headers().get(header::CONNECTION);
    let is_last = connection.is_some_and(|value| value == "close");
    let body = response.into_body().collect().await?.to_bytes();
    let chunks = body.len() / "done: token".len();
    Ok(CallEnd {
        status,
        is_last,
        chunks,
    })
}

/// Returns the end of a call whose response was complete.
fn answered_call(chunks: u32, is_last: bool) -> CallEnd {
    CallEnd {
        status: StatusCode::OK,
        is_last,
        chunks: chunks as usize,
    }
}

/// Sets the number of chunks of the responses to calls that start from now on.
fn set_chunks(cluster: &TestCluster, chunks: u32) {
    for runner in &cluster.runners {
        runner.lock().behaviour.chunks = chunks;
    }
}

/// Guards against a drain that closes a connection after a response that began
/// before the drain and therefore could not announce the close.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_takes_a_call_after_a_response_from_before_the_drain() {
    let mut cluster = TestCluster::start(2).await;
    let mut caller = OneConnectionCaller::connect(&cluster.daemons[0]).await;
    let mut longest_caller = OneConnectionCaller::connect(&cluster.daemons[0]).await;
    set_chunks(&cluster, LONG_CHUNKS);
    let first = caller.start_call().await.expect("a response");
    set_chunks(&cluster, LONGEST_CHUNKS);
    let longest = longest_caller.start_call().await.expect("a response");
    set_chunks(&cluster, 1);

    cluster.daemons[0].terminate();
    let first = finish_call(first).await;
    tokio::time::sleep(CALL_PAUSE).await;
    let second = caller.call().await;
    let longest = finish_call(longest).await;
    let code = cluster.daemons[0].wait_for_exit_async().await;

    assert_eq!(first.ok(), Some(answered_call(LONG_CHUNKS, false)));
    assert_eq!(
        second.map_err(|error| error.to_string()),
        Ok(answered_call(1, true))
    );
    assert_eq!(longest.ok(), Some(answered_call(LONGEST_CHUNKS, false)));
    assert_eq!(code, Some(0));
}

/// Guards against a drain that closes a caller's idle connections, one of which the
/// caller may be about to use, while other requests keep the daemon running.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_takes_a_call_while_a_drain_waits() {
    let mut cluster = TestCluster::start(2).await;
    let mut caller = OneConnectionCaller::connect(&cluster.daemons[0]).await;
    let mut other_caller = OneConnectionCaller::connect(&cluster.daemons[0]).await;
    let mut longest_caller = OneConnectionCaller::connect(&cluster.daemons[0]).await;
    set_chunks(&cluster, 1);
    let before = caller.call().await;
    set_chunks(&cluster, LONG_CHUNKS);
    let long = other_caller.start_call().await.expect("a response");
    set_chunks(&cluster, LONGEST_CHUNKS);
    let longest = longest_caller.start_call().await.expect("a response");
    set_chunks(&cluster, 1);

    cluster.daemons[0].terminate();
    let long = finish_call(long).await;
    let after = caller.call().await;
    let longest = finish_call(longest).await;
    let code = cluster.daemons[0].wait_for_exit_async().await;

    assert_eq!(before.ok(), Some(answered_call(1, false)));
    assert_eq!(long.ok(), Some(answered_call(LONG_CHUNKS, false)));
    assert_eq!(
        after.map_err(|error| error.to_string()),
        Ok(answered_call(1, true))
    );
    assert_eq!(longest.ok(), Some(answered_call(LONGEST_CHUNKS, false)));
    assert_eq!(code, Some(0));
}

/// Guards against a drain that drops a request which has arrived by the time the
/// response before it ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_before_the_close_is_answered() {
    let mut cluster = TestCluster::start(2).await;
    let address = cluster.daemons[0].address;
    let mut stream = TcpStream::connect(address).await.expect("a running daemon");
    set_chunks(&cluster, LONG_CHUNKS);
    let mut received = vec![0; RAW_CALL.len()];
    stream.write_all(RAW_CALL.as_bytes()).await.expect("a call");
    let head = stream.read_exact(&mut received).await;
    set_chunks(&cluster, 1);

    cluster.daemons[0].terminate();
    stream.write_all(RAW_CALL.as_bytes()).await.expect("a call");
    let rest = stream.read_to_end(&mut received).await;
    let code = cluster.daemons[0].wait_for_exit_async().await;

    let text = String::from_utf8_lossy(&received);
    assert!(head.is_ok() && rest.is_ok(), "{head:?}, {rest:?}");
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2, "{text}");
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
    assert_eq!(code, Some(0));
}

/// Guards against a drain that lets a caller over HTTP/2 send calls until the end of
/// the requests of all other callers.
#[tokio::test(flavor = "multi_thread")]
async fn an_http2_connection_closes_while_a_drain_waits() {
    let mut cluster = TestCluster::start(2).await;
    let address = cluster.daemons[0].address;
    let stream = TcpStream::connect(address).await.expect("a running daemon");
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("a new connection");
    let connection = tokio::spawn(connection);
    let mut longest_caller = OneConnectionCaller::connect(&cluster.daemons[0]).await;
    set_chunks(&cluster, 1);
    let before = sender.send_request(call_request()).await;
    let before = finish_call(before.expect("a response")).await;
    set_chunks(&cluster, LONGEST_CHUNKS);
    let longest = longest_caller.start_call().await.expect("a response");

    cluster.daemons[0].terminate();
    let longest = tokio::spawn(finish_call(longest));
    let closed = connection.await;
    let is_closed_first = !longest.is_finished();
    let longest = longest.await.expect("no panic");
    let code = cluster.daemons[0].wait_for_exit_async().await;

    assert_eq!(before.ok(), Some(answered_call(1, false)));
    assert!(closed.is_ok() && is_closed_first, "{closed:?}");
    assert_eq!(longest.ok(), Some(answered_call(LONGEST_CHUNKS, false)));
    assert_eq!(code, Some(0));
}
