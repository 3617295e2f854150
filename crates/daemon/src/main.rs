//! The auburnsaddle daemon.

use std::process::ExitCode;

use auburnsaddle_daemon::{DaemonSettings, run};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let settings = match DaemonSettings::from_environment() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("auburnsaddled: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("auburnsaddled: {error}");
            ExitCode::FAILURE
        }
    }
}
