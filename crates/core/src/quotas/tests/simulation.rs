//! Owners of several services, a store that carries out transactions late, and caps that change.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::super::{QuotaChange, QuotaLedger, QuotaOutcome, StoredQuota};
use crate::{
    teams::{ResourceCap, TeamTable, TeamTerms},
    types::{ResourceVector, ServiceId, TeamId},
};

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time after a change of the caps for which the former ones may be in force.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Longest time for which tasks of a team under half of its cap may wait without a fault.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Time after a fault for which waiting tasks do not count.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Largest demand of a task.
const MAX_DEMAND: u64 = 8;

/// A transaction that the store has not carried out, or whose answer is on its way.
struct SentChange {
    owner_index: usize,
    owner_revision: u64,
    manifest_version: usize,
    change: QuotaChange,
    executes_at: Duration,
    outcome: Option<QuotaOutcome>,
    is_answer_lost: bool,
    answers_at: Duration,
}

/// A run of a team.
struct SimulatedRun {
    team: TeamId,
    demand: ResourceVector,
    ends_at: Duration,
}

/// The owner of a service, and what it knows.
struct SimulatedOwner {
    service: ServiceId,
    ledger: QuotaLedger,
    revision: u64,
    manifest_version: usize,
    learns_at: Duration,
    watches_at: Duration,
    runs: Vec<SimulatedRun>,
    /// Demand of the next waiting task of each team, and since when it waits.
    waiting: BTreeMap<TeamId, (ResourceVector, Duration)>,
    read: Option<(u64, Duration, BTreeMap<TeamId, StoredQuota>)>,
}

/// Services with owners that share the caps of teams.
pub(super) struct QuotaSimulation {
    rng: ChaCha8Rng,
    now: Duration,
    /// Caps of each version of the manifest, and when it was written.
    manifests: Vec<(TeamTable, Duration)>,
    store: BTreeMap<TeamId, StoredQuota>,
    revision: u64,
    owners: Vec<SimulatedOwner>,
    sent: Vec<SentChange>,
    fault_at: Duration,
    /// Number of writes that were sent.
    pub(super) change_count: usize,
    /// Number of tasks that were started.
    pub(super) start_count: usize,
}

fn demand(rng: &mut ChaCha8Rng) -> ResourceVector {
    ResourceVector::new(0, 0, rng.random_range(1..=MAX_DEMAND))
}

fn caps(teams: &[TeamId], rng: &mut ChaCha8Rng) -> TeamTable {
    let terms_of = |cap| TeamTerms {
        weight: 1,
        cap: ResourceCap {
            accelerators: Some(cap),
            ..ResourceCap::default()
        },
    };
    let teams = teams.iter().cloned();
    teams
        .map(|team| (team, terms_of(rng.random_range(24..=120))))
        .collect()
}

