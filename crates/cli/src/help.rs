//! Help texts of the tool and its commands.

use std::fmt::Write;

/// The help text of one command.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct CommandHelp {
    /// Name of the command on the command line.
    pub(crate) name: &'static str,
    /// Synopsis of the arguments; empty if there are none.
    pub(crate) arguments: &'static str,
    /// One-line summary, without a final period.
    pub(crate) summary: &'static str,
    /// Further explanation; empty if the summary suffices.
    pub(crate) details: &'static str,
}

/// All commands, in the order in which the help lists them.
pub(crate) const COMMANDS: &[CommandHelp] = &[
    CommandHelp {
        name: "check",
        arguments: "DIR",
        summary: "check all objects below DIR as one set",
        details: "Reads every .toml file of DIR and its subdirectories, without a daemon, and\n\
                  prints all problems with file, object and remedy. With --output json the\n\
                  problems are part of the output.",
    },
    CommandHelp {
        name: "apply",
        arguments: "DIR [--dry-run] [--base VERSION]",
        summary: "check the objects below DIR and publish them as the next version",
        details: "Objects that are in force but not below DIR are removed. With --dry-run the\n\
                  differences are printed and nothing is published. If another operator\n\
                  published since the base version, nothing is published and the objects changed\n\
                  since are printed (exit code 4). The base is the version in force when the\n\
                  command starts, or the one in --base, such as that shown by a dry run.",
    },
    CommandHelp {
        name: "status",
        arguments: "",
        summary: "show the version in force at each daemon, shard owners, suspected peers",
        details: "The view is that of the daemon that answers.",
    },
    CommandHelp {
        name: "get",
        arguments: "ID",
        summary: "show a task",
        details: "",
    },
    CommandHelp {
        name: "list",
        arguments: "[--label KEY=VALUE]... [--team TEAM]",
        summary: "list tasks",
        details: "With several labels a task must have all of them.",
    },
    CommandHelp {
        name: "watch",
        arguments: "ID",
        summary: "print the events of a task until it ends",
        details: "",
    },
    CommandHelp {
        name: "submit",
        arguments: "OBJECT [--label KEY=VALUE]... [--count N] [--key KEY]",
        summary: "submit the work of a batch, gang or task object",
        details: "--count replaces the count of the object. The idempotency key, a new one or that\n\
                  in --key, is printed to the standard error stream. Submitting again with the\n\
                  same key within 24 hours gives the same job.",
    },
    CommandHelp {
        name: "cancel",
        arguments: "ID | --label KEY=VALUE",
        summary: "cancel one task, or all tasks with a label",
        details: "",
    },
    CommandHelp {
        name: "resolve",
        arguments: "ID",
        summary: "state that the attempt of an unresolved task has stopped",
        details: "Only for a task that waits for a worker which will not come back. The task may\n\
                  then be started again: if the attempt is still running, it runs twice.",
    },
    CommandHelp {
        name: "dump",
        arguments: "",
        summary: "print the whole state of a daemon as JSON",
        details: "",
    },
    CommandHelp {
        name: "help",
        arguments: "[COMMAND]",
        summary: "explain the tool or one command",
        details: "",
    },
];

const OPTIONS: &str = "\
Options:
  --daemon ADDRESS[,ADDRESS...]  daemons to try in turn, as HOST:PORT
                                 [AUBURNSADDLE_DAEMON, default 127.0.0.1:7480]
  --output table|json            form of the output
                                 [AUBURNSADDLE_OUTPUT, default table]
  -h, --help                     explain the tool or the command
  -V, --version                  print the version

Exit codes:
  0  done
  1  failed
  2  the command line cannot be used
  3  the objects are not valid
  4  another operator published first
  5  no daemon was reached
";

/// Returns the help of the tool, which lists all commands.
pub(crate) fn overview() -> String {
    let mut text = "Usage: auburnsaddle [OPTIONS] COMMAND\n\nCommands:\n".to_owned();
    for command in COMMANDS {
        // Writing to a `String` never fails.
        let _ = writeln!(text, "  {:8} {}", command.name, command.summary);
    }
    text + "\n" + OPTIONS.trim_end()
}

/// Returns the help of one command, with the global options and exit codes.
pub(crate) fn command_help(command: &CommandHelp) -> String {
    let mut text = format!("Usage: auburnsaddle [OPTIONS] {}", command.name);
    if !command.arguments.is_empty() {
        text = text + " " + command.arguments;
    }
    text = text + "\n\n" + command.summary + ".\n";
    if !command.details.is_empty() {
        text = text + "\n" + command.details + "\n";
    }
    text + "\n" + OPTIONS.trim_end()
}
