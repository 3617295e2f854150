//! Which daemon asks the advice service about a step.
//!
//! Load pattern: the service answers one call of a machine at a time and takes
//! up to half a second for it, so the calls of a busy owner are spread over all
//! daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use auburnsaddle_core::{AdviceOrder, AdviceReport, SLOW_DECISION_MS, WorkerId};
use auburnsaddle_platform::{AdviceClient, HttpEndpoint};
use serde::{Deserialize, Serialize};

/// Added to the expected time of an answer: network, and questions of other owners.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);

/// One of so many daemons asks for quick decisions only.
const QUICK_SHARE: usize = 4;

/// Returns how many of the daemons ask for quick and for slow decisions.
pub(crate) const fn split_advisors(daemons: usize) -> (usize, usize) {
    if daemons < 2 {
        return (daemons, daemons);
    }
    let quick = daemons.div_ceil(QUICK_SHARE);
    (quick, daemons - quick)
}

/// A question that another daemon asks for an owner.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct PeerQuestion {
    /// The step.
    pub(crate) step: String,
    /// The workers.
    pub(crate) workers: Vec<WorkerId>,
    /// Time limit in ms.
    pub(crate) time_limit_ms: u64,
}

/// The answer to a [`PeerQuestion`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct PeerAnswer {
    /// Tickets by worker.
    pub(crate) tickets: BTreeMap<WorkerId, String>,
    /// Validity in ms.
    pub(crate) valid_ms: u64,
}

/// Open questions by daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdvisorTable {
    /// Expected time in ms of the questions that are open at each daemon.
    backlog_ms: BTreeMap<String, u64>,
}

impl AdvisorTable {
    /// Chooses the daemon with the least expected work. Quick decisions have
    /// daemons of their own, as they would wait behind slow ones.
    pub(crate) fn choose(
        &mut self,
        daemons: &BTreeSet<&String>,
        order: &AdviceOrder,
    ) -> Option<(String, Duration)> {
        let is_quick = order.policy.decision_ms < SLOW_DECISION_MS;
        let backlog = |daemon: &String| self.backlog_ms.get(daemon).copied().unwrap_or(0);
        let count = daemons.len();
        // Owners of other services count their own questions only, so they start
        // at different daemons.
        let offset = usize::try_from(order.step.pipeline % 1_024).unwrap_or(0);
        let ranked = daemons
            .iter()
            .enumerate()
            .filter(|(index, _)| count < 2 || is_quick == (index % QUICK_SHARE == 0));
        let daemon = ranked
            .min_by_key(|(index, daemon)| (backlog(daemon), (index + offset) % count))
            .map(|(_, daemon)| (*daemon).clone())?;
        let cost = expected_ms(order);
        let time_limit = Duration::from_millis(backlog(&daemon) + cost) + ANSWER_SLACK;
        *self.backlog_ms.entry(daemon.clone()).or_default() += cost;
        Some((daemon, time_limit))
    }

    /// Notes that a question is no longer open.
    pub(crate) fn finish(&mut self, daemon: &str, cost_ms: u64) {
        if let Some(backlog) = self.backlog_ms.get_mut(daemon) {
            *backlog = backlog.saturating_sub(cost_ms);
        }
    }
}

/// Returns the time that the service needs for an answer, in ms.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and at most 100 workers are named"
)]
pub(crate) fn expected_ms(order: &AdviceOrder) -> u64 {
    let workers = order.workers.len() as f64;
    (order.policy.decision_ms + order.policy.per_worker_ms * workers).ceil() as u64
}

/// Asks the service, through another daemon if one is given.
pub(crate) async fn ask_advice(
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
    let question = PeerQuestion {
        step,
        workers: order.workers.clone(),
        time_limit_ms: u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX),
    };
    let body = serde_json::to_vec(&question).ok()?;
    let body = peer.post_json("/advice", body, time_limit).await.ok()??;
    let answer: PeerAnswer = serde_json::from_slice(&body).ok()?;
    Some(AdviceReport {
        tickets: answer.tickets,
        valid: Duration::from_millis(answer.valid_ms),
    })
}

impl From<AdviceReport> for PeerAnswer {
    fn from(report: AdviceReport) -> Self {
        Self {
            tickets: report.tickets,
            valid_ms: u64::try_from(report.valid.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
