//! Configuration in force as shown in the operators' dump.

use auburnsaddle_core::{ConfigHead, ConfigState};
use serde::Serialize;

/// Version and size of the configuration in force.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ConfigDump {
    head: ConfigHead,
    /// Number of objects; `GET /admin/config` returns the objects themselves.
    objects: usize,
}

impl ConfigDump {
    /// Returns the version and size of a configuration.
    pub(crate) fn new(config: &ConfigState) -> Self {
        Self {
            head: config.head(),
            objects: config.objects().len(),
        }
    }
}