impl QuotaSimulation {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let teams: Vec<TeamId> = ["red", "green", "blue"].map(TeamId::from).into();
        let manifest = caps(&teams, &mut rng);
        let owner = |name: &str, revision| SimulatedOwner {
            service: name.into(),
            ledger: QuotaLedger::new(name.into()),
            revision,
            manifest_version: 0,
            learns_at: Duration::ZERO,
            watches_at: Duration::ZERO,
            runs: Vec::new(),
            waiting: BTreeMap::new(),
            read: None,
        };
        let mut simulation = Self {
            rng,
            now: Duration::from_secs(10),
            owners: vec![owner("s1", 1), owner("s2", 2), owner("s3", 3)],
            manifests: vec![(manifest, Duration::ZERO)],
            store: BTreeMap::new(),
            revision: 3,
            sent: Vec::new(),
            fault_at: Duration::from_secs(10),
            change_count: 0,
            start_count: 0,
        };
        for owner in &mut simulation.owners {
            owner.ledger.set_caps(&simulation.manifests[0].0);
        }
        simulation
    }

    /// Plays the given time. `fault_percent` is the chance of a fault in each second.
    pub(super) fn run(&mut self, time: Duration, fault_percent: u32) -> Result<(), String> {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if self.rng.random_range(0..10_000) < fault_percent {
                self.bring_about_fault();
            }
            self.execute_changes();
            for index in 0..self.owners.len() {
                self.deliver_news(index);
                self.place_tasks(index)?;
                self.send_change(index);
            }
        }
        Ok(())
    }

    fn bring_about_fault(&mut self) {
        self.fault_at = self.now;
        if self.rng.random_bool(0.5) {
            let teams: Vec<TeamId> = self.manifests[0].0.keys().cloned().collect();
            let manifest = caps(&teams, &mut self.rng);
            self.manifests.push((manifest, self.now));
            for owner in &mut self.owners {
                let delay = Duration::from_millis(self.rng.random_range(5..1_500));
                owner.learns_at = self.now + delay;
            }
            return;
        }
        // A successor knows the runs of its predecessor and has read no record.
        let index = self.rng.random_range(0..self.owners.len());
        self.revision += 1;
        let owner = &mut self.owners[index];
        owner.revision = self.revision;
        owner.ledger = QuotaLedger::new(owner.service.clone());
        owner.manifest_version = self.manifests.len() - 1;
        owner
            .ledger
            .set_caps(&self.manifests[owner.manifest_version].0);
        for run in &owner.runs {
            owner.ledger.charge(Some(&run.team), &run.demand);
        }
        owner.read = None;
        for sent in &mut self.sent {
            sent.is_answer_lost |= sent.owner_index == index;
        }
    }

    /// Carries out the transactions that are due, and answers those that were.
    fn execute_changes(&mut self) {
        for sent in &mut self.sent {
            if sent.outcome.is_some() || self.now < sent.executes_at {
                continue;
            }
            let owner = &self.owners[sent.owner_index];
            let stored = |team: &TeamId| self.store.get(team).cloned().unwrap_or_default();
            let holds = owner.revision == sent.owner_revision
                && (!sent.change.is_raise || sent.manifest_version + 1 == self.manifests.len())
                && sent
                    .change
                    .writes
                    .iter()
                    .all(|write| stored(&write.team).revision == write.expected_revision);
            sent.outcome = Some(if holds {
                self.revision += 1;
                for write in &sent.change.writes {
                    let next = StoredQuota {
                        record: write.record.clone(),
                        revision: self.revision,
                    };
                    self.store.insert(write.team.clone(), next);
                }
                QuotaOutcome::Written(self.revision)
            } else {
                let teams = sent.change.writes.iter().map(|write| write.team.clone());
                let items = teams.map(|team| (team.clone(), stored(&team)));
                QuotaOutcome::Conflict(items.collect())
            });
        }
        let now = self.now;
        let (answered, open): (Vec<SentChange>, Vec<SentChange>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|sent| now >= sent.answers_at && sent.outcome.is_some());
        self.sent = open;
        for sent in answered.into_iter().filter(|sent| !sent.is_answer_lost) {
            let owner = &mut self.owners[sent.owner_index];
            if let Some(outcome) = sent.outcome {
                owner.ledger.finish_change(outcome);
            }
        }
        // An owner gives up a call long before the store may carry it out.
        for sent in &mut self.sent {
            let owner = &mut self.owners[sent.owner_index];
            if !sent.is_answer_lost
                && owner.revision == sent.owner_revision
                && self.now >= sent.answers_at
            {
                sent.is_answer_lost = true;
                owner.ledger.finish_change(QuotaOutcome::Unknown);
            }
        }
    }

    /// Delivers the manifest, records of the watch, and readings of all records.
    fn deliver_news(&mut self, index: usize) {
        let now = self.now;
        let owner = &mut self.owners[index];
        if now >= owner.learns_at && owner.manifest_version + 1 < self.manifests.len() {
            owner.manifest_version = self.manifests.len() - 1;
            owner
                .ledger
                .set_caps(&self.manifests[owner.manifest_version].0);
        }
        if now >= owner.watches_at {
            let delay = Duration::from_millis(self.rng.random_range(20..1_000));
            owner.watches_at = now + delay;
            owner.ledger.update_records(self.store.clone());
        }
        match owner.read.take() {
            Some((number, at, records)) if now >= at => owner.ledger.finish_read(number, records),
            Some(read) => owner.read = Some(read),
            None => {
                let delay = Duration::from_millis(self.rng.random_range(5..200));
                let number = owner.ledger.due_read();
                owner.read = number.map(|number| (number, now + delay, self.store.clone()));
            }
        }
        let ended = owner.runs.extract_if(.., |run| now >= run.ends_at);
        for run in ended {
            owner.ledger.release(Some(&run.team), &run.demand);
        }
    }

    fn total_used(&self, team: &TeamId) -> u64 {
        let runs = self.owners.iter().flat_map(|owner| &owner.runs);
        let runs = runs.filter(|run| run.team == *team);
        runs.map(|run| run.demand.accelerators).sum()
    }

    /// Returns the highest cap of a team in the manifests that may be in force.
    fn highest_cap(&self, team: &TeamId) -> u64 {
        let ends = self
            .manifests
            .iter()
            .skip(1)
            .map(|(_, written_at)| *written_at);
        let ends = ends.chain([Duration::MAX]);
        let in_force = self.manifests.iter().zip(ends);
        let in_force = in_force.filter(|(_, end)| end.saturating_add(APPLY_TIME) > self.now);
        let caps = in_force.map(|((table, _), _)| table[team].cap.accelerators.unwrap_or(0));
        caps.max().unwrap_or(0)
    }

    fn place_tasks(&mut self, index: usize) -> Result<(), String> {
        let teams: Vec<TeamId> = self.manifests[0].0.keys().cloned().collect();
        self.owners[index].ledger.begin_pass();
        for (team_index, team) in teams.iter().enumerate() {
            let now = self.now;
            // The demand of the teams comes and goes in each service at other times.
            let second = usize::try_from(now.as_secs()).unwrap();
            let is_busy = !(second / 7 + index + team_index).is_multiple_of(3);
            let owner = &mut self.owners[index];
            if is_busy && !owner.waiting.contains_key(team) {
                let next = demand(&mut self.rng);
                owner.waiting.insert(team.clone(), (next, now));
            }
            let Some((wanted, since)) = owner.waiting.get(team).copied() else {
                continue;
            };
            if owner.ledger.admit(Some(team), &wanted, 1) == 0 {
                owner.ledger.add_lacking(Some(team), &wanted, 1);
                let total = self.total_used(team);
                let cap = self.manifests.last().map(|(table, _)| table[team].cap);
                let cap = cap.and_then(|cap| cap.accelerators).unwrap_or(0);
                let is_owed = (total + wanted.accelerators) * 2 < cap;
                let entry = self.owners[index].waiting.get_mut(team);
                match entry {
                    Some(entry) if !is_owed || now < self.fault_at + CALM_TIME => entry.1 = now,
                    _ if now > since + MAX_WAIT => {
                        return Err(format!(
                            "{team} waits in s{} at {now:?} with {total} of {cap} in use",
                            index + 1
                        ));
                    }
                    _ => {}
                }
                continue;
            }
            owner.waiting.remove(team);
            owner.ledger.charge(Some(team), &wanted);
            let run_time = Duration::from_millis(self.rng.random_range(100..3_000));
            owner.runs.push(SimulatedRun {
                team: team.clone(),
                demand: wanted,
                ends_at: now + run_time,
            });
            self.start_count += 1;
            let (total, cap) = (self.total_used(team), self.highest_cap(team));
            if total > cap + wanted.accelerators {
                return Err(format!("{team} has {total} of {cap} in use at {now:?}"));
            }
        }
        Ok(())
    }

    fn send_change(&mut self, index: usize) {
        let now = self.now;
        let owner = &mut self.owners[index];
        let Some(change) = owner.ledger.next_change(now) else {
            return;
        };
        self.change_count += 1;
        let is_late = self.rng.random_range(0..50) == 0;
        let delay = if is_late { 50..4_000 } else { 2..20 };
        let executes_at = now + Duration::from_millis(self.rng.random_range(delay));
        let is_slow = executes_at > now + Duration::from_millis(700);
        let answer_delay = Duration::from_millis(self.rng.random_range(2..20));
        let timeout = now + Duration::from_millis(700);
        self.sent.push(SentChange {
            owner_index: index,
            owner_revision: owner.revision,
            manifest_version: owner.manifest_version,
            change,
            executes_at,
            outcome: None,
            is_answer_lost: false,
            answers_at: if is_slow {
                timeout
            } else {
                executes_at + answer_delay
            },
        });
    }
}
