//! The commands of the tool.

use auburnsaddle_core::{
    ConfigReply, ConfigVersion, ObjectDelta, ObjectProblem, ObjectReport, ObjectSet, PublishReply,
    PublishRequest, StatusReply,
};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use snafu::Snafu;

use crate::{
    arguments::{Command, CommandLine, OutputFormat, UsageError},
    client::{ClientError, DaemonClient, READ_TIMEOUT},
    files::{FileError, read_objects},
    help,
    output::{status_table, task_table},
    tasks,
};

/// A command that failed.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum CommandError {
    /// The command line cannot be used.
    #[snafu(transparent)]
    Usage {
        /// The cause.
        source: UsageError,
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
    /// The objects are not valid, and the problems are listed as JSON.
    #[snafu(display("{text}"))]
    Report {
        /// The list.
        text: String,
    },
    /// No daemon carried the command out.
    #[snafu(transparent)]
    Client {
        /// The cause.
        source: ClientError,
    },
}

impl CommandError {
    /// Returns the exit code, as listed in the help.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::Objects { .. } | Self::Report { .. } => 3,
            Self::Client { source } => client_code(source),
            Self::File { .. } => 1,
        }
    }
}

const fn client_code(error: &ClientError) -> u8 {
    match error {
        ClientError::Unreachable { .. } => 5,
        ClientError::Rejected { status, .. } => match *status {
            StatusCode::UNPROCESSABLE_ENTITY => 3,
            StatusCode::CONFLICT => 4,
            _ => 1,
        },
        ClientError::Interrupted { .. } | ClientError::Malformed { .. } => 1,
    }
}

/// Runs a command and returns what to print.
pub(crate) async fn run(line: CommandLine) -> Result<String, CommandError> {
    let client = DaemonClient::new(line.daemons, READ_TIMEOUT);
    let output = line.output;
    match line.command {
        Command::Help(None) => Ok(help::overview()),
        Command::Help(Some(command)) => Ok(help::explain(command)),
        Command::Version => Ok(format!("auburnsaddle {}", env!("CARGO_PKG_VERSION"))),
        Command::Check(directory) => {
            let report = read_objects(&directory)?;
            check(report, output)
        }
        Command::Apply {
            directory,
            dry_run,
            base,
        } => {
            let result = apply(&client, &directory, dry_run, base).await?;
            Ok(render(output, &result, apply_text))
        }
        Command::Status => {
            let status: StatusReply = client.get("/admin/status").await?;
            Ok(render(output, &status, status_table))
        }
        Command::Dump => {
            let dump: Value = client.get("/admin/dump").await?;
            Ok(format!("{dump:#}"))
        }
        command => {
            let answer = tasks::run(&client, command).await?;
            Ok(render(output, &answer, task_table))
        }
    }
}

fn render<T: Serialize>(output: OutputFormat, value: &T, table: fn(&T) -> String) -> String {
    match output {
        OutputFormat::Json => format!("{:#}", json!(value)),
        OutputFormat::Table => table(value),
    }
}

/// Returns the result of a check. As JSON it lists the problems too, and the
/// exit code alone tells that there are any.
fn check(report: ObjectReport, output: OutputFormat) -> Result<String, CommandError> {
    if output == OutputFormat::Table {
        let objects = valid_objects(report)?;
        return Ok(format!("{} objects are valid", objects.len()));
    }
    let problems = report.problems.iter().map(problem_value);
    let text = format!(
        "{:#}",
        json!({
            "valid": report.is_valid(),
            "objects": report.set.len(),
            "problems": problems.collect::<Vec<_>>(),
        })
    );
    if report.is_valid() {
        Ok(text)
    } else {
        Err(CommandError::Report { text })
    }
}

fn problem_value(problem: &ObjectProblem) -> Value {
    json!({
        "file": problem.file,
        "object": problem.object,
        "message": problem.kind.to_string(),
        "warning": problem.kind.is_warning(),
    })
}

async fn apply(
    client: &DaemonClient,
    directory: &str,
    dry_run: bool,
    base: Option<ConfigVersion>,
) -> Result<Value, CommandError> {
    let objects = valid_objects(read_objects(directory)?)?;
    let current: ConfigReply = client.get("/admin/config").await?;
    let delta = ObjectDelta::between(&current.objects, &objects);
    let changes = delta.changes(&current.objects);
    let changes: Vec<_> = changes.iter().map(ToString::to_string).collect();
    let mut version = current.version;
    // A first, empty set is published too, so that the daemons have a version.
    let differs = !delta.is_empty() || version == 0;
    if differs && !dry_run {
        let request = PublishRequest {
            base: base.unwrap_or(current.version),
            objects,
        };
        let path = "/admin/config";
        let reply: PublishReply = client.send(Method::POST, path, &request).await?;
        version = reply.version;
    }
    Ok(json!({
        "base": current.version,
        "version": version,
        "published": version > current.version,
        "changes": changes,
    }))
}

fn apply_text(result: &Value) -> String {
    let changes = result["changes"].as_array().cloned().unwrap_or_default();
    let changes = changes.iter().filter_map(Value::as_str);
    let mut lines: Vec<String> = changes.map(ToOwned::to_owned).collect();
    let version = &result["version"];
    lines.push(match result["published"].as_bool() {
        Some(true) => format!("published version {version}"),
        _ if lines.is_empty() => format!("version {version} has the same objects already"),
        _ => format!("nothing was published; version {version} stays in force"),
    });
    lines.join("\n")
}

/// Rejects a set that cannot be published. Warnings go to the standard error
/// stream.
fn valid_objects(report: ObjectReport) -> Result<ObjectSet, CommandError> {
    if !report.is_valid() {
        return Err(CommandError::Objects {
            problems: report.problems,
        });
    }
    for problem in &report.problems {
        eprintln!("warning: {problem}");
    }
    Ok(report.set)
}

fn lines(problems: &[ObjectProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
