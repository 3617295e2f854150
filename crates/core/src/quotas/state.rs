//! State machine of the owner of one service: what each team uses there, and its allotments.

use std::{collections::BTreeMap, time::Duration};

use super::{
    messages::{
        QuotaAllotment, QuotaChange, QuotaOutcome, QuotaRecord, QuotaWrite, StoredQuota, TeamUsage,
    },
    resource::{ResourceShare, ShareTarget, amounts, bounds},
};
use crate::{
    teams::{ResourceCap, TeamTable},
    types::{ResourceVector, ServiceId, TeamId},
};

/// Shortest time between changes that no task and no other service waits for.
const EAGER_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two changes. It limits the calls while the tasks of several teams wait for
/// their caps in several services.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an allotment that is not used is returned. Its owner may be lost before another
/// service wants it, and tasks of a team under half of its cap may not wait for 3 s.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Largest number of teams in one change. A transaction has at most 32 entries: a condition and a
/// write for each team, and conditions on the owner and on the manifest.
const MAX_TEAMS_PER_CHANGE: usize = 14;

/// Number of a reading of the records. A cap that is lowered needs a reading with a higher one.
type ReadNumber = u64;

/// What the owner of a service knows of the caps of the teams.
///
/// A ledger without a service is not enforced: it admits everything, counts nothing and asks for
/// no change.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    service: Option<ServiceId>,
    teams: BTreeMap<TeamId, TeamLedger>,
    /// Number of the latest reading that was requested.
    requested_read: ReadNumber,
    /// Number of the latest reading that has ended. None has, until the records are loaded.
    finished_read: Option<ReadNumber>,
    /// Whether a change has no outcome yet.
    is_pending: bool,
    /// Teams of the pending change.
    pending: QuotaChange,
    /// Whether the next change is made for one team only, as the latest met newer records.
    is_contended: bool,
    /// Earliest time of the next change.
    urgent_at: Duration,
    /// Earliest time of the next change that nothing waits for.
    eager_at: Duration,
}

/// What the owner knows of one team.
#[derive(Clone, Debug, Default)]
struct TeamLedger {
    cap: ResourceCap,
    /// Resources of the runs that may be on the workers of the service.
    used: ResourceVector,
    /// Resources that waiting tasks lacked in the latest placement pass.
    lacking: ResourceVector,
    /// Largest demand of one of these tasks.
    lacking_task: ResourceVector,
    stored: StoredQuota,
    /// An allotment that was sent and may not have been written yet, as far as it is lower.
    lowered: Option<ResourceVector>,
    /// Since when the allotment is much larger than the use.
    idle_since: Option<Duration>,
    /// Reading that must have ended before more tasks start, since the cap was lowered: allotments
    /// of other services may be higher than what is known of them.
    needed_read: ReadNumber,
}

impl TeamLedger {
    /// Returns the allotment by which this owner places work.
    fn allotted(&self, service: &ServiceId) -> ResourceVector {
        let own = self.stored.record.services.get(service);
        let stored = own.copied().unwrap_or_default().allotted;
        self.lowered.unwrap_or(stored)
    }

    /// Returns the amounts of each resource.
    fn shares(&self, service: &ServiceId) -> [ResourceShare; 3] {
        let services = self.stored.record.services.iter();
        let others = services.filter(|(other, _)| *other != service);
        let (mut others_sum, mut wanted) = (ResourceVector::default(), ResourceVector::default());
        let mut service_count = 1;
        for (_, allotment) in others {
            others_sum = others_sum.plus(&allotment.allotted);
            wanted = wanted.plus(&allotment.wanted);
            service_count += 1;
        }
        let (own, others, wanted) = (
            amounts(&self.allotted(service)),
            amounts(&others_sum),
            amounts(&wanted),
        );
        let (used, lacking) = (amounts(&self.used), amounts(&self.lacking));
        let lacking_task = amounts(&self.lacking_task);
        let cap = bounds(&self.cap);
        std::array::from_fn(|index| ResourceShare {
            cap: cap[index],
            used: used[index],
            lacking: lacking[index],
            lacking_task: lacking_task[index],
            own: own[index],
            others: others[index],
            wanted: wanted[index],
            service_count,
        })
    }

