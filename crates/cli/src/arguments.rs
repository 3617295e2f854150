//! The command line: global options, commands and their arguments.

use auburnsaddle_core::ConfigVersion;
use snafu::Snafu;

use crate::help::{COMMANDS, CommandHelp};

/// Address of a daemon if none is named.
const DEFAULT_DAEMON: &str = "127.0.0.1:7480";

/// A command line that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(display("{message}; see `auburnsaddle help`"))]
pub(crate) struct UsageError {
    message: String,
}

impl UsageError {
    /// Returns an error with what is wrong.
    pub(crate) fn new(message: &str) -> Self {
        Self {
            message: message.to_owned(),
        }
    }
}

/// The form of the output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// JSON, one value.
    Json,
    /// Aligned columns.
    #[default]
    Table,
}

/// A parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CommandLine {
    /// The daemons to try in turn.
    pub(crate) daemons: Vec<String>,
    /// The form of the output.
    pub(crate) output: OutputFormat,
    /// The command.
    pub(crate) command: Command,
}

/// A label with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LabelPair {
    /// The label.
    pub(crate) key: String,
    /// Its value.
    pub(crate) value: String,
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Checks the objects of a directory.
    Check(String),
    /// Publishes the objects of a directory, or shows what would change.
    Apply {
        directory: String,
        dry_run: bool,
        /// The version on which the objects are based, if not the one in force.
        base: Option<ConfigVersion>,
    },
    /// Shows versions, owners and suspected peers.
    Status,
    /// Shows a task.
    Get(String),
    /// Lists tasks.
    List {
        labels: Vec<LabelPair>,
        team: Option<String>,
    },
    /// Follows a task until it ends.
    Watch(String),
    /// Submits work of an object.
    Submit {
        object: String,
        labels: Vec<LabelPair>,
        count: Option<u64>,
        /// The idempotency key, if one is given.
        key: Option<String>,
    },
    /// Cancels a task.
    Cancel(String),
    /// Cancels tasks by label.
    CancelLabel(LabelPair),
    /// States that the attempt of an unresolved task has stopped.
    Resolve(String),
    /// Shows the whole state of a daemon.
    Dump,
    /// Explains the tool or one command.
    Help(Option<&'static CommandHelp>),
    /// Shows the version of the tool.
    Version,
}

/// Reads a command line and the environment variables behind it.
pub(crate) fn parse(
    mut arguments: pico_args::Arguments,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<CommandLine, UsageError> {
    let wants_help = arguments.contains(["-h", "--help"]);
    let wants_version = arguments.contains(["-V", "--version"]);
    let daemons = option(&mut arguments, "--daemon")?
        .or_else(|| environment("AUBURNSADDLE_DAEMON"))
        .unwrap_or_else(|| DEFAULT_DAEMON.to_owned());
    let output = option(&mut arguments, "--output")?.or_else(|| environment("AUBURNSADDLE_OUTPUT"));
    let output = match output.as_deref() {
        None | Some("table") => OutputFormat::Table,
        Some("json") => OutputFormat::Json,
        Some(other) => {
            let message = format!("--output `{other}` is neither json nor table");
            return Err(UsageError::new(&message));
        }
    };
    let name = arguments
        .subcommand()
        .map_err(|error| UsageError::new(&error.to_string()))?;
    let command = match name.as_deref() {
        _ if wants_version => return Ok(line(&daemons, output, Command::Version)),
        None if wants_help => return Ok(line(&daemons, output, Command::Help(None))),
        Some(name) if wants_help => {
            return Ok(line(
                &daemons,
                output,
                Command::Help(Some(find_help(name)?)),
            ));
        }
        None => return Err(UsageError::new("no command is given")),
        Some(name) => parse_command(name, &mut arguments)?,
    };
    match arguments.finish().first() {
        None => Ok(line(&daemons, output, command)),
        Some(rest) => {
            let message = format!("`{}` is not expected", rest.to_string_lossy());
            Err(UsageError::new(&message))
        }
    }
}

fn line(daemons: &str, output: OutputFormat, command: Command) -> CommandLine {
    let daemons = daemons.split(',').map(str::trim).map(ToOwned::to_owned);
    CommandLine {
        daemons: daemons.filter(|daemon| !daemon.is_empty()).collect(),
        output,
        command,
    }
}

fn parse_command(name: &str, arguments: &mut pico_args::Arguments) -> Result<Command, UsageError> {
    match name {
        "check" => Ok(Command::Check(operand(arguments, "DIR")?)),
        "apply" => Ok(Command::Apply {
            dry_run: arguments.contains("--dry-run"),
            base: number(arguments, "--base")?,
            directory: operand(arguments, "DIR")?,
        }),
        "status" => Ok(Command::Status),
        "get" => Ok(Command::Get(task_id(arguments)?)),
        "list" => Ok(Command::List {
            labels: labels(arguments)?,
            team: option(arguments, "--team")?,
        }),
        "watch" => Ok(Command::Watch(task_id(arguments)?)),
        "submit" => Ok(Command::Submit {
            labels: labels(arguments)?,
            count: positive(arguments, "--count")?,
            key: option(arguments, "--key")?,
            object: operand(arguments, "OBJECT")?,
        }),
        "cancel" => match labels(arguments)?.as_slice() {
            [] => Ok(Command::Cancel(task_id(arguments)?)),
            [label] => Ok(Command::CancelLabel(label.clone())),
            _ => Err(UsageError::new("cancel takes one --label")),
        },
        "resolve" => Ok(Command::Resolve(task_id(arguments)?)),
        "dump" => Ok(Command::Dump),
        "help" => match arguments.subcommand() {
            Ok(Some(name)) => Ok(Command::Help(Some(find_help(&name)?))),
            _ => Ok(Command::Help(None)),
        },
        _ => Err(UsageError::new(&format!("`{name}` is no command"))),
    }
}

fn find_help(name: &str) -> Result<&'static CommandHelp, UsageError> {
    let help = COMMANDS.iter().find(|help| help.name == name);
    help.ok_or_else(|| UsageError::new(&format!("`{name}` is no command")))
}

