//! Execution of the commands and their exit codes.

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
    output::{format_status, format_tasks},
    tasks,
};

/// The failure of a command.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum CommandError {
    /// The command line is invalid.
    #[snafu(transparent)]
    Usage {
        /// The invalid argument.
        source: UsageError,
    },
    /// An object file or directory cannot be read.
    #[snafu(transparent)]
    File {
        /// The path and the I/O error.
        source: FileError,
    },
    /// The objects are invalid.
    #[snafu(display("{}", format_problems(problems)))]
    InvalidObjects {
        /// All problems found, including warnings.
        problems: Vec<ObjectProblem>,
    },
    /// The objects are invalid, and the output format is JSON.
    #[snafu(display("{text}"))]
    InvalidReport {
        /// The JSON report, which is printed to the standard output.
        text: String,
    },
    /// A request to the daemons failed.
    #[snafu(transparent)]
    Client {
        /// The failure of the request.
        source: ClientError,
    },
}

impl CommandError {
    /// Returns the exit code. The help lists the codes.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::InvalidObjects { .. } | Self::InvalidReport { .. } => 3,
            Self::Client { source } => client_exit_code(source),
            Self::File { .. } => 1,
        }
    }
}

const fn client_exit_code(error: &ClientError) -> u8 {
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

/// Runs a command and returns the text for the standard output.
pub(crate) async fn run(line: CommandLine) -> Result<String, CommandError> {
    let client = DaemonClient::new(line.daemons, READ_TIMEOUT);
    let output = line.output;
    match line.command {
        Command::Help(None) => Ok(help::overview()),
        Command::Help(Some(command)) => Ok(help::command_help(command)),
        Command::Version => Ok(format!("auburnsaddle {}", env!("CARGO_PKG_VERSION"))),
        Command::Check(directory) => {
            let report = read_objects(&directory)?;
            check_objects(report, output)
        }
        Command::Apply {
            directory,
            dry_run,
            base,
        } => {
            let result = apply_objects(&client, &directory, dry_run, base).await?;
            Ok(render(output, &result, format_apply_result))
        }
        Command::Status => {
            let status: StatusReply = client.get("/admin/status").await?;
            Ok(render(output, &status, format_status))
        }
        Command::Dump => {
            let dump: Value = client.get("/admin/dump").await?;
            Ok(format!("{dump:#}"))
        }
        command => {
            let response = tasks::run(&client, command).await?;
            Ok(render(output, &response, format_tasks))
        }
    }
}

fn render<T: Serialize>(output: OutputFormat, value: &T, format_text: fn(&T) -> String) -> String {
    match output {
        OutputFormat::Json => format!("{:#}", json!(value)),
        OutputFormat::Table => format_text(value),
    }
}

/// Returns the result of `check`. With JSON output, invalid objects yield the
/// same report as valid ones and only differ in the exit code.
fn check_objects(report: ObjectReport, output: OutputFormat) -> Result<String, CommandError> {
    if output == OutputFormat::Table {
        let objects = require_valid_objects(report)?;
        return Ok(format!("{} objects are valid", objects.len()));
    }
    let problems = report.problems.iter().map(problem_json);
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
        Err(CommandError::InvalidReport { text })
    }
}

fn problem_json(problem: &ObjectProblem) -> Value {
    json!({
        "file": problem.file,
        "object": problem.object,
        "message": problem.kind.to_string(),
        "warning": problem.kind.is_warning(),
    })
}

async fn apply_objects(
    client: &DaemonClient,
    directory: &str,
    dry_run: bool,
    base: Option<ConfigVersion>,
) -> Result<Value, CommandError> {
    let objects = require_valid_objects(read_objects(directory)?)?;
    let current: ConfigReply = client.get("/admin/config").await?;
    let delta = ObjectDelta::between(&current.objects, &objects);
    let changes = delta.changes(&current.objects);
    let changes: Vec<_> = changes.iter().map(ToString::to_string).collect();
    let mut version = current.version;
    // Without a published version, an empty set is published as well, so that
    // the daemons have a version in force.
    let has_changes = !delta.is_empty() || version == 0;
    if has_changes && !dry_run {
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

fn format_apply_result(result: &Value) -> String {
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

/// Returns the set of a valid report, or its problems as an error. Prints
/// warnings to the standard error.
fn require_valid_objects(report: ObjectReport) -> Result<ObjectSet, CommandError> {
    if !report.is_valid() {
        return Err(CommandError::InvalidObjects {
            problems: report.problems,
        });
    }
    for problem in &report.problems {
        eprintln!("warning: {problem}");
    }
    Ok(report.set)
}

fn format_problems(problems: &[ObjectProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
