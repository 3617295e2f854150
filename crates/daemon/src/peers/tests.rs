//! Tests of the peer codec.

use std::collections::{BTreeMap, BTreeSet};

use auburnsaddle_core::Heartbeat;
use bytes::BytesMut;
use proptest::prelude::*;

use super::{
    PeerReply, PeerRequest,
    codec::{PROTOCOL_VERSION, decode, encode},
    heartbeats::{encode_frame, take_frame},
    messages::PeerError,
};

/// Guards against misreading the messages of another version.
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

/// Guards against heartbeats that are lost or misread when the parts of a
/// stream end inside a message.
#[test]
fn messages_of_a_stream_survive_any_split() {
    let sent: Vec<_> = (0..3).map(heartbeat).collect();
    let frames = sent.iter().map(|message| encode_frame(message).unwrap());
    let bytes = frames.collect::<Vec<_>>().concat();

    for part in 1..bytes.len() {
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for chunk in bytes.chunks(part) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = take_frame(&mut buffer) {
                received.push(decode::<PeerRequest>(&frame).unwrap());
            }
        }

        assert_eq!(format!("{received:?}"), format!("{sent:?}"));
    }
}

proptest! {
    /// Guards against a daemon that dies from a malformed message.
    #[test]
    fn any_bytes_give_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut versioned = vec![PROTOCOL_VERSION];
        versioned.extend(&bytes);

        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerRequest>(&versioned);
    }
}
