//! Dispatch of calls: a slot from the owner, then the call to the runner.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use auburnsaddle_core::{
    CallOutcome, CallRequest, GrantResult, HostEntry, NotRunReason, RequestId, RetryBudget,
    RetryConfig, RetryDecision, ServiceId, ServiceSpec, ShardName, TeamId, UnknownReason,
    UrgencyClass,
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::sync::oneshot;

use super::{
    body::RelayBody,
    messages::{CallCommand, GrantedSlot, SlotRefusal, SlotReply},
    upload::{CallBody, UploadBody, UploadWatch},
};
use crate::{
    control::{ControlEvent, ControlHandle, RoutingSnapshot},
    hosts::{ExchangeFailure, admission_rejection, classify_failure},
    peers::{PeerReply, PeerRequest, PeerRouter},
    telemetry::{ProcessMetrics, format_request, trace_request},
};

/// Mean time after which a call without an owner asks again. A takeover takes
/// seconds, so this adds little to it and a waiting call costs 20 looks a second.
const RESUBMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Attempts to return a slot. An owner that stays silent for all of them reclaims
/// the slot; a repeated return frees nothing.
const RETURN_ATTEMPTS: u32 = 5;

/// Mean time to the second attempt to return a slot; it doubles with each.
const RETURN_DELAY: Duration = Duration::from_millis(100);

/// Reason with which a runner rejects an epoch below the highest it has seen.
const FENCED_REASON: &str = "fenced";

/// A call as received from a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallHead<B = CallBody> {
    /// Identifier of the request, carried through all processes.
    pub(crate) request: RequestId,
    /// The team that is charged.
    pub(crate) team: Option<TeamId>,
    /// Urgency, if the caller named one.
    pub(crate) urgency: Option<UrgencyClass>,
    /// Time until the caller's deadline.
    pub(crate) remaining: Duration,
    /// Method of the request.
    pub(crate) method: Method,
    /// Path and query for the runner.
    pub(crate) path: String,
    /// Headers for the runner.
    pub(crate) headers: HeaderMap,
    /// The body, as far as it is read.
    pub(crate) body: B,
}

impl CallHead<()> {
    /// Adds the body.
    pub(crate) fn with_body<B>(self, body: B) -> CallHead<B> {
        CallHead {
            request: self.request,
            team: self.team,
            urgency: self.urgency,
            remaining: self.remaining,
            method: self.method,
            path: self.path,
            headers: self.headers,
            body,
        }
    }
}

/// A runner's answer, streamed.
pub(crate) type CallReply = Response<RelayBody>;

/// Sends calls to runners.
#[derive(Clone, Debug)]
pub(crate) struct CallDispatcher {
    control: ControlHandle,
    router: PeerRouter,
    runners: Client<HttpConnector, UploadBody>,
    budgets: Arc<Mutex<BTreeMap<ServiceId, RetryBudget>>>,
    metrics: ProcessMetrics,
}

/// What bounds a further attempt of a call.
struct RetryBounds {
    /// Attempts made so far.
    attempts: u32,
    /// Time left until the caller's deadline.
    remaining: Duration,
    /// Whether the call may run twice.
    may_repeat: bool,
}

/// Returns a slot to its owner when dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    dispatcher: CallDispatcher,
    slot: GrantedSlot,
    result: GrantResult,
    /// The caller's request.
    request: RequestId,
}

/// Tells the owner that a waiting requester went away, unless disarmed.
#[derive(Debug)]
struct CancelGuard {
    control: ControlHandle,
    shard: ShardName,
    request: RequestId,
    armed: bool,
}

impl CallDispatcher {
    /// Returns a dispatcher without connections.
    pub(crate) fn new(control: ControlHandle, router: PeerRouter, metrics: ProcessMetrics) -> Self {
        let runners = Client::builder(TokioExecutor::new())
            .http2_only(true)
            // Retries are decided here, within a budget, and at no other layer.
            .retry_canceled_requests(false)
            .build_http();
        Self {
            control,
            router,
            runners,
            budgets: Arc::default(),
            metrics,
        }
    }

    /// Returns the router to other daemons.
    pub(crate) const fn router(&self) -> &PeerRouter {
        &self.router
    }

