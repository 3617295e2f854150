//! Sends orders to workers and their outcomes to the control thread.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use auburnsaddle_core::{
    PaceOrder, PipelineAction, PipelineEvent, RenewalOrder, StartOrder, StopOrder, WorkerId,
};
use auburnsaddle_platform::WorkerClient;
use tokio::{
    runtime::Handle,
    sync::{Semaphore, mpsc},
};

use crate::{cell::CellEvent, telemetry::BootClock};

/// Orders to one worker that are open at once, renewals not counted. Each uses a
/// connection.
const OPEN_ORDERS: usize = 3;

/// Delay before a start that was not carried out late is sent again.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct WorkerLine {
    client: WorkerClient,
    orders: Arc<Semaphore>,
}

/// The connections to the workers of one owned service.
#[derive(Debug)]
pub(crate) struct WorkerOrders {
    runtime: Handle,
    events: mpsc::Sender<CellEvent>,
    clock: BootClock,
    /// The shard and epoch that outcomes belong to.
    service: Arc<str>,
    epoch: u64,
    lines: BTreeMap<WorkerId, WorkerLine>,
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
            lines: BTreeMap::new(),
        }
    }

    /// Carries out an action that is an order; returns any other.
    pub(crate) fn send(&mut self, action: PipelineAction) -> Option<PipelineAction> {
        match action {
            PipelineAction::Start(order) => self.start(order),
            PipelineAction::Stop(order) => self.stop(order),
            PipelineAction::Renew(order) => self.hold(order),
            PipelineAction::Pace(order) => self.pace(order),
            other => return Some(other),
        }
        None
    }

    /// Forgets workers that are not in the list.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        self.lines.retain(|worker, _| is_known(worker));
    }

    fn line(&mut self, worker: &WorkerId, address: &str) -> WorkerLine {
        match self.lines.get(worker) {
            Some(line) if *line.client.address() == address => line.clone(),
            _ => {
                let line = WorkerLine {
                    client: WorkerClient::new(address),
                    orders: Arc::new(Semaphore::new(OPEN_ORDERS)),
                };
                self.lines.insert(worker.clone(), line.clone());
                line
            }
        }
    }

    fn report(&self) -> impl Fn(PipelineEvent) -> CellEvent + use<> {
        let (service, epoch) = (self.service.clone(), self.epoch);
        move |event| CellEvent::Pipeline(service.clone(), epoch, event)
    }

    fn start(&mut self, order: StartOrder) {
        let line = self.line(&order.worker, &order.address);
        let (report, events) = (self.report(), self.events.clone());
        self.runtime.spawn(async move {
            let _permit = line.orders.acquire().await;
            let result = line.client.start(&order).await;
            let event = PipelineEvent::StartAnswered(order.worker, order.run, result);
            // The control thread has ended only if the process is about to.
            let _ = events.send(report(event)).await;
        });
    }

    fn stop(&mut self, order: StopOrder) {
        let line = self.line(&order.worker, &order.address);
        let (report, events) = (self.report(), self.events.clone());
        self.runtime.spawn(async move {
            let _permit = line.orders.acquire().await;
            let mut is_done = line.client.stop(&order).await;
            if !is_done {
                tokio::time::sleep(REPEAT_DELAY).await;
                is_done = line.client.stop(&order).await;
            }
            let event = PipelineEvent::StopAnswered(order.worker, order.run, is_done);
            let _ = events.send(report(event)).await;
        });
    }

    fn pace(&mut self, order: PaceOrder) {
        let line = self.line(&order.target.worker, &order.target.address);
        self.runtime.spawn(async move {
            let _permit = line.orders.acquire().await;
            if !line.client.pace(&order).await {
                log::debug!(worker = order.target.worker.as_ref(); "a change of pace failed");
            }
        });
    }

    fn hold(&mut self, order: RenewalOrder) {
        let line = self.line(&order.worker, &order.address);
        let (report, events) = (self.report(), self.events.clone());
        let clock = self.clock;
        self.runtime.spawn(async move {
            let sent_at = clock.now();
            let event = match line.client.renew_lease(&order).await {
                Ok(held) => PipelineEvent::LeaseRenewed(order.worker, sent_at, held),
                Err(failure) => PipelineEvent::RenewalFailed(order.worker, failure),
            };
            let _ = events.send(report(event)).await;
        });
    }
}
