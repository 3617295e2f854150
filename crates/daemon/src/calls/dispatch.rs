//! Dispatches calls: obtains a slot from the owner of the call shard, then sends
//! the call to the granted runner.

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
    upload::{CallBody, UploadBody, UploadMonitor},
};
use crate::{
    control::{ControlEvent, ControlHandle, RoutingSnapshot},
    hosts::{ExchangeFailure, admission_rejection, classify_failure},
    peers::{PeerReply, PeerRequest, PeerRouter},
    telemetry::{ProcessMetrics, format_request_id, trace_request},
};

/// Mean delay before a call whose shard has no owner requests a slot again. A
/// takeover takes seconds, so the delay adds little to it, and a waiting call costs
/// 20 requests a second.
const RESUBMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Bounds the attempts to return a slot. If all of them fail, the owner reclaims
/// the slot. A repeated return has no effect.
const RETURN_ATTEMPTS: u32 = 5;

/// Mean delay before the second attempt to return a slot; it doubles with each
/// attempt.
const RETURN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The reason that a runner gives when it rejects a call whose epoch is below the
/// highest it has seen.
const FENCED_REASON: &str = "fenced";

/// A call as received from a caller, with its body or, for `B = ()`, without.
#[derive(Clone, Debug)]
pub(crate) struct CallHead<B = CallBody> {
    /// Identifier of the request, passed to every process that handles it.
    pub(crate) request: RequestId,
    /// The team to which the call is charged, if any.
    pub(crate) team: Option<TeamId>,
    /// Urgency; `None` for the default of the service.
    pub(crate) urgency: Option<UrgencyClass>,
    /// Time until the caller's deadline.
    pub(crate) remaining: Duration,
    /// HTTP method of the request to the runner.
    pub(crate) method: Method,
    /// Path and query of the request to the runner.
    pub(crate) path: String,
    /// Headers of the request to the runner.
    pub(crate) headers: HeaderMap,
    /// The body; a large one is read only in part.
    pub(crate) body: B,
}

impl CallHead<()> {
    /// Returns the call with a body.
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

/// The streamed response of a runner.
pub(crate) type CallReply = Response<RelayBody>;

/// Dispatches calls to runners and retries them within the budget of each service.
#[derive(Clone, Debug)]
pub(crate) struct CallDispatcher {
    control: ControlHandle,
    router: PeerRouter,
    runners: Client<HttpConnector, UploadBody>,
    budgets: Arc<Mutex<BTreeMap<ServiceId, RetryBudget>>>,
    metrics: ProcessMetrics,
}

/// The inputs that decide whether a call may be attempted again.
struct RetryBounds {
    /// Number of attempts made so far.
    attempts: u32,
    /// Time left until the caller's deadline.
    remaining: Duration,
    /// Whether the call may run more than once.
    may_repeat: bool,
}

/// Returns a slot to its owner when dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    dispatcher: CallDispatcher,
    slot: GrantedSlot,
    result: GrantResult,
    /// Identifier of the caller's request, for the log.
    request: RequestId,
}

/// Removes a call from its queue when dropped while armed. This happens if the
/// requester disconnects before the reply.
#[derive(Debug)]
struct CancelGuard {
    control: ControlHandle,
    shard: ShardName,
    request: RequestId,
    /// Whether the call still waits for its reply.
    is_armed: bool,
}

