//! Why a run could not be made.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// A run that could not be made; it says nothing about the daemons.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SoakError {
    /// A socket, a file or a process could not be made.
    #[snafu(
        context(false),
        display("{source}; raise the limits or free some memory")
    )]
    System {
        /// The cause.
        source: io::Error,
    },
    /// The program of the daemon does not start.
    #[snafu(display("{}: {source}; build the daemon and give its path", path.display()))]
    Launch {
        /// The program.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A daemon ended before it listened.
    #[snafu(display("{daemon} ended before it listened; see its log"))]
    Ended {
        /// Its name.
        daemon: String,
    },
    /// A signal could not be sent.
    #[snafu(context(false), display("a signal was not sent: {source}"))]
    Signal {
        /// The cause.
        source: nix::Error,
    },
    /// A flag of the command line has a wrong value.
    #[snafu(context(false), display("{source}; see --help"))]
    Flag {
        /// The cause.
        source: pico_args::Error,
    },
}
