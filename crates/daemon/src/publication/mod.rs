//! The configuration in force and its publication through the store.

mod messages;
mod state;

pub(crate) use messages::{PublishError, PublishedConfig};
pub(crate) use state::{CONFIG_KEY, publish_transaction, read_config};