impl CallDispatcher {
    /// Returns a dispatcher without connections.
    pub(crate) fn new(control: ControlHandle, router: PeerRouter, metrics: ProcessMetrics) -> Self {
        let runners = Client::builder(TokioExecutor::new())
            .http2_only(true)
            // Only the dispatcher retries, because it keeps the retry budget.
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

    /// Returns the router that sends requests to other daemons.
    pub(crate) const fn router(&self) -> &PeerRouter {
        &self.router
    }

    /// Dispatches a call of a service to a runner and retries it if the budget
    /// allows. A call that may have run is retried only if it `may_repeat`.
    pub(crate) async fn dispatch(
        &self,
        service: &ServiceSpec,
        mut head: CallHead,
        may_repeat: bool,
    ) -> CallOutcome<CallReply> {
        let started_at = Instant::now();
        let time_limit = head.remaining;
        let mut attempts = 1;
        let mut unknown = None;
        self.with_budget(service, RetryBudget::record_first_attempt);
        loop {
            // Each attempt has its own identifier, because an owner ignores a
            // second slot request with the same one: callers may send several
            // requests with one identifier, and the slot of the previous attempt
            // may not be returned yet.
            let slot_request = rand::random();
            let outcome = self.attempt(service, slot_request, head.clone()).await;
            // An earlier attempt may have run although this one was rejected.
            let outcome = match (outcome, unknown) {
                (CallOutcome::NotRun(_), Some(reason)) => CallOutcome::Unknown(reason),
                (outcome, _) => outcome,
            };
            if let CallOutcome::Unknown(reason) = outcome {
                unknown = Some(reason);
            }
            let bounds = RetryBounds {
                attempts,
                remaining: time_limit.saturating_sub(started_at.elapsed()),
                may_repeat,
            };
            let decision = self.decide_retry(service, &head, &outcome, &bounds);
            let RetryDecision::After(delay) = decision else {
                return outcome;
            };
            self.metrics.record_retry();
            tokio::time::sleep(delay).await;
            attempts += 1;
            head.remaining = time_limit.saturating_sub(started_at.elapsed());
        }
    }

    /// Decides whether and when a call is attempted again.
    fn decide_retry(
        &self,
        service: &ServiceSpec,
        head: &CallHead,
        outcome: &CallOutcome<CallReply>,
        bounds: &RetryBounds,
    ) -> RetryDecision {
        if !head.body.can_resend() {
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

    /// Returns the number of retries that each service has left in its budget.
    pub(crate) fn retry_budgets(&self) -> BTreeMap<ServiceId, u64> {
        let budgets = self.budgets.lock();
        let budgets = budgets.unwrap_or_else(PoisonError::into_inner);
        let available = budgets.iter();
        available
            .map(|(service, budget)| (service.clone(), budget.available_retries()))
            .collect()
    }

    /// Calls `update` with the retry budget of a service, under the lock.
    fn with_budget<T>(
        &self,
        service: &ServiceSpec,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        // A panic while the lock is held leaves the budgets valid.
        let budgets = self.budgets.lock();
        let mut budgets = budgets.unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.name.clone());
        update(budget.or_insert_with(|| RetryBudget::new(RetryConfig::default())))
    }

    /// Makes one attempt at a call: obtains a slot and sends the call to its runner.
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
        let pending_slot = self.obtain_slot(&shard, call);
        let slot = match tokio::time::timeout(head.remaining, pending_slot).await {
            Ok(Ok(slot)) => slot,
            Ok(Err(SlotRefusal::NotRun(reason))) => return CallOutcome::NotRun(reason),
            // A slot request is redirected once at most.
            Ok(Err(SlotRefusal::Redirected(_))) => {
                return CallOutcome::NotRun(NotRunReason::NoOwner);
            }
            Err(_) => return CallOutcome::NotRun(NotRunReason::DeadlineUnmeetable),
        };
        let is_borrowed = slot.grant.lender.is_some();
        self.metrics.record_grant(is_borrowed, started_at.elapsed());
        log::debug!(runner = &*slot.grant.runner; "slot granted");
        head.remaining = head.remaining.saturating_sub(started_at.elapsed());
        match tokio::time::timeout(head.remaining, self.send_call(slot, head)).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::Unknown(UnknownReason::DeadlinePassed),
        }
    }

    /// Requests a slot from the owner of a shard, and repeats the request while the
    /// shard has no owner. This is safe because the call has not been sent yet. The
    /// caller of this function bounds the time.
    async fn obtain_slot(&self, shard: &ShardName, mut call: CallRequest) -> SlotReply {
        let started_at = Instant::now();
        let time_limit = call.remaining;
        let mut shard = shard.clone();
        loop {
            let snapshot = self.control.snapshot();
            let reply = self.ask_owner(&snapshot, shard.clone(), call.clone());
            match reply.await {
                Err(SlotRefusal::NotRun(NotRunReason::NoOwner)) => {
                    let wait = RESUBMIT_INTERVAL.mul_f64(rand::random_range(0.5..1.5));
                    tokio::time::sleep(wait).await;
                    // After a lost connection the owner may still have the request
                    // queued, and would ignore a second one with its identifier.
                    call.request = rand::random();
                    call.remaining = time_limit.saturating_sub(started_at.elapsed());
                }
                Err(SlotRefusal::Redirected(zone)) if !call.redirected => {
                    if let ShardName::Call(_, shard_zone) = &mut shard {
                        *shard_zone = zone;
                    }
                    call.redirected = true;
                    call.remaining = time_limit.saturating_sub(started_at.elapsed());
                }
                reply => return reply,
            }
        }
    }

