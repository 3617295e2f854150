/*!
The auburnsaddle command-line tool.

It validates and publishes objects, shows the state of the daemons, and submits,
lists and cancels tasks. `auburnsaddle help` lists the commands, environment
variables and exit codes.
*/

mod arguments;
mod client;
mod commands;
mod files;
mod help;
mod output;
mod tasks;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use commands::CommandError;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run().await {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            match &error {
                CommandError::InvalidReport { text } => println!("{text}"),
                error => eprintln!("auburnsaddle: {error}"),
            }
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run() -> Result<String, CommandError> {
    let environment = |name: &str| std::env::var(name).ok();
    let line = arguments::parse(pico_args::Arguments::from_env(), environment)?;
    commands::run(line).await
}
