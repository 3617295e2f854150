//! HTTP services for callers of jobs, for the load balancer and for other daemons.

mod jobs;
mod peers;
mod serve;

pub(crate) use jobs::JobService;
pub(crate) use peers::{PeerService, ReadyService};
pub(crate) use serve::serve_http;
#[cfg(test)]
pub(crate) use serve::{HttpService, IngressResponse};
