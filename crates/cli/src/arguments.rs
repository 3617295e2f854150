//! Parsing of the command line: global options, commands and their arguments.

use auburnsaddle_core::ConfigVersion;
use snafu::Snafu;

use crate::help::{COMMANDS, CommandHelp};

/// Address used if neither `--daemon` nor `AUBURNSADDLE_DAEMON` is set.
const DEFAULT_DAEMON: &str = "127.0.0.1:7480";

/// An invalid command line.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("{message}; see `auburnsaddle help`"))]
pub(crate) struct UsageError {
    message: String,
}

impl UsageError {
    /// Returns an error whose message describes the invalid argument.
    pub(crate) fn new(message: &str) -> Self {
        Self {
            message: message.to_owned(),
        }
    }
}

/// The output format of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// A single JSON value.
    Json,
    /// A table with aligned columns.
    #[default]
    Table,
}

/// A parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CommandLine {
    /// Addresses of the daemons, in the order in which they are tried.
    pub(crate) daemons: Vec<String>,
    /// The output format.
    pub(crate) output: OutputFormat,
    /// The command with its arguments.
    pub(crate) command: Command,
}

/// A label in the form `KEY=VALUE`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LabelPair {
    /// The text before the first `=`, which is not empty.
    pub(crate) key: String,
    /// The text after the first `=`.
    pub(crate) value: String,
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Validates the objects in a directory.
    Check(String),
    /// Publishes the objects in a directory, or shows what would change.
    Apply {
        directory: String,
        dry_run: bool,
        /// The version that the objects are based on; `None` for the version in
        /// force.
        base: Option<ConfigVersion>,
    },
    /// Shows configuration versions, shard owners and suspected daemons.
    Status,
    /// Shows a task.
    Get(String),
    /// Lists tasks.
    List {
        labels: Vec<LabelPair>,
        team: Option<String>,
    },
    /// Prints the state changes of a task until it ends.
    Watch(String),
    /// Submits the work of an object.
    Submit {
        object: String,
        labels: Vec<LabelPair>,
        count: Option<u64>,
        /// The idempotency key; `None` to generate one.
        key: Option<String>,
    },
    /// Cancels a task.
    Cancel(String),
    /// Cancels all tasks with a label.
    CancelLabel(LabelPair),
    /// Confirms that the attempt of an unresolved task has stopped.
    Resolve(String),
    /// Prints the complete state of a daemon.
    Dump,
    /// Prints the help of the tool or of one command.
    Help(Option<&'static CommandHelp>),
    /// Prints the version of the tool.
    Version,
}

/// Parses a command line. Environment variables apply where an option is absent.
pub(crate) fn parse(
    mut arguments: pico_args::Arguments,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<CommandLine, UsageError> {
    let wants_help = arguments.contains(["-h", "--help"]);
    let wants_version = arguments.contains(["-V", "--version"]);
    let daemons = parse_option(&mut arguments, "--daemon")?
        .or_else(|| environment("AUBURNSADDLE_DAEMON"))
        .unwrap_or_else(|| DEFAULT_DAEMON.to_owned());
    let output =
        parse_option(&mut arguments, "--output")?.or_else(|| environment("AUBURNSADDLE_OUTPUT"));
    let output = match output.as_deref() {
        None | Some("table") => OutputFormat::Table,
        Some("json") => OutputFormat::Json,
        Some(other) => {
            let message = format!("invalid --output `{other}`: expected json or table");
            return Err(UsageError::new(&message));
        }
    };
    let name = arguments
        .subcommand()
        .map_err(|error| UsageError::new(&error.to_string()))?;
    let command = match name.as_deref() {
        _ if wants_version => return Ok(build_command_line(&daemons, output, Command::Version)),
        None if wants_help => return Ok(build_command_line(&daemons, output, Command::Help(None))),
        Some(name) if wants_help => {
            return Ok(build_command_line(
                &daemons,
                output,
                Command::Help(Some(find_help(name)?)),
            ));
        }
        None => return Err(UsageError::new("missing command")),
        Some(name) => parse_command(name, &mut arguments)?,
    };
    match arguments.finish().first() {
        None => Ok(build_command_line(&daemons, output, command)),
        Some(unexpected) => {
            let message = format!("unexpected argument `{}`", unexpected.to_string_lossy());
            Err(UsageError::new(&message))
        }
    }
}

fn build_command_line(daemons: &str, output: OutputFormat, command: Command) -> CommandLine {
    let daemons = daemons.split(',').map(str::trim).map(ToOwned::to_owned);
    CommandLine {
        daemons: daemons.filter(|daemon| !daemon.is_empty()).collect(),
        output,
        command,
    }
}

fn parse_command(name: &str, arguments: &mut pico_args::Arguments) -> Result<Command, UsageError> {
    match name {
        "check" => Ok(Command::Check(parse_operand(arguments, "DIR")?)),
        "apply" => Ok(Command::Apply {
            dry_run: arguments.contains("--dry-run"),
            base: parse_number(arguments, "--base")?,
            directory: parse_operand(arguments, "DIR")?,
        }),
        "status" => Ok(Command::Status),
        "get" => Ok(Command::Get(parse_task_id(arguments)?)),
        "list" => Ok(Command::List {
            labels: parse_labels(arguments)?,
            team: parse_option(arguments, "--team")?,
        }),
        "watch" => Ok(Command::Watch(parse_task_id(arguments)?)),
        "submit" => Ok(Command::Submit {
            labels: parse_labels(arguments)?,
            count: parse_positive(arguments, "--count")?,
            key: parse_option(arguments, "--key")?,
            object: parse_operand(arguments, "OBJECT")?,
        }),
        "cancel" => match parse_labels(arguments)?.as_slice() {
            [] => Ok(Command::Cancel(parse_task_id(arguments)?)),
            [label] => Ok(Command::CancelLabel(label.clone())),
            _ => Err(UsageError::new("cancel accepts only one --label")),
        },
        "resolve" => Ok(Command::Resolve(parse_task_id(arguments)?)),
        "dump" => Ok(Command::Dump),
        "help" => match arguments.subcommand() {
            Ok(Some(name)) => Ok(Command::Help(Some(find_help(&name)?))),
            _ => Ok(Command::Help(None)),
        },
        _ => Err(UsageError::new(&format!("unknown command `{name}`"))),
    }
}

fn find_help(name: &str) -> Result<&'static CommandHelp, UsageError> {
    let help = COMMANDS.iter().find(|help| help.name == name);
    help.ok_or_else(|| UsageError::new(&format!("unknown command `{name}`")))
}

