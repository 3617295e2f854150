//! The configuration in force as shown to operators.

use auburnsaddle_core::{ConfigHead, ConfigState};
use serde::Serialize;

/// The configuration in force.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ConfigDump {
    head: ConfigHead,
    /// Number of objects; `GET /admin/config` shows them.
    objects: usize,
}

impl ConfigDump {
    /// Describes the configuration in force.
    pub(crate) fn new(config: &ConfigState) -> Self {
        Self {
            head: config.head(),
            objects: config.objects().len(),
        }
    }
}
