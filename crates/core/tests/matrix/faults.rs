//! The selection, start and end of injected faults.

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::prelude::*;

/// Earliest time at which a daemon is drained.
const DRAIN_AT: Duration = Duration::from_secs(9);

/// Delay until the host list shows that a host is leaving.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

/// A fault that starts at an occurrence of a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Injection {
    pub(crate) fault: Fault,
    pub(crate) step: Step,
    /// Number of occurrences of the step to skip before the fault starts.
    pub(crate) skip: u32,
}

impl Injection {
    /// Returns an injection whose number of skipped occurrences is drawn from
    /// the seed.
    pub(crate) fn new(fault: Fault, step: Step, seed: u64) -> Self {
        let skip = ChaCha8Rng::seed_from_u64(seed).random_range(0..4);
        // These steps occur only a few times in a run.
        let is_rare = matches!(step, Step::Handover | Step::Publish);
        let skip = if is_rare { 0 } else { skip };
        Self { fault, step, skip }
    }
}

/// Returns two injections drawn from a seed.
pub(crate) fn draw_pair(seed: u64) -> Vec<Injection> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = || {
        let fault = FAULTS[generator.random_range(0..FAULTS.len())];
        let step = STEPS[generator.random_range(0..STEPS.len())];
        Injection::new(fault, step, generator.random())
    };
    vec![draw(), draw()]
}

/// A fault in progress, with the daemon and the worker that it affects if it is
/// specific to one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveFault {
    until: Duration,
    fault: Fault,
    daemon: usize,
    worker: usize,
}

impl World {
    /// Reads the delayed list of leaving hosts into a daemon.
    pub(crate) fn read_host_list(&mut self, index: usize) {
        let listed_until = self.now.checked_sub(HOST_LIST_LAG);
        let leaving = (0..WORKERS).filter(|worker| {
            let since = self.workers[*worker].leaving_since;
            since.is_some_and(|since| listed_until.is_some_and(|until| since <= until))
        });
        self.daemons[index].leaving_hosts = leaving.map(worker_name).collect();
    }

    /// Drains the owner of the key shard (even seeds) or of the first pool (odd
    /// seeds), once per run.
    pub(crate) fn drain_owner(&mut self, index: usize) {
        let shard = if self.options.seed.is_multiple_of(2) {
            key_shard()
        } else {
            pool_shard(0)
        };
        let is_owner = self.daemons[index].owners.owned_epoch(&shard).is_some();
        if is_owner && !self.is_drained && self.now >= DRAIN_AT {
            self.is_drained = true;
            self.daemons[index].drain();
        }
    }

    /// Handles the occurrence of a step: starts the first injected fault that is
    /// due, or counts the occurrence as skipped. A fault of a worker without a
    /// given worker affects the one with the number of the daemon.
    pub(crate) fn start_due_fault(&mut self, step: Step, daemon: usize, worker: Option<usize>) {
        let due = self.pending_injections.iter_mut().position(|injection| {
            let matches = injection.step == step;
            let is_due = matches && injection.skip == 0;
            injection.skip -= u32::from(matches && !is_due);
            is_due
        });
        if let Some(position) = due {
            let fault = self.pending_injections.remove(position).fault;
            self.start_fault(ActiveFault {
                until: self.now + fault.duration(),
                fault,
                daemon,
                worker: worker.unwrap_or(daemon % WORKERS),
            });
        }
    }

    fn start_fault(&mut self, active: ActiveFault) {
        self.push_trace(TraceEntry::Fault("FAULT", active));
        self.faults_end_at = self.faults_end_at.max(active.until);
        self.active_faults.push(active);
        self.network.faults.push(active.fault);
        let daemon = active.daemon;
        let worker = &mut self.workers[active.worker];
        match active.fault {
            Fault::Kill => self.daemons[daemon].is_alive = false,
            Fault::Pause => self.resume_at[daemon] = active.until,
            Fault::PartitionBothWays => self.partition_daemon(daemon, true),
            Fault::PartitionOneWay => self.partition_daemon(daemon, false),
            Fault::StoreDown => self.store.is_down = true,
            Fault::ResponseLost => self.store.loses_write_responses = true,
            Fault::LeaseExpired => self.store.expire_lease(&self.daemons[daemon].name),
            Fault::WorkerDead => worker.kill(),
            Fault::WorkerFailsAll => worker.fails_all = true,
            Fault::HostLeaving => worker.leaving_since = Some(self.now),
            Fault::CancelBurst => self.cancel_all_tasks(),
            Fault::TwoOperators => {
                for index in 0..DAEMONS {
                    let number = 50 + index as u64;
                    self.schedule_to(self.now, index, Message::Publish(number));
                }
            }
            Fault::ClockFast => self.daemons[daemon].clock.set_rate(self.now, 105),
            Fault::ClockSlow => self.daemons[daemon].clock.set_rate(self.now, 95),
            _ => {}
        }
    }

    /// Blocks the messages that a daemon sends, and with `both_ways` also those
    /// sent to it.
    fn partition_daemon(&mut self, daemon: usize, both_ways: bool) {
        let daemons = (0..DAEMONS).map(Node::Daemon);
        let workers = (0..WORKERS).map(Node::Worker);
        let runners = (0..RUNNERS).map(Node::Runner);
        let nodes = daemons.chain(workers).chain(runners).chain([Node::Store]);
        let own = Node::Daemon(daemon);
        for other in nodes.filter(|node| *node != own) {
            self.network.blocked.insert((own, other));
            if both_ways {
                self.network.blocked.insert((other, own));
            }
        }
    }

    fn cancel_all_tasks(&mut self) {
        let tasks = self.jobs.values().flat_map(|job| job.tasks.clone());
        for task in tasks.collect::<Vec<_>>() {
            for index in 0..DAEMONS {
                self.schedule_to(self.now, index, Message::Cancel(task));
            }
        }
    }

    pub(crate) fn end_faults(&mut self) {
        let now = self.now;
        let ended = self
            .active_faults
            .extract_if(.., |active| active.until <= now);
        for active in ended.collect::<Vec<_>>() {
            self.push_trace(TraceEntry::Fault("END", active));
            self.end_fault(active);
        }
        let faults = self.active_faults.iter().map(|active| active.fault);
        self.network.faults = faults.collect();
    }

    fn end_fault(&mut self, active: ActiveFault) {
        let daemon = &mut self.daemons[active.daemon];
        match active.fault {
            Fault::Kill if !daemon.is_alive => {
                self.restart_count += 1;
                *daemon = Daemon::new(active.daemon, self.restart_count, self.now, &self.options);
            }
            Fault::PartitionBothWays | Fault::PartitionOneWay => self.network.blocked.clear(),
            Fault::StoreDown => self.store.is_down = false,
            Fault::ResponseLost => self.store.loses_write_responses = false,
            Fault::WorkerDead => self.workers[active.worker].is_dead = false,
            Fault::WorkerFailsAll => self.workers[active.worker].fails_all = false,
            Fault::ClockFast | Fault::ClockSlow => daemon.clock.set_rate(self.now, 100),
            _ => {}
        }
    }
}