fn option(
    arguments: &mut pico_args::Arguments,
    flag: &'static str,
) -> Result<Option<String>, UsageError> {
    let value = arguments.opt_value_from_str(flag);
    value.map_err(|error| UsageError::new(&error.to_string()))
}

fn operand(arguments: &mut pico_args::Arguments, name: &'static str) -> Result<String, UsageError> {
    let value: Option<String> = arguments
        .opt_free_from_str()
        .map_err(|error| UsageError::new(&error.to_string()))?;
    match value {
        Some(value) if value.starts_with('-') => {
            Err(UsageError::new(&format!("`{value}` is not expected")))
        }
        Some(value) => Ok(value),
        None => Err(UsageError::new(&format!("{name} is missing"))),
    }
}

/// Reads a task id. It becomes part of a path, so only its own characters may
/// occur in it.
fn task_id(arguments: &mut pico_args::Arguments) -> Result<String, UsageError> {
    let id = operand(arguments, "ID")?;
    let is_id = id
        .bytes()
        .all(|byte| byte.is_ascii_hexdigit() || byte == b'-');
    if is_id && !id.is_empty() {
        Ok(id)
    } else {
        Err(UsageError::new(&format!("`{id}` is no task id")))
    }
}

fn number(
    arguments: &mut pico_args::Arguments,
    flag: &'static str,
) -> Result<Option<u64>, UsageError> {
    match option(arguments, flag)?.map(|text| text.parse()) {
        None => Ok(None),
        Some(Ok(number)) => Ok(Some(number)),
        Some(Err(_)) => Err(UsageError::new(&format!("{flag} is not a whole number"))),
    }
}

fn positive(
    arguments: &mut pico_args::Arguments,
    flag: &'static str,
) -> Result<Option<u64>, UsageError> {
    match number(arguments, flag)? {
        Some(0) => Err(UsageError::new(&format!("{flag} is not positive"))),
        number => Ok(number),
    }
}

fn labels(arguments: &mut pico_args::Arguments) -> Result<Vec<LabelPair>, UsageError> {
    let mut labels = Vec::new();
    while let Some(text) = option(arguments, "--label")? {
        match text.split_once('=') {
            Some((key, value)) if !key.is_empty() => labels.push(LabelPair {
                key: key.to_owned(),
                value: value.to_owned(),
            }),
            _ => {
                let message = format!("--label `{text}` is not written as KEY=VALUE");
                return Err(UsageError::new(&message));
            }
        }
    }
    Ok(labels)
}