    /// Returns the record that the store should hold, and whether something waits for the change.
    /// Returns `None` if the present one will do.
    fn next_record(&self, service: &ServiceId, now: Duration) -> Option<(QuotaRecord, bool)> {
        let returns_idle = self
            .idle_since
            .is_some_and(|since| now >= since + IDLE_TIME);
        let targets = self.shares(service);
        let targets = targets.map(|share| share.choose_target(returns_idle));
        let vector = |amount: fn(&ShareTarget) -> u64| {
            let [cpu_milli, memory_mib, accelerators] = targets.each_ref().map(amount);
            ResourceVector::new(cpu_milli, memory_mib, accelerators)
        };
        let next = QuotaAllotment {
            allotted: vector(|target| target.allotted),
            wanted: vector(|target| target.wanted),
        };
        let stored = self.stored.record.services.get(service);
        let stored = stored.copied().unwrap_or_default();
        let is_wanting = |wanted: &ResourceVector| amounts(wanted).map(|amount| amount > 0);
        // A lower allotment that was sent may still be written, unless another record replaces the
        // one that it expects.
        let has_open_write = self
            .lowered
            .is_some_and(|lowered| lowered != stored.allotted);
        if !has_open_write
            && next.allotted == stored.allotted
            && is_wanting(&next.wanted) == is_wanting(&stored.wanted)
        {
            return None;
        }
        let mut record = self.stored.record.clone();
        if next == QuotaAllotment::default() {
            record.services.remove(service);
        } else {
            record.services.insert(ServiceId::clone(service), next);
        }
        let is_urgent = targets.iter().any(|target| target.is_urgent);
        Some((record, is_urgent))
    }

    /// Takes over a record of the store if it is newer than the known one.
    fn update_stored(&mut self, stored: StoredQuota) {
        if stored.revision > self.stored.revision {
            self.stored = stored;
            // A write that was sent on the former revision either is in this one or fails.
            self.lowered = None;
        }
    }
}

impl QuotaLedger {
    /// Returns the ledger of a service in which the caps of teams are enforced. It admits no task of
    /// a team with a cap before the records are read.
    #[must_use]
    pub fn new(service: ServiceId) -> Self {
        Self {
            service: Some(service),
            requested_read: 1,
            ..Self::default()
        }
    }

    /// Sets the caps in force. A team that is not listed any more keeps its cap while it is known.
    pub fn set_caps(&mut self, teams: &TeamTable) {
        if self.service.is_none() {
            return;
        }
        for (team, terms) in teams {
            let is_known = self.teams.contains_key(team);
            let ledger = self.teams.entry(TeamId::clone(team)).or_default();
            let former = std::mem::replace(&mut ledger.cap, terms.cap);
            if is_known && !former.as_vector().fits_in(&terms.cap.as_vector()) {
                self.requested_read += u64::from(self.finished_read == Some(self.requested_read));
                ledger.needed_read = self.requested_read;
            }
        }
    }

    /// Counts a run of a team.
    pub fn charge(&mut self, team: Option<&TeamId>, demand: &ResourceVector) {
        let (Some(_), Some(team)) = (&self.service, team) else {
            return;
        };
        let ledger = self.teams.entry(TeamId::clone(team)).or_default();
        ledger.used = ledger.used.plus(demand);
    }

    /// Ends the count of a run of a team.
    pub fn release(&mut self, team: Option<&TeamId>, demand: &ResourceVector) {
        let ledger = team.and_then(|team| self.teams.get_mut(team));
        if let Some(ledger) = ledger {
            ledger.used = ledger.used.minus(demand).unwrap_or_default();
        }
    }

    /// Returns how many of `count` tasks of a team may be placed now.
    #[must_use]
    pub fn admit(&self, team: Option<&TeamId>, demand: &ResourceVector, count: usize) -> usize {
        let (Some(service), Some(team)) = (&self.service, team) else {
            return count;
        };
        let Some(ledger) = self.teams.get(team) else {
            return count;
        };
        if ledger.cap.is_unlimited() {
            return count;
        }
        if self
            .finished_read
            .is_none_or(|read| read < ledger.needed_read)
        {
            return 0;
        }
        let shares = ledger.shares(service);
        let admitted = shares.iter().zip(amounts(demand));
        let admitted = admitted.map(|(share, demand)| share.admit(demand)).min();
        let admitted = admitted.unwrap_or(u64::MAX);
        usize::try_from(admitted).unwrap_or(usize::MAX).min(count)
    }

    /// Forgets what tasks lacked in the latest placement pass.
    pub fn begin_pass(&mut self) {
        for ledger in self.teams.values_mut() {
            ledger.lacking = ResourceVector::default();
            ledger.lacking_task = ResourceVector::default();
        }
    }

