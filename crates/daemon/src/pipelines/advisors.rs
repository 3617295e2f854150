//! Assignment of advice requests to daemons.
//!
//! Load pattern: the advice service processes one call at a time for each client
//! host and takes up to half a second per call, so an owner distributes its requests
//! over all daemons. A daemon that sends such a request is an advisor.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{AdviceOrder, AdviceReport, SLOW_DECISION_MS, WorkerId};
use auburnsaddle_platform::{AdviceClient, HttpEndpoint};
use serde::{Deserialize, Serialize};

/// Added to the expected response time, for the network and for requests of other
/// owners that wait at the same daemon.
const TIME_LIMIT_MARGIN: Duration = Duration::from_millis(1_500);

/// One daemon in this many sends requests for quick decisions only; the others send
/// requests for slow ones.
const DAEMONS_PER_QUICK_ADVISOR: usize = 4;

/// Returns the number of advisors for quick and for slow decisions.
pub(crate) const fn count_advisors(daemon_count: usize) -> (usize, usize) {
    if daemon_count < 2 {
        return (daemon_count, daemon_count);
    }
    let quick = daemon_count.div_ceil(DAEMONS_PER_QUICK_ADVISOR);
    (quick, daemon_count - quick)
}

/// A request that the owner of a service sends to another daemon, which passes it on
/// to the advice service.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct AdviceRequest {
    /// The step to place, in the text form of its `StepKey`.
    pub(crate) step: String,
    /// The candidate workers.
    pub(crate) workers: Vec<WorkerId>,
    /// Time limit of the call to the advice service, in ms.
    pub(crate) time_limit_ms: u64,
}

/// The response to an [`AdviceRequest`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct AdviceResponse {
    /// The ticket for each worker that may run the step.
    pub(crate) tickets: BTreeMap<WorkerId, String>,
    /// Time for which the tickets are valid, in ms.
    pub(crate) valid_ms: u64,
}

/// Time for which other advisors are preferred to one that a request failed at. A daemon that
/// has ended refuses requests at once, so it would always have the smallest backlog. Its
/// membership ends within this time.
const FAILURE_PENALTY: Duration = Duration::from_secs(2);

/// The open advice requests of this daemon's services at each advisor.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdvisorTable {
    /// Total expected response time of the open requests at each daemon, in ms.
    backlog_ms: BTreeMap<String, u64>,
    /// Daemons that a request has failed at, and until when others are preferred.
    avoided_until: BTreeMap<String, Duration>,
}

impl AdvisorTable {
    /// Assigns a request to the daemon with the smallest backlog; returns that daemon
    /// and the time limit of the request. Quick decisions have dedicated daemons,
    /// because they would otherwise wait behind slow ones.
    pub(crate) fn assign(
        &mut self,
        daemons: &BTreeSet<&String>,
        order: &AdviceOrder,
        now: Duration,
    ) -> Option<(String, Duration)> {
        let is_quick = order.policy.decision_ms < SLOW_DECISION_MS;
        self.avoided_until.retain(|_, until| now < *until);
        let backlog = |daemon: &String| self.backlog_ms.get(daemon).copied().unwrap_or(0);
        let count = daemons.len();
        // Daemons do not know the requests of other owners. The offset depends on the
        // job, so that owners do not all start at the same advisor.
        let offset = usize::try_from(order.step.pipeline % 1_024).unwrap_or(0);
        let candidates = daemons
            .iter()
            .enumerate()
            .filter(|(index, _)| count < 2 || is_quick == (index % DAEMONS_PER_QUICK_ADVISOR == 0));
        let daemon = candidates
            .min_by_key(|(index, daemon)| {
                let is_avoided = self.avoided_until.contains_key(**daemon);
                (is_avoided, backlog(daemon), (index + offset) % count)
            })
            .map(|(_, daemon)| (*daemon).clone())?;
        let cost_ms = expected_answer_ms(order);
        let time_limit = Duration::from_millis(backlog(&daemon) + cost_ms) + TIME_LIMIT_MARGIN;
        *self.backlog_ms.entry(daemon.clone()).or_default() += cost_ms;
        Some((daemon, time_limit))
    }

    /// Subtracts a completed request from the backlog of its daemon.
    pub(crate) fn finish(&mut self, daemon: &str, cost_ms: u64, is_answered: bool, now: Duration) {
        if let Some(backlog) = self.backlog_ms.get_mut(daemon) {
            *backlog = backlog.saturating_sub(cost_ms);
        }
        if !is_answered {
            let until = now + FAILURE_PENALTY;
            self.avoided_until.insert(daemon.to_owned(), until);
        }
    }
}

/// Returns the expected response time of the advice service, in ms.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and at most 100 workers are named"
)]
pub(crate) fn expected_answer_ms(order: &AdviceOrder) -> u64 {
    let worker_count = order.workers.len() as f64;
    (order.policy.decision_ms + order.policy.per_worker_ms * worker_count).ceil() as u64
}

/// Sends a request to the advice service, through `peer` if it is given. Returns
/// `None` if there is no response or it cannot be decoded.
pub(crate) async fn request_advice(
    service: Option<&AdviceClient>,
    peer: Option<&HttpEndpoint>,
    order: &AdviceOrder,
    time_limit: Duration,
) -> Option<AdviceReport> {
    let step = order.step.to_string();
    let Some(peer) = peer else {
        return service?
            .request_advice(&step, &order.workers, time_limit)
            .await;
    };
    let request = AdviceRequest {
        step,
        workers: order.workers.clone(),
        time_limit_ms: u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX),
    };
    let body = serde_json::to_vec(&request).ok()?;
    let body = peer.post_json("/advice", body, time_limit).await.ok()??;
    let response: AdviceResponse = serde_json::from_slice(&body).ok()?;
    Some(AdviceReport {
        tickets: response.tickets,
        valid: Duration::from_millis(response.valid_ms),
    })
}

impl From<AdviceReport> for AdviceResponse {
    fn from(report: AdviceReport) -> Self {
        Self {
            tickets: report.tickets,
            valid_ms: u64::try_from(report.valid.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
