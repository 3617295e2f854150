//! The command line of the daemon on the users' platform.

use std::{env, path::PathBuf};

use auburnsaddle_platform::PlatformSettings;
use pico_args::Arguments;
use snafu::ResultExt;

use super::process::{CellError, FlagSnafu, SettingsSnafu, run_cell};

/// Environment variable with the path of the settings file. If it is set, the daemon
/// runs on the users' platform.
const SETTINGS_VARIABLE: &str = "AUBURNSADDLE_SETTINGS";

/// The parsed command line: run the daemon, or only check its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellCommand {
    /// Path of the settings file.
    path: PathBuf,
    /// Port that serves the metrics on all addresses of the host, besides the address
    /// for peers.
    metrics_port: Option<u16>,
    /// Whether to check the settings and exit.
    is_check: bool,
}

impl CellCommand {
    /// Parses the command line, or returns `None` if the environment names no settings
    /// file of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if a flag has an invalid value.
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

    /// Runs the daemon until SIGTERM, or checks its settings and returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid, an address cannot be listened on or
    /// a thread, a runtime or a signal handler cannot be set up.
    pub fn run(&self) -> Result<(), CellError> {
        let settings = PlatformSettings::from_file(&self.path).context(SettingsSnafu)?;
        if self.is_check {
            println!("the settings are valid");
            return Ok(());
        }
        run_cell(settings, self.path.clone(), self.metrics_port)
    }
}