    /// Sends a call of a service to a runner, again if the budget allows it. A
    /// call that may have run is sent again only if it `may_repeat`.
    pub(crate) async fn dispatch(
        &self,
        service: &ServiceSpec,
        mut head: CallHead,
        may_repeat: bool,
    ) -> CallOutcome<CallReply> {
        let started_at = Instant::now();
        let allowed = head.remaining;
        let mut attempts = 1;
        let mut unknown = None;
        self.with_budget(service, RetryBudget::record_first_attempt);
        loop {
            // Callers may give several requests one identifier, and the slot of
            // the last attempt may still be on its way back; an owner ignores a
            // second request for a slot under the same identifier.
            let slot_request = rand::random();
            let outcome = self.attempt(service, slot_request, head.clone()).await;
            // A rejection of this attempt says nothing of the earlier ones.
            let outcome = match (outcome, unknown) {
                (CallOutcome::NotRun(_), Some(reason)) => CallOutcome::Unknown(reason),
                (outcome, _) => outcome,
            };
            if let CallOutcome::Unknown(reason) = outcome {
                unknown = Some(reason);
            }
            let bounds = RetryBounds {
                attempts,
                remaining: allowed.saturating_sub(started_at.elapsed()),
                may_repeat,
            };
            let decision = self.decide_retry(service, &head, &outcome, &bounds);
            let RetryDecision::After(delay) = decision else {
                return outcome;
            };
            self.metrics.note_retry();
            tokio::time::sleep(delay).await;
            attempts += 1;
            head.remaining = allowed.saturating_sub(started_at.elapsed());
        }
    }

    fn decide_retry(
        &self,
        service: &ServiceSpec,
        head: &CallHead,
        outcome: &CallOutcome<CallReply>,
        bounds: &RetryBounds,
    ) -> RetryDecision {
        if !head.body.can_repeat() {
            return RetryDecision::NoRetry;
        }
        let mut random = rand::rng();
        self.with_budget(service, |budget| {
            budget.decide(
                outcome,
                bounds.may_repeat,
                bounds.attempts,
                bounds.remaining,
                &mut random,
            )
        })
    }

    /// Returns the retries that each service may make at once.
    pub(crate) fn retry_budgets(&self) -> BTreeMap<ServiceId, u64> {
        let budgets = self.budgets.lock();
        let budgets = budgets.unwrap_or_else(PoisonError::into_inner);
        let available = budgets.iter();
        available
            .map(|(service, budget)| (service.clone(), budget.available_retries()))
            .collect()
    }

