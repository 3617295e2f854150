//! The commands of the tool.

use auburnsaddle_core::{ObjectProblem, ObjectSet};
use hyper::Method;
use serde_json::{Value, json};
use snafu::Snafu;

use crate::{
    client::{ClientError, DaemonClient},
    files::{FileError, read_objects},
};

/// A command that failed.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    /// The command line cannot be used.
    #[snafu(display("{message}; use `check DIR`, `apply DIR` or `status`"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file cannot be read.
    #[snafu(transparent)]
    File {
        /// The cause.
        source: FileError,
    },
    /// The objects are not valid.
    #[snafu(display("{}", lines(problems)))]
    Objects {
        /// Everything that is wrong.
        problems: Vec<ObjectProblem>,
    },
    /// The daemon did not carry the command out.
    #[snafu(transparent)]
    Client {
        /// The cause.
        source: ClientError,
    },
}

/// Runs the command of a command line and returns what to print.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<String, CommandError> {
    let address: String = arguments
        .value_from_str("--daemon")
        .unwrap_or_else(|_| "127.0.0.1:7480".to_owned());
    let client = DaemonClient::new(address);
    let command = arguments.subcommand().ok().flatten().unwrap_or_default();
    match command.as_str() {
        "check" => {
            valid_objects(&directory(&mut arguments)?)?;
            Ok("the objects are valid".to_owned())
        }
        "apply" => apply(&client, &directory(&mut arguments)?).await,
        "status" => {
            let status = client
                .send(Method::GET, "/admin/status", &Value::Null)
                .await?;
            Ok(format!("{status:#}"))
        }
        _ => Err(CommandError::Usage {
            message: format!("`{command}` is no command"),
        }),
    }
}

async fn apply(client: &DaemonClient, directory: &str) -> Result<String, CommandError> {
    let objects = valid_objects(directory)?;
    let current = client
        .send(Method::GET, "/admin/config", &Value::Null)
        .await?;
    let body = json!({ "base": current["version"], "objects": objects });
    let reply = client.send(Method::POST, "/admin/config", &body).await?;
    Ok(format!("published version {}", reply["version"]))
}

fn directory(arguments: &mut pico_args::Arguments) -> Result<String, CommandError> {
    arguments
        .free_from_str()
        .map_err(|error| CommandError::Usage {
            message: error.to_string(),
        })
}

/// Reads a directory and rejects a set that cannot be published.
fn valid_objects(directory: &str) -> Result<ObjectSet, CommandError> {
    let report = read_objects(directory)?;
    if report.is_valid() {
        Ok(report.set)
    } else {
        Err(CommandError::Objects {
            problems: report.problems,
        })
    }
}

fn lines(problems: &[ObjectProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
