//! The auburnsaddle daemon.

use std::{env, path::Path, process::ExitCode};

use auburnsaddle_daemon::{CellError, DaemonCommand, run, run_cell};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Names the settings file of the users' platform. With it the daemon runs there.
const PLATFORM_SETTINGS: &str = "AUBURNSADDLE_SETTINGS";

/// Port of the metrics page on the users' platform.
const METRICS_PORT: u16 = 9_464;

fn main() -> ExitCode {
    if let Some(path) = env::var_os(PLATFORM_SETTINGS) {
        return match run_cell(Path::new(&path), Some(METRICS_PORT)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("auburnsaddled: {error}");
                match error {
                    CellError::Settings { .. } => ExitCode::from(EXIT_SETTINGS),
                    _ => ExitCode::FAILURE,
                }
            }
        };
    }
    let settings = match DaemonCommand::from_environment() {
        Ok(DaemonCommand::Run(settings)) => settings,
        Ok(DaemonCommand::CheckSettings) => {
            println!("the settings are valid");
            return ExitCode::SUCCESS;
        }
        Ok(DaemonCommand::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
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
