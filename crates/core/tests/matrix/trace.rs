//! The last events of a run, for the report of a violation.

use std::fmt;

use super::{
    faults::Fault,
    network::Envelope,
    targets::{WorkerReply, WorkerRequest},
};

/// An event of the trace; it is formatted only for a report.
pub(crate) enum TraceEntry {
    FaultBegins(Fault, usize, usize),
    FaultEnds(Fault),
    Delivered(Box<Envelope>),
    AtWorker(usize, Box<(WorkerRequest, WorkerReply)>),
}

impl fmt::Display for TraceEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FaultBegins(fault, daemon, worker) => {
                write!(formatter, "FAULT {fault:?} at daemon-{daemon} or w{worker}")
            }
            Self::FaultEnds(fault) => write!(formatter, "END {fault:?}"),
            Self::Delivered(envelope) => {
                let Envelope { from, to, message } = &**envelope;
                write!(formatter, "{from:?} -> {to:?} {message:?}")
            }
            Self::AtWorker(worker, exchange) => {
                let (request, reply) = &**exchange;
                write!(formatter, "w{worker} {request:?} -> {reply:?}")
            }
        }
    }
}
