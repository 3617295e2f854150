//! The binary of the auburnsaddle daemon.

use std::process::ExitCode;

use auburnsaddle_daemon::{CellCommand, CellError, DaemonCommand, run};

/// Exit code for missing or invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    match CellCommand::from_environment() {
        Ok(None) => {}
        Ok(Some(command)) => return report_outcome(command.run()),
        Err(error) => return report_outcome(Err(error)),
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
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
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

/// Reports an error of a daemon that runs on a platform settings file, and
/// returns its exit code.
fn report_outcome(outcome: Result<(), CellError>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("auburnsaddled: {error}");
            if error.is_settings_error() {
                ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}
