//! The auburnsaddle command-line tool.

mod client;
mod commands;
mod files;

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match commands::run(pico_args::Arguments::from_env()).await {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("auburnsaddle: {error}");
            ExitCode::FAILURE
        }
    }
}
