/*!
Configuration versions, which only ever go forward.

A version is a whole set of objects. It is published as a [`ConfigDelta`] on
the version before it, together with a [`ConfigHead`] that names the newest
version and the digest of its set. [`ConfigState`] keeps the version in force:
it accepts a version only if it is the next one, its digest matches and the
whole set passes the check. Everything else is rejected, and the last good
version stays in force.

A state that is behind asks for the versions it lacks, from the store or from
a peer. If they reach too far back, it gets a [`ConfigSnapshot`] instead.
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
