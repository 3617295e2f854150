//! Sends orders to workers and reports their outcomes to the control thread.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use auburnsaddle_core::{
    PaceOrder, PipelineAction, PipelineEvent, RenewalOrder, RenewalStamp, StartAnswer, StartOrder,
    StartResult, StopOrder, WorkerId,
};
use auburnsaddle_platform::WorkerClient;
use tokio::{
    runtime::Handle,
    sync::{Semaphore, mpsc},
};

use crate::{cell::CellEvent, telemetry::BootClock};

/// Largest number of concurrent orders to one worker. Each uses a connection. Lease
/// renewals are not counted.
const MAX_OPEN_ORDERS: usize = 3;

/// Longest time for which a start order may wait for a connection. The owner counts the lease
/// from its release.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(1);

/// Delay before a stop that failed is sent a second time.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Until when the store has confirmed an ownership. Clones share the time.
///
/// Failure mode: a daemon is suspended, or hands its service over, after an order was decided
/// and before it is sent. The permit is therefore checked where the order is sent, on a clock
/// that includes suspensions.
#[derive(Clone, Debug, Default)]
struct OwnershipPermit {
    /// End of the confirmed time in ms; 0 once the ownership has ended.
    until_ms: Arc<AtomicU64>,
}

impl OwnershipPermit {
    fn set(&self, until: Duration) {
        let until_ms = u64::try_from(until.as_millis()).unwrap_or(u64::MAX);
        self.until_ms.store(until_ms, Ordering::Release);
    }

    fn is_valid(&self, now: Duration) -> bool {
        now.as_millis() < u128::from(self.until_ms.load(Ordering::Acquire))
    }
}

/// The client of one worker.
#[derive(Clone, Debug)]
struct WorkerConnection {
    client: WorkerClient,
    /// Limits the concurrent orders.
    permits: Arc<Semaphore>,
    /// Fencing token of the latest claim. A start order that waits for a connection may belong
    /// to an earlier one, and a worker that was restarted meanwhile would not reject it.
    latest_token: Arc<AtomicU64>,
}

/// Sends the orders of one owned service to its workers.
#[derive(Debug)]
pub(crate) struct WorkerOrders {
    runtime: Handle,
    events: mpsc::Sender<CellEvent>,
    clock: BootClock,
    /// Service to which the outcomes belong.
    service: Arc<str>,
    /// Epoch of this ownership; outcomes that arrive in another epoch are ignored.
    epoch: u64,
    permit: OwnershipPermit,
    connections: BTreeMap<WorkerId, WorkerConnection>,
}

impl Drop for WorkerOrders {
    fn drop(&mut self) {
        self.permit.set(Duration::ZERO);
    }
}

impl WorkerOrders {
    pub(crate) fn new(
        runtime: Handle,
        events: mpsc::Sender<CellEvent>,
        clock: BootClock,
        service: Arc<str>,
        epoch: u64,
    ) -> Self {
        Self {
            runtime,
            events,
            clock,
            service,
            epoch,
            permit: OwnershipPermit::default(),
            connections: BTreeMap::new(),
        }
    }

    /// Permits start orders to be sent until the given time.
    pub(crate) fn permit_until(&self, until: Duration) {
        self.permit.set(until);
    }

    /// Sends an action that is an order to a worker; returns any other action.
    pub(crate) fn send(&mut self, action: PipelineAction) -> Option<PipelineAction> {
        match action {
            PipelineAction::Start(order) => self.start(order),
            PipelineAction::Stop(order) => self.stop(order),
            PipelineAction::Renew(order) => self.renew(order),
            PipelineAction::Pace(order) => self.change_pace(order),
            other => return Some(other),
        }
        None
    }

