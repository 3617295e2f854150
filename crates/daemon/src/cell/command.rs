//! The command line of the daemon on the users' platform.

use std::{env, path::PathBuf};

use auburnsaddle_platform::PlatformSettings;
use pico_args::Arguments;
use snafu::ResultExt;

use super::process::{CellError, FlagSnafu, SettingsSnafu, run_cell};

/// Names the settings file of the users' platform. With it the daemon runs there.
const SETTINGS_VARIABLE: &str = "AUBURNSADDLE_SETTINGS";

/// What the daemon is to do on the users' platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellCommand {
    path: PathBuf,
    /// Port of the metrics page on all addresses of the host.
    metrics_port: Option<u16>,
    /// Whether the settings are only checked.
    is_check: bool,
}

impl CellCommand {
    /// Reads the command line if the environment names a settings file of the
    /// platform, and returns nothing otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if a flag has a wrong value.
    pub fn from_environment() -> Result<Option<Self>, CellError> {
        let Some(path) = env::var_os(SETTINGS_VARIABLE) else {
            return Ok(None);
        };
        let mut arguments = Arguments::from_env();
        let metrics_port = arguments.opt_value_from_str("--metrics-port");
        Ok(Some(Self {
            path: path.into(),
            metrics_port: metrics_port.context(FlagSnafu)?,
            is_check: arguments.contains("--check-settings"),
        }))
    }

    /// Runs the daemon until it is stopped, or checks its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are wrong or an address is in use.
    pub fn run(&self) -> Result<(), CellError> {
        let settings = PlatformSettings::from_file(&self.path).context(SettingsSnafu)?;
        if self.is_check {
            println!("the settings are valid");
            return Ok(());
        }
        run_cell(settings, self.path.clone(), self.metrics_port)
    }
}
