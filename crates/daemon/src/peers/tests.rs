//! Tests of peer messages and connections on loopback.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::Heartbeat;
use bytes::BytesMut;
use proptest::prelude::*;
use tokio::{net::TcpListener, sync::mpsc};

use super::{
    PeerClient, PeerError, PeerHandler, PeerReply, PeerRequest, PeerTraffic,
    codec::{PROTOCOL_VERSION, decode, encode},
    heartbeats::{encode_frame, take_frame},
    serve_peers,
};

/// Guards against misinterpreting messages of an incompatible version.
#[test]
fn other_versions_are_rejected() {
    let mut bytes = encode(&PeerReply::Noted).unwrap().to_vec();
    bytes[0] = PROTOCOL_VERSION + 1;

    let error = decode::<PeerReply>(&bytes).unwrap_err();

    assert!(matches!(error, PeerError::Version { .. }));
}

fn heartbeat(config_version: u64) -> PeerRequest {
    PeerRequest::Heartbeat(Heartbeat {
        daemon: "daemon-0".into(),
        config_version,
        suspected: BTreeSet::new(),
        draining: false,
        owned_digest: u64::MAX,
        loads: BTreeMap::new(),
    })
}

/// Guards against heartbeats that are lost or misread when a chunk of the stream
/// ends inside a message.
#[test]
fn frames_are_decoded_for_any_chunk_size() {
    let sent: Vec<_> = (0..3).map(heartbeat).collect();
    let frames = sent.iter().map(|message| encode_frame(message).unwrap());
    let bytes = frames.collect::<Vec<_>>().concat();

    for chunk_size in 1..bytes.len() {
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for chunk in bytes.chunks(chunk_size) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = take_frame(&mut buffer) {
                received.push(decode::<PeerRequest>(&frame).unwrap());
            }
        }

        assert_eq!(format!("{received:?}"), format!("{sent:?}"));
    }
}

/// Bounds the wait for a message on loopback, where delivery takes milliseconds.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards received requests to the test.
#[derive(Clone)]
struct RequestRecorder(mpsc::UnboundedSender<PeerRequest>);

impl PeerHandler for RequestRecorder {
    async fn handle(&self, request: PeerRequest) -> PeerReply {
        let _ = self.0.send(request);
        PeerReply::Noted
    }
}

/// Guards against heartbeats that are not delivered on a new stream, on a reused
/// stream or on a replaced connection, and against a heartbeat that takes more
/// than its budget of 60 bytes.
#[tokio::test]
async fn heartbeats_arrive_on_new_reused_and_replaced_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut received) = mpsc::unbounded_channel();
    tokio::spawn(serve_peers(
        listener,
        RequestRecorder(sender),
        PeerTraffic::default(),
    ));
    let client = PeerClient::default();
    let mut bytes = Vec::new();

    for version in 0..6 {
        let PeerRequest::Heartbeat(message) = heartbeat(version) else {
            unreachable!("`heartbeat` returns heartbeats only");
        };
        let before = client.traffic().bytes();
        let sent = client.send_heartbeat(address, message, version == 3).await;
        let arrived = tokio::time::timeout(ARRIVAL_TIMEOUT, received.recv()).await;
        let arrived = arrived.expect("heartbeats arrive");

        assert_eq!(sent, Ok(()));
        assert_eq!(
            format!("{arrived:?}"),
            format!("{:?}", Some(heartbeat(version)))
        );
        bytes.push(client.traffic().bytes() - before);
    }
    assert!(bytes[5] <= 60, "{bytes:?}");
}

/// Guards against a refused connection that is reported as an unreachable peer:
/// a refusal shows that the process has ended.
#[tokio::test]
async fn a_refused_connection_is_not_reported_as_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let error = PeerClient::default()
        .send(address, &heartbeat(1))
        .await
        .unwrap_err();

    assert!(matches!(error, PeerError::Refused { .. }), "{error}");
}

proptest! {
    /// Guards against a malformed message that makes a daemon panic.
    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut versioned = vec![PROTOCOL_VERSION];
        versioned.extend(&bytes);

        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerRequest>(&versioned);
    }
}
