/*!
Publication of configuration versions, whose numbers only increase.

A version is a complete set of objects. It is published as a [`ConfigDelta`] to
the previous version, together with a [`ConfigHead`] that holds the newest
version number and the digest of its set. [`ConfigState`] holds the version in
force. A delta is accepted only if it follows this version, and any version only
if its digest matches and the whole set is valid. Otherwise the last valid
version stays in force.

A daemon that is behind fetches the missing versions from the store or from a
peer. If the deltas do not reach back far enough, it receives a
[`ConfigSnapshot`].
*/

mod digest;
mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use digest::{ConfigDigest, digest_objects};
pub use messages::StatusReply;
pub use messages::{ConfigAction, ConfigEvent, ConfigPull, ConfigRejection, ConfigUpdate};
pub use messages::{ConfigDelta, ConfigHead, ConfigSnapshot, ConfigSource};
pub use messages::{ConfigReply, ErrorReply, PublishError, PublishReply, PublishRequest};
pub use state::{ConfigState, SNAPSHOT_INTERVAL};
