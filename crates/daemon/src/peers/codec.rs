//! Binary encoding of peer messages: a version byte, then `bincode`.

use bincode::config::{self, Configuration};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use serde::{Serialize, de::DeserializeOwned};

use super::messages::PeerError;

/// Protocol version, incremented with each incompatible change of the messages.
pub(super) const PROTOCOL_VERSION: u8 = 1;

/// Bounds a message body; no message contains more than one store value.
pub(super) const MESSAGE_LIMIT_BYTES: usize = 1 << 20;

const BINCODE_CONFIG: Configuration = config::standard();

/// Encodes a message, prefixed with the version byte.
pub(super) fn encode<T: Serialize>(message: &T) -> Result<Bytes, PeerError> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bincode::serde::encode_into_std_write(message, &mut bytes, BINCODE_CONFIG).map_err(
        |error| PeerError::Malformed {
            message: error.to_string(),
        },
    )?;
    Ok(Bytes::from(bytes))
}

/// Decodes a complete body; trailing bytes are an error.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    let (version, body) = match bytes {
        [] => {
            return Err(PeerError::Malformed {
                message: "empty body".to_owned(),
            });
        }
        [version, body @ ..] => (*version, body),
    };
    if version != PROTOCOL_VERSION {
        return Err(PeerError::Version {
            found: version,
            expected: PROTOCOL_VERSION,
        });
    }
    match bincode::serde::decode_from_slice(
        body,
        BINCODE_CONFIG.with_limit::<MESSAGE_LIMIT_BYTES>(),
    ) {
        Ok((message, length)) if length == body.len() => Ok(message),
        Ok(_) => Err(PeerError::Malformed {
            message: "bytes after the message".to_owned(),
        }),
        Err(error) => Err(PeerError::Malformed {
            message: error.to_string(),
        }),
    }
}

/// Reads a request or response body of at most [`MESSAGE_LIMIT_BYTES`].
pub(super) async fn read_body(mut stream: RecvStream) -> Result<Bytes, PeerError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|error| PeerError::Interrupted {
            message: error.to_string(),
        })?;
        if body.len() + chunk.len() > MESSAGE_LIMIT_BYTES {
            return Err(PeerError::TooLong {
                limit: MESSAGE_LIMIT_BYTES,
            });
        }
        // Releasing capacity fails only if the stream is already closed.
        let _ = stream.flow_control().release_capacity(chunk.len());
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