    /// Uses the budget of a service; the lock is held for this call only.
    fn with_budget<T>(
        &self,
        service: &ServiceSpec,
        use_it: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        // A budget stays valid when a holder of the lock panics.
        let budgets = self.budgets.lock();
        let mut budgets = budgets.unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.name.clone());
        use_it(budget.or_insert_with(|| RetryBudget::new(RetryConfig::default())))
    }

    /// Makes one attempt of a call.
    async fn attempt(
        &self,
        service: &ServiceSpec,
        slot_request: RequestId,
        mut head: CallHead,
    ) -> CallOutcome<CallReply> {
        let snapshot = self.control.snapshot();
        let Some(shard) = choose_shard(&snapshot, service) else {
            return CallOutcome::NotRun(NotRunReason::NoTarget);
        };
        let call = CallRequest {
            request: slot_request,
            team: head.team.clone(),
            urgency: head.urgency.unwrap_or(service.urgency),
            remaining: head.remaining,
            requester: Some(snapshot.daemon.clone()),
            redirected: false,
        };
        let started_at = Instant::now();
        let waiting = self.request_slot(&shard, call);
        let slot = match tokio::time::timeout(head.remaining, waiting).await {
            Ok(Ok(slot)) => slot,
            Ok(Err(SlotRefusal::NotRun(reason))) => return CallOutcome::NotRun(reason),
            // A redirected call is not redirected again.
            Ok(Err(SlotRefusal::Redirected(_))) => {
                return CallOutcome::NotRun(NotRunReason::NoOwner);
            }
            Err(_) => return CallOutcome::NotRun(NotRunReason::DeadlineUnmeetable),
        };
        let is_borrowed = slot.grant.lender.is_some();
        self.metrics.note_grant(is_borrowed, started_at.elapsed());
        log::debug!(runner = &*slot.grant.runner; "slot granted");
        head.remaining = head.remaining.saturating_sub(started_at.elapsed());
        match tokio::time::timeout(head.remaining, self.send_call(slot, head)).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::Unknown(UnknownReason::DeadlinePassed),
        }
    }

    /// Asks the owner of a shard for a slot, and its successor if the owner is
    /// gone. No call has been dispatched at this point, so asking again is safe;
    /// the caller of this function bounds the time.
    async fn request_slot(&self, shard: &ShardName, mut call: CallRequest) -> SlotReply {
        let started_at = Instant::now();
        let allowed = call.remaining;
        let mut shard = shard.clone();
        loop {
            let snapshot = self.control.snapshot();
            let asked = self.ask_owner(&snapshot, shard.clone(), call.clone());
            match asked.await {
                Err(SlotRefusal::NotRun(NotRunReason::NoOwner)) => {
                    let wait = RESUBMIT_INTERVAL.mul_f64(rand::random_range(0.5..1.5));
                    tokio::time::sleep(wait).await;
                    // An owner whose link went down may still hold the request,
                    // and ignores a second one under the same identifier.
                    call.request = rand::random();
                    call.remaining = allowed.saturating_sub(started_at.elapsed());
                }
                Err(SlotRefusal::Redirected(zone)) if !call.redirected => {
                    if let ShardName::Call(_, of) = &mut shard {
                        *of = zone;
                    }
                    call.redirected = true;
                    call.remaining = allowed.saturating_sub(started_at.elapsed());
                }
                reply => return reply,
            }
        }
    }

    /// Asks the owner of a shard for a slot, here or at a peer.
    async fn ask_owner(
        &self,
        snapshot: &RoutingSnapshot,
        shard: ShardName,
        call: CallRequest,
    ) -> SlotReply {
        let no_owner = || SlotRefusal::NotRun(NotRunReason::NoOwner);
        let owner = snapshot.owners.get(&shard).ok_or_else(no_owner)?;
        if owner.daemon == snapshot.daemon {
            return self.enqueue_call(shard, call).await;
        }
        let request = PeerRequest::RequestSlot(shard.clone(), call);
        match self.router.ask_owner(&shard, owner, &request).await {
            Ok(PeerReply::Slot(reply)) => reply,
            Ok(_) => Err(no_owner()),
            Err(error) => {
                log::debug!("asking {} for a slot failed: {error}", owner.daemon);
                Err(no_owner())
            }
        }
    }

    /// Queues a call at a shard that this daemon owns.
    pub(crate) async fn enqueue_call(&self, shard: ShardName, call: CallRequest) -> SlotReply {
        let (reply, receiver) = oneshot::channel();
        let mut guard = CancelGuard {
            control: self.control.clone(),
            shard: shard.clone(),
            request: call.request,
            armed: true,
        };
        let command = CallCommand::Request { shard, call, reply };
        self.control.send(ControlEvent::Calls(command)).await;
        let reply = receiver.await;
        let reply = reply.unwrap_or(Err(SlotRefusal::NotRun(NotRunReason::Draining)));
        guard.armed = false;
        reply
    }

    async fn send_call(&self, slot: GrantedSlot, head: CallHead) -> CallOutcome<CallReply> {
        let snapshot = self.control.snapshot();
        let mut guard = SlotGuard {
            dispatcher: self.clone(),
            slot,
            result: GrantResult::Failed,
            request: head.request,
        };
        let host = snapshot.hosts.get(&guard.slot.grant.runner);
        let request = host.and_then(|host| runner_request(host, &guard.slot, head));
        let Some((request, mut upload)) = request else {
            return guard.not_run(NotRunReason::TargetUnreachable);
        };
        let exchange = match upload.watch(self.runners.request(request)).await {
            Ok(exchange) => exchange,
            Err(fault) => return CallOutcome::Unknown(fault.into()),
        };
        match exchange {
            Ok(response) if admission_rejection(&response).is_some() => {
                if admission_rejection(&response) == Some(FENCED_REASON) {
                    let (shard, epoch) = guard.slot.fence();
                    let event = ControlEvent::TargetFenced(shard, epoch);
                    self.control.send(event).await;
                }
                guard.not_run(NotRunReason::RejectedByTarget)
            }
            Ok(response) => CallOutcome::Completed(relay(response, guard, upload)),
            Err(error) => match classify_failure(&error) {
                ExchangeFailure::NotRun(reason) => guard.not_run(reason),
                ExchangeFailure::Unknown(reason) => CallOutcome::Unknown(reason),
            },
        }
    }

    async fn return_slot(self, slot: GrantedSlot, result: GrantResult) {
        let snapshot = self.control.snapshot();
        let GrantedSlot {
            shard,
            epoch,
            grant,
        } = slot;
        let Some(owner) = snapshot.owners.get(&shard) else {
            return;
        };
        if owner.daemon == snapshot.daemon {
            let command = CallCommand::Return {
                shard,
                epoch,
                grant: grant.grant,
                result,
            };
            self.control.send(ControlEvent::Calls(command)).await;
            return;
        }
        let request = PeerRequest::ReturnSlot(shard, epoch, grant.grant, result);
        for attempt in 0..RETURN_ATTEMPTS {
            let Err(error) = self.router.send(&owner.daemon, &request).await else {
                return;
            };
            log::warn!("returning a slot to {} failed: {error}", owner.daemon);
            let delay = RETURN_DELAY * (1 << attempt);
            tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.5))).await;
        }
    }
}

