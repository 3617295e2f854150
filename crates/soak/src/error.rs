//! Errors that prevent a soak run.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// An error that prevents a run. It does not mean that a daemon broke a promise.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SoakError {
    /// An operation on a socket, a file or a process failed.
    #[snafu(
        context(false),
        display("I/O error: {source}; check the process and file limits and the free memory")
    )]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The daemon binary could not be started.
    #[snafu(display(
        "cannot start {}: {source}; build the daemon and pass its path with --daemon",
        path.display()
    ))]
    Launch {
        /// Path of the daemon binary.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A daemon exited before it accepted connections.
    #[snafu(display("{daemon} exited before it accepted connections; see its log"))]
    ExitedEarly {
        /// Name of the daemon, which is also the name of its log file.
        daemon: String,
    },
    /// A signal could not be sent to a daemon.
    #[snafu(context(false), display("cannot send a signal to a daemon: {source}"))]
    Signal {
        /// Error of the system call.
        source: nix::Error,
    },
    /// A command-line option is missing or has an invalid value.
    #[snafu(context(false), display("{source}; see --help"))]
    InvalidArgument {
        /// Error of the argument parser.
        source: pico_args::Error,
    },
}