    /// Records that `count` tasks with this demand wait for their team's allotment.
    pub fn add_lacking(&mut self, team: Option<&TeamId>, demand: &ResourceVector, count: u64) {
        let ledger = team.and_then(|team| self.teams.get_mut(team));
        if let Some(ledger) = ledger {
            ledger.lacking = ledger.lacking.plus(&demand.times(count));
            ledger.lacking_task = ledger.lacking_task.max_with(demand);
        }
    }

    /// Returns the number of the reading of all records that is due, if one is.
    #[must_use]
    pub fn due_read(&self) -> Option<u64> {
        let is_due = self.finished_read != Some(self.requested_read);
        (self.service.is_some() && is_due).then_some(self.requested_read)
    }

    /// Takes over all records of the store. They were read after [`Self::due_read`] returned this
    /// number.
    pub fn finish_read(&mut self, number: u64, records: BTreeMap<TeamId, StoredQuota>) {
        self.update_records(records);
        self.finished_read = self.finished_read.max(Some(number));
    }

    /// Takes over records that a watch has delivered.
    pub fn update_records(&mut self, records: BTreeMap<TeamId, StoredQuota>) {
        if self.service.is_none() {
            return;
        }
        for (team, stored) in records {
            self.teams.entry(team).or_default().update_stored(stored);
        }
    }

    /// Returns the next change of allotments, unless one is pending or none is due.
    pub fn next_change(&mut self, now: Duration) -> Option<QuotaChange> {
        let service = self.service.clone()?;
        if self.is_pending || self.finished_read.is_none() || now < self.urgent_at {
            return None;
        }
        let is_eager = now >= self.eager_at;
        let limit = if self.is_contended {
            1
        } else {
            MAX_TEAMS_PER_CHANGE
        };
        let mut change = QuotaChange::default();
        let mut has_urgent = false;
        for (team, ledger) in &mut self.teams {
            if ledger.cap.is_unlimited() {
                continue;
            }
            let is_idle = ledger.shares(&service).iter().any(ResourceShare::is_idle);
            ledger.idle_since = is_idle.then(|| ledger.idle_since.unwrap_or(now));
            if change.writes.len() >= limit {
                continue;
            }
            match ledger.next_record(&service, now) {
                Some((record, is_urgent)) if is_urgent || is_eager => {
                    has_urgent |= is_urgent;
                    let former = ledger.allotted(&service);
                    let next = record.services.get(&service).copied().unwrap_or_default();
                    change.is_raise |= !next.allotted.fits_in(&former);
                    ledger.lowered = Some(former.min_with(&next.allotted));
                    change.writes.push(QuotaWrite {
                        team: TeamId::clone(team),
                        expected_revision: ledger.stored.revision,
                        record,
                    });
                }
                _ => {}
            }
        }
        if change.writes.is_empty() {
            return None;
        }
        self.urgent_at = now + CHANGE_INTERVAL;
        if !has_urgent {
            self.eager_at = now + EAGER_INTERVAL;
        }
        self.is_pending = true;
        self.pending = change.clone();
        Some(change)
    }

    /// Handles the outcome of the pending change.
    pub fn finish_change(&mut self, outcome: QuotaOutcome) {
        let change = std::mem::take(&mut self.pending);
        self.is_pending = false;
        self.is_contended = matches!(outcome, QuotaOutcome::Conflict(_));
        if self.is_contended {
            // The newer records are known now. Another owner that changes them often would be ahead
            // again after the interval.
            self.urgent_at = Duration::ZERO;
        }
        match outcome {
            QuotaOutcome::Written(revision) => {
                let written = change.writes.into_iter().map(|write| {
                    let record = write.record;
                    (write.team, StoredQuota { record, revision })
                });
                self.update_records(written.collect());
            }
            QuotaOutcome::Conflict(records) => self.update_records(records),
            QuotaOutcome::Unknown => {}
        }
    }

    /// Returns what each team with a cap uses of it.
    pub fn usage(&self) -> impl Iterator<Item = (&TeamId, TeamUsage)> {
        let teams = self.service.iter().flat_map(|service| {
            let capped = self.teams.iter();
            let capped = capped.filter(|(_, ledger)| !ledger.cap.is_unlimited());
            capped.map(move |(team, ledger)| (service, team, ledger))
        });
        teams.map(|(service, team, ledger)| {
            let usage = TeamUsage {
                cap: ledger.cap,
                used: ledger.used,
                allotted: ledger.allotted(service),
                lacking: ledger.lacking,
            };
            (team, usage)
        })
    }
}