impl SlotGuard {
    /// Notes that the whole answer arrived.
    pub(super) const fn note_answered(&mut self) {
        self.result = GrantResult::Answered;
    }

    fn not_run(&mut self, reason: NotRunReason) -> CallOutcome<CallReply> {
        self.result = GrantResult::Rejected;
        CallOutcome::NotRun(reason)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let returned = self
            .dispatcher
            .clone()
            .return_slot(self.slot.clone(), self.result);
        tokio::spawn(trace_request(self.request, returned));
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.armed {
            let control = self.control.clone();
            let command = CallCommand::Cancel {
                shard: self.shard.clone(),
                request: self.request,
            };
            tokio::spawn(async move { control.send(ControlEvent::Calls(command)).await });
        }
    }
}

/// Chooses the shard of this daemon's zone, or the first one with an owner.
fn choose_shard(snapshot: &RoutingSnapshot, service: &ServiceSpec) -> Option<ShardName> {
    let zones = snapshot.runner_zones(&service.name);
    let local = zones.iter().find(|zone| **zone == snapshot.zone);
    let zone = local.or_else(|| zones.first())?;
    Some(ShardName::Call(service.name.clone(), zone.clone()))
}

/// Returns the request for a runner, or `None` if its address is malformed.
fn runner_request(
    host: &HostEntry,
    slot: &GrantedSlot,
    head: CallHead,
) -> Option<(Request<UploadBody>, UploadWatch)> {
    let uri: Uri = format!("http://{}{}", host.address, head.path)
        .parse()
        .ok()?;
    let (body, upload) = head.body.open();
    let mut request = Request::new(body);
    *request.method_mut() = head.method;
    *request.uri_mut() = uri;
    *request.headers_mut() = head.headers;
    let (shard, epoch) = slot.fence();
    let headers = request.headers_mut();
    headers.insert(
        "auburnsaddle-shard",
        HeaderValue::from_str(&shard.to_string()).ok()?,
    );
    headers.insert("auburnsaddle-epoch", HeaderValue::from(epoch));
    let remaining = u64::try_from(head.remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert("auburnsaddle-deadline-ms", HeaderValue::from(remaining));
    let id = format_request(head.request);
    headers.insert("auburnsaddle-request-id", HeaderValue::from_str(&id).ok()?);
    Some((request, upload))
}

fn relay(response: Response<Incoming>, guard: SlotGuard, upload: UploadWatch) -> CallReply {
    response.map(|body| RelayBody::new(body, guard, upload))
}