fn parse_option(
    arguments: &mut pico_args::Arguments,
    flag: &'static str,
) -> Result<Option<String>, UsageError> {
    let value = arguments.opt_value_from_str(flag);
    value.map_err(|error| UsageError::new(&error.to_string()))
}

fn parse_operand(
    arguments: &mut pico_args::Arguments,
    name: &'static str,
) -> Result<String, UsageError> {
    let value: Option<String> = arguments
        .opt_free_from_str()
        .map_err(|error| UsageError::new(&error.to_string()))?;
    match value {
        Some(value) if value.starts_with('-') => {
            Err(UsageError::new(&format!("unexpected argument `{value}`")))
        }
        Some(value) => Ok(value),
        None => Err(UsageError::new(&format!("missing argument {name}"))),
    }
}

/// Parses a task id. Only hexadecimal digits and hyphens are accepted, because
/// the id becomes part of a request path.
fn parse_task_id(arguments: &mut pico_args::Arguments) -> Result<String, UsageError> {
    let id = parse_operand(arguments, "ID")?;
    let is_id = id
        .bytes()
        .all(|byte| byte.is_ascii_hexdigit() || byte == b'-');
    if is_id && !id.is_empty() {
        Ok(id)
    } else {
        Err(UsageError::new(&format!("invalid task id `{id}`")))
    }
}

fn parse_number(
    arguments: &mut pico_args::Arguments,
    flag: &'static str,
) -> Result<Option<u64>, UsageError> {
    match parse_option(arguments, flag)?.map(|text| text.parse()) {
        None => Ok(None),
        Some(Ok(number)) => Ok(Some(number)),
        Some(Err(_)) => Err(UsageError::new(&format!(
            "{flag} must be a non-negative integer"
        ))),
    }
}

fn parse_positive(
    arguments: &mut pico_args::Arguments,
    flag: &'static str,
) -> Result<Option<u64>, UsageError> {
    match parse_number(arguments, flag)? {
        Some(0) => Err(UsageError::new(&format!(
            "{flag} must be greater than zero"
        ))),
        number => Ok(number),
    }
}

fn parse_labels(arguments: &mut pico_args::Arguments) -> Result<Vec<LabelPair>, UsageError> {
    let mut labels = Vec::new();
    while let Some(text) = parse_option(arguments, "--label")? {
        match text.split_once('=') {
            Some((key, value)) if !key.is_empty() => labels.push(LabelPair {
                key: key.to_owned(),
                value: value.to_owned(),
            }),
            _ => {
                let message = format!("invalid --label `{text}`: expected KEY=VALUE");
                return Err(UsageError::new(&message));
            }
        }
    }
    Ok(labels)
}
