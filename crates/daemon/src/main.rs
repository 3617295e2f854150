//! The auburnsaddle daemon.

use std::process::ExitCode;

use auburnsaddle_daemon::{DaemonCommand, run};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
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
