//! The commands of the tool.

use std::{fs, io, path::Path};

use auburnsaddle_core::{ObjectError, ObjectSet};
use hyper::Method;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};

use crate::client::{ClientError, DaemonClient};

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
    #[snafu(display("cannot read {path}: {source}; check the path and its permissions"))]
    Read {
        /// The path.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The objects are not valid.
    #[snafu(transparent)]
    Objects {
        /// The cause.
        source: ObjectError,
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
            read_objects(&directory(&mut arguments)?)?;
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
    let objects = read_objects(directory)?;
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

fn read_objects(directory: &str) -> Result<ObjectSet, CommandError> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).context(ReadSnafu { path: directory })? {
        let path = entry.context(ReadSnafu { path: directory })?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            paths.push(path);
        }
    }
    paths.sort();
    let mut objects = ObjectSet::default();
    for path in paths {
        let name = path.display().to_string();
        objects.merge(&name, ObjectSet::parse(&name, &read(&path)?)?)?;
    }
    Ok(objects)
}

fn read(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).context(ReadSnafu {
        path: path.display().to_string(),
    })
}