    /// Sends a slot request to the owner of a shard: this daemon or a peer.
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
        match self.router.send_to_owner(&shard, owner, &request).await {
            Ok(PeerReply::Slot(reply)) => reply,
            Ok(_) => Err(no_owner()),
            Err(error) => {
                log::debug!("slot request to {} failed: {error}", owner.daemon);
                Err(no_owner())
            }
        }
    }

    /// Enqueues a call at a shard that this daemon owns and waits for the slot.
    pub(crate) async fn enqueue_call(&self, shard: ShardName, call: CallRequest) -> SlotReply {
        let (reply, receiver) = oneshot::channel();
        let mut guard = CancelGuard {
            control: self.control.clone(),
            shard: shard.clone(),
            request: call.request,
            is_armed: true,
        };
        let command = CallCommand::Request { shard, call, reply };
        self.control.send(ControlEvent::Calls(command)).await;
        let reply = receiver.await;
        let reply = reply.unwrap_or(Err(SlotRefusal::NotRun(NotRunReason::Draining)));
        guard.is_armed = false;
        reply
    }

    /// Sends a call to the runner of a granted slot.
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
            return guard.finish_not_run(NotRunReason::TargetUnreachable);
        };
        let exchange = match upload
            .wait_for_response(self.runners.request(request))
            .await
        {
            Ok(exchange) => exchange,
            Err(error) => return CallOutcome::Unknown(error.into()),
        };
        match exchange {
            Ok(response) if admission_rejection(&response).is_some() => {
                if admission_rejection(&response) == Some(FENCED_REASON) {
                    let (shard, epoch) = guard.slot.fencing_token();
                    let event = ControlEvent::FencedByTarget(shard, epoch);
                    self.control.send(event).await;
                }
                guard.finish_not_run(NotRunReason::RejectedByTarget)
            }
            Ok(response) => CallOutcome::Completed(relay_response(response, guard, upload)),
            Err(error) => match classify_failure(&error) {
                ExchangeFailure::NotRun(reason) => guard.finish_not_run(reason),
                ExchangeFailure::Unknown(reason) => CallOutcome::Unknown(reason),
            },
        }
    }

    /// Returns a slot to its owner. Failed returns to a peer are repeated.
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
            let delay = RETURN_RETRY_DELAY * (1 << attempt);
            tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.5))).await;
        }
    }
}

impl SlotGuard {
    /// Records that the whole response was received.
    pub(super) const fn mark_answered(&mut self) {
        self.result = GrantResult::Answered;
    }

    /// Records that the call was not run, and returns this as its outcome.
    fn finish_not_run(&mut self, reason: NotRunReason) -> CallOutcome<CallReply> {
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
        if self.is_armed {
            let control = self.control.clone();
            let command = CallCommand::Cancel {
                shard: self.shard.clone(),
                request: self.request,
            };
            tokio::spawn(async move { control.send(ControlEvent::Calls(command)).await });
        }
    }
}

/// Returns the shard of this daemon's zone if the service has runners there, else
/// that of the first zone with runners.
fn choose_shard(snapshot: &RoutingSnapshot, service: &ServiceSpec) -> Option<ShardName> {
    let zones = snapshot.runner_zones(&service.name);
    let local = zones.iter().find(|zone| **zone == snapshot.zone);
    let zone = local.or_else(|| zones.first())?;
    Some(ShardName::Call(service.name.clone(), zone.clone()))
}

/// Builds the request to a runner; returns `None` if its address is malformed.
fn runner_request(
    host: &HostEntry,
    slot: &GrantedSlot,
    head: CallHead,
) -> Option<(Request<UploadBody>, UploadMonitor)> {
    let uri: Uri = format!("http://{}{}", host.address, head.path)
        .parse()
        .ok()?;
    let (body, upload) = head.body.into_upload();
    let mut request = Request::new(body);
    *request.method_mut() = head.method;
    *request.uri_mut() = uri;
    *request.headers_mut() = head.headers;
    let (shard, epoch) = slot.fencing_token();
    let headers = request.headers_mut();
    headers.insert(
        "auburnsaddle-shard",
        HeaderValue::from_str(&shard.to_string()).ok()?,
    );
    headers.insert("auburnsaddle-epoch", HeaderValue::from(epoch));
    let remaining = u64::try_from(head.remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert("auburnsaddle-deadline-ms", HeaderValue::from(remaining));
    let id = format_request_id(head.request);
    headers.insert("auburnsaddle-request-id", HeaderValue::from_str(&id).ok()?);
    Some((request, upload))
}

fn relay_response(
    response: Response<Incoming>,
    guard: SlotGuard,
    upload: UploadMonitor,
) -> CallReply {
    response.map(|body| RelayBody::new(body, guard, upload))
}
