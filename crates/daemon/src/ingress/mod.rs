//! HTTP services for callers of jobs, for the load balancer and for other daemons.

mod access;
mod cancellations;
mod intake;
mod jobs;
mod peers;
mod serve;
#[cfg(test)]
mod tests;
mod unresolved;

pub(crate) use access::AccessPolicy;
pub(crate) use intake::{HostLimits, IntakeGate, IntakeRole};
pub(crate) use jobs::JobService;
pub(crate) use peers::{PeerService, ReadyService};
pub(crate) use serve::serve_http;
#[cfg(test)]
pub(crate) use serve::{HttpService, IngressResponse};
pub(crate) use unresolved::UnresolvedJobs;
