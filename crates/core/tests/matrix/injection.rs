//! The beginning and the end of faults in a run.

use std::time::Duration;

use super::{
    DAEMONS, RUNNERS, WORKERS,
    daemon::{Daemon, Outbox},
    faults::{Fault, Step},
    key_shard,
    network::{Message, NetworkFaults, Node},
    pool_shard,
    trace::TraceEntry,
    worker_name,
    world::World,
};

/// When a daemon is drained.
const DRAIN_AT: Duration = Duration::from_secs(9);

/// Lag of the list of hosts.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

impl World {
    pub(crate) fn read_host_list(&mut self, index: usize) {
        let now = self.now;
        let leaving = self.workers.iter().enumerate().filter(|(_, worker)| {
            let since = worker.leaving_since;
            since.is_some_and(|since| since + HOST_LIST_LAG <= now)
        });
        let leaving = leaving.map(|(worker, _)| worker_name(worker));
        self.daemons[index].leaving_hosts = leaving.collect();
    }

    /// Drains the owner of the keys, or of the first pool, once.
    pub(crate) fn drain_owner(&mut self, index: usize, out: &mut Outbox) {
        let daemon = &mut self.daemons[index];
        let shard = if self.options.seed.is_multiple_of(2) {
            key_shard()
        } else {
            pool_shard(0)
        };
        let owns = daemon.owners.owned_epoch(&shard).is_some();
        if owns && !self.drained && self.now >= DRAIN_AT {
            self.drained = true;
            daemon.drain(out);
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
            let injection = self.pending.remove(position);
            self.begin(injection.fault, daemon, worker.unwrap_or(daemon % WORKERS));
        }
    }

    fn begin(&mut self, fault: Fault, daemon: usize, worker: usize) {
        let until = self.now + fault.duration();
        self.note(TraceEntry::FaultBegins(fault, daemon, worker));
        self.calm_since = self.calm_since.max(until);
        self.faults.push((until, fault, daemon, worker));
        let cut = &mut self.network.faults.cut;
        match fault {
            Fault::Kill => self.daemons[daemon].alive = false,
            Fault::Pause => self.resume_at[daemon] = until,
            Fault::PartitionBothWays | Fault::PartitionOneWay => {
                for other in others(daemon) {
                    cut.insert((Node::Daemon(daemon), other));
                    if fault == Fault::PartitionBothWays {
                        cut.insert((other, Node::Daemon(daemon)));
                    }
                }
            }
            Fault::StoreDown => self.store.down = true,
            Fault::ResponseLost => self.store.lose_write_responses = true,
            Fault::LeaseExpired => {
                let name = self.daemons[daemon].name.clone();
                self.store.expire_lease(&name);
            }
            Fault::WorkerDead => self.workers[worker].kill(),
            Fault::WorkerFailsAll => self.workers[worker].fails_all = true,
            Fault::HostLeaving => self.workers[worker].leaving_since = Some(self.now),
            Fault::CancelBurst => self.cancel_all(),
            Fault::TwoOperators => {
                for index in 0..DAEMONS {
                    let number = 50 + index as u64;
                    self.schedule_to(self.now, index, Message::Publish(number));
                }
            }
            Fault::ClockFast => self.daemons[daemon].clock.set_rate(self.now, 105),
            Fault::ClockSlow => self.daemons[daemon].clock.set_rate(self.now, 95),
            _ => self.network.faults = self.network_faults(),
        }
    }

    fn cancel_all(&mut self) {
        let tasks: Vec<_> = self
            .jobs
            .values()
            .flat_map(|job| job.tasks.clone())
            .collect();
        for task in tasks {
            for index in 0..DAEMONS {
                self.schedule_to(self.now, index, Message::Cancel(task));
            }
        }
    }

    /// Returns the network faults that follow from the faults in force.
    fn network_faults(&self) -> NetworkFaults {
        let active = |fault| self.faults.iter().any(|(_, active, ..)| *active == fault);
        let millis = |fault, millis| Duration::from_millis(if active(fault) { millis } else { 0 });
        NetworkFaults {
            cut: self.network.faults.cut.clone(),
            delay: millis(Fault::Delay, 300),
            drop_percent: if active(Fault::Drop) { 25 } else { 0 },
            duplicate_percent: if active(Fault::Duplicate) { 25 } else { 0 },
            reorder: active(Fault::Reorder),
            store_delay: millis(Fault::StoreSlow, 400),
        }
    }

    pub(crate) fn advance_faults(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self
            .faults
            .extract_if(.., |(until, ..)| *until <= now)
            .collect();
        for (_, fault, daemon, worker) in ended {
            self.note(TraceEntry::FaultEnds(fault));
            match fault {
                Fault::Kill if !self.daemons[daemon].alive => {
                    self.processes += 1;
                    let (process, seed) = (self.processes, self.options.seed);
                    self.daemons[daemon] = Daemon::new(daemon, process, seed, now);
                    self.daemons[daemon].mutation = self.options.mutation;
                }
                Fault::PartitionBothWays | Fault::PartitionOneWay => {
                    self.network.faults.cut.clear();
                }
                Fault::StoreDown => self.store.down = false,
                Fault::ResponseLost => self.store.lose_write_responses = false,
                Fault::WorkerDead => self.workers[worker].dead = false,
                Fault::WorkerFailsAll => self.workers[worker].fails_all = false,
                Fault::ClockFast | Fault::ClockSlow => {
                    self.daemons[daemon].clock.set_rate(now, 100);
                }
                _ => {}
            }
            self.network.faults = self.network_faults();
        }
    }
}

fn others(daemon: usize) -> impl Iterator<Item = Node> {
    let peers = (0..DAEMONS).filter(move |other| *other != daemon);
    let workers = (0..WORKERS).map(Node::Worker);
    let runners = (0..RUNNERS).map(Node::Runner);
    let daemons = peers.map(Node::Daemon);
    daemons.chain(workers).chain(runners).chain([Node::Store])
}