    /// Drops the connections to workers for which `is_known` returns false.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        self.connections.retain(|worker, _| is_known(worker));
    }

    /// Returns the connection to a worker. A changed address replaces it.
    fn connection(&mut self, worker: &WorkerId, address: &str) -> WorkerConnection {
        match self.connections.get(worker) {
            Some(connection) if *connection.client.address() == address => connection.clone(),
            former => {
                let latest_token = former.map(|connection| Arc::clone(&connection.latest_token));
                let connection = WorkerConnection {
                    client: WorkerClient::new(address),
                    permits: Arc::new(Semaphore::new(MAX_OPEN_ORDERS)),
                    latest_token: latest_token.unwrap_or_default(),
                };
                self.connections.insert(worker.clone(), connection.clone());
                connection
            }
        }
    }

    /// Returns a function that adds the service and the epoch to an event.
    fn event_wrapper(&self) -> impl Fn(PipelineEvent) -> CellEvent + use<> {
        let (service, epoch) = (self.service.clone(), self.epoch);
        move |event| CellEvent::Pipeline(service.clone(), epoch, event)
    }

    fn start(&mut self, order: StartOrder) {
        let connection = self.connection(&order.worker, &order.address);
        let (wrap_event, events) = (self.event_wrapper(), self.events.clone());
        let (ownership, clock) = (self.permit.clone(), self.clock);
        let released_at = clock.now();
        self.runtime.spawn(async move {
            let _permit = connection.permits.acquire().await;
            let is_superseded = order.token < connection.latest_token.load(Ordering::Acquire);
            let sent_at = clock.now();
            let is_overdue = sent_at > released_at + MAX_ORDER_DELAY;
            let can_send = ownership.is_valid(sent_at) && !is_superseded && !is_overdue;
            let (result, clock_ms) = if can_send {
                connection.client.start(&order).await
            } else {
                (StartResult::NotSent, None)
            };
            let answer = StartAnswer {
                result,
                sent_at,
                clock_ms,
            };
            let event = PipelineEvent::StartAnswered(order.worker, order.run, answer);
            // Sending fails only while the process shuts down, after the end of the
            // control thread.
            let _ = events.send(wrap_event(event)).await;
        });
    }

    fn stop(&mut self, order: StopOrder) {
        let connection = self.connection(&order.worker, &order.address);
        let (wrap_event, events) = (self.event_wrapper(), self.events.clone());
        self.runtime.spawn(async move {
            let _permit = connection.permits.acquire().await;
            let mut is_done = connection.client.stop(&order).await;
            if !is_done {
                tokio::time::sleep(STOP_RETRY_DELAY).await;
                is_done = connection.client.stop(&order).await;
            }
            let event = PipelineEvent::StopAnswered(order.worker, order.run, is_done);
            let _ = events.send(wrap_event(event)).await;
        });
    }

    fn change_pace(&mut self, order: PaceOrder) {
        let connection = self.connection(&order.target.worker, &order.target.address);
        self.runtime.spawn(async move {
            let _permit = connection.permits.acquire().await;
            if !connection.client.pace(&order).await {
                log::debug!(
                    worker = order.target.worker.as_ref();
                    "changing the pace of a worker failed"
                );
            }
        });
    }

    fn renew(&mut self, order: RenewalOrder) {
        let connection = self.connection(&order.worker, &order.address);
        connection
            .latest_token
            .fetch_max(order.token, Ordering::AcqRel);
        let (wrap_event, events) = (self.event_wrapper(), self.events.clone());
        let clock = self.clock;
        self.runtime.spawn(async move {
            let sent_at = clock.now();
            let event = match connection.client.renew_lease(&order).await {
                Ok(report) => {
                    let stamp = RenewalStamp {
                        token: order.token,
                        sent_at,
                    };
                    PipelineEvent::LeaseRenewed(order.worker, stamp, report)
                }
                // The claim was given up, and a later renewal may be pending.
                Err(_) if order.token < connection.latest_token.load(Ordering::Acquire) => return,
                Err(failure) => PipelineEvent::RenewalFailed(order.worker, failure),
            };
            let _ = events.send(wrap_event(event)).await;
        });
    }
}
