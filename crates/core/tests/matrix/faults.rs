//! The beginning and the end of faults in a run.

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::prelude::*;

/// When a daemon is drained.
const DRAIN_AT: Duration = Duration::from_secs(9);

/// Lag of the list of hosts.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

/// A fault that begins when a step is reached for the nth time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Injection {
    pub(crate) fault: Fault,
    pub(crate) step: Step,
    /// Earlier occurrences of the step that pass without the fault.
    pub(crate) skip: u32,
}

impl Injection {
    /// Returns an injection whose occurrence follows from the seed.
    pub(crate) fn new(fault: Fault, step: Step, seed: u64) -> Self {
        let skip = ChaCha8Rng::seed_from_u64(seed).random_range(0..4);
        // These steps are reached only a few times in a run.
        let rare = matches!(step, Step::Handover | Step::Publish);
        let skip = if rare { 0 } else { skip };
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

/// A fault in force, with the daemon and the worker that it may concern.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveFault {
    until: Duration,
    fault: Fault,
    daemon: usize,
    worker: usize,
}

impl World {
    pub(crate) fn read_host_list(&mut self, index: usize) {
        let seen = self.now.checked_sub(HOST_LIST_LAG);
        let leaving = (0..WORKERS).filter(|worker| {
            let since = self.workers[*worker].leaving_since;
            since.is_some_and(|since| seen.is_some_and(|seen| since <= seen))
        });
        self.daemons[index].leaving_hosts = leaving.map(worker_name).collect();
    }

    /// Drains the owner of the keys, or of the first pool, once.
    pub(crate) fn drain_owner(&mut self, index: usize) {
        let shard = if self.options.seed.is_multiple_of(2) {
            key_shard()
        } else {
            pool_shard(0)
        };
        let owns = self.daemons[index].owners.owned_epoch(&shard).is_some();
        if owns && !self.drained && self.now >= DRAIN_AT {
            self.drained = true;
            self.daemons[index].drain();
        }
    }

    pub(crate) fn reach(&mut self, step: Step, daemon: usize, worker: Option<usize>) {
        let due = self.pending.iter_mut().position(|injection| {
            let matches = injection.step == step;
            let due = matches && injection.skip == 0;
            injection.skip -= u32::from(matches && !due);
            due
        });
        if let Some(position) = due {
            let fault = self.pending.remove(position).fault;
            self.begin(ActiveFault {
                until: self.now + fault.duration(),
                fault,
                daemon,
                worker: worker.unwrap_or(daemon % WORKERS),
            });
        }
    }

    fn begin(&mut self, active: ActiveFault) {
        self.note(TraceEntry::Fault("FAULT", active));
        self.calm_since = self.calm_since.max(active.until);
        self.faults.push(active);
        self.network.faults.push(active.fault);
        let daemon = active.daemon;
        let worker = &mut self.workers[active.worker];
        match active.fault {
            Fault::Kill => self.daemons[daemon].alive = false,
            Fault::Pause => self.resume_at[daemon] = active.until,
            Fault::PartitionBothWays => self.cut(daemon, true),
            Fault::PartitionOneWay => self.cut(daemon, false),
            Fault::StoreDown => self.store.down = true,
            Fault::ResponseLost => self.store.lose_write_responses = true,
            Fault::LeaseExpired => self.store.expire_lease(&self.daemons[daemon].name),
            Fault::WorkerDead => worker.kill(),
            Fault::WorkerFailsAll => worker.fails_all = true,
            Fault::HostLeaving => worker.leaving_since = Some(self.now),
            Fault::CancelBurst => self.cancel_all(),
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

    /// Cuts a daemon off: what it sends, and what it is sent with `both`.
    fn cut(&mut self, daemon: usize, both: bool) {
        let daemons = (0..DAEMONS).map(Node::Daemon);
        let workers = (0..WORKERS).map(Node::Worker);
        let runners = (0..RUNNERS).map(Node::Runner);
        let nodes = daemons.chain(workers).chain(runners).chain([Node::Store]);
        let own = Node::Daemon(daemon);
        for other in nodes.filter(|node| *node != own) {
            self.network.cut.insert((own, other));
            if both {
                self.network.cut.insert((other, own));
            }
        }
    }

    fn cancel_all(&mut self) {
        let tasks = self.jobs.values().flat_map(|job| job.tasks.clone());
        for task in tasks.collect::<Vec<_>>() {
            for index in 0..DAEMONS {
                self.schedule_to(self.now, index, Message::Cancel(task));
            }
        }
    }

    pub(crate) fn end_faults(&mut self) {
        let now = self.now;
        let ended = self.faults.extract_if(.., |active| active.until <= now);
        for active in ended.collect::<Vec<_>>() {
            self.note(TraceEntry::Fault("END", active));
            self.end(active);
        }
        let faults = self.faults.iter().map(|active| active.fault);
        self.network.faults = faults.collect();
    }

    fn end(&mut self, active: ActiveFault) {
        let daemon = &mut self.daemons[active.daemon];
        match active.fault {
            Fault::Kill if !daemon.alive => {
                self.processes += 1;
                *daemon = Daemon::new(active.daemon, self.processes, self.now, &self.options);
            }
            Fault::PartitionBothWays | Fault::PartitionOneWay => self.network.cut.clear(),
            Fault::StoreDown => self.store.down = false,
            Fault::ResponseLost => self.store.lose_write_responses = false,
            Fault::WorkerDead => self.workers[active.worker].dead = false,
            Fault::WorkerFailsAll => self.workers[active.worker].fails_all = false,
            Fault::ClockFast | Fault::ClockSlow => daemon.clock.set_rate(self.now, 100),
            _ => {}
        }
    }
}
