//! Tests of the peer codec.

use proptest::prelude::*;

use super::{
    PeerReply, PeerRequest,
    codec::{PROTOCOL_VERSION, decode, encode},
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
