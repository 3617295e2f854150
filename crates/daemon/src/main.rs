//! The auburnsaddle daemon.

use std::process::ExitCode;

use auburnsaddle_daemon::{CellCommand, CellError, DaemonCommand, run};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    match CellCommand::from_environment() {
        Ok(None) => {}
        Ok(Some(command)) => return finish(command.run()),
        Err(error) => return finish(Err(error)),
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

/// Reports the end of the daemon on the users' platform.
fn finish(outcome: Result<(), CellError>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("auburnsaddled: {error}");
            if error.is_settings_error() {
                ExitCode::from(EXIT_SETTINGS)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}
