//! The set of objects of one configuration version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    messages::{ObjectKind, ObjectRef},
    spec::{MarketSpec, PoolSpec, ServiceSpec, TeamSpec},
    work::WorkSpec,
};
use crate::types::{ObjectName, PoolId, ServiceId, TeamId};

/// All objects of one configuration version, by kind and name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSet {
    /// Batch runs by name.
    pub batches: BTreeMap<ObjectName, WorkSpec>,
    /// Gang jobs by name.
    pub gangs: BTreeMap<ObjectName, WorkSpec>,
    /// Markets by name.
    pub markets: BTreeMap<ObjectName, MarketSpec>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolSpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Long-running tasks by name.
    pub tasks: BTreeMap<ObjectName, WorkSpec>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamSpec>,
}

/// An object of any kind.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectSpec {
    /// A batch run.
    Batch(WorkSpec),
    /// A gang job.
    Gang(WorkSpec),
    /// A market.
    Market(MarketSpec),
    /// A pool of hosts.
    Pool(PoolSpec),
    /// A service.
    Service(ServiceSpec),
    /// A long-running task.
    Task(WorkSpec),
    /// A team.
    Team(TeamSpec),
}

impl ObjectSpec {
    /// Returns the kind and name of the object.
    #[must_use]
    pub fn reference(&self) -> ObjectRef {
        let (kind, name) = match self {
            Self::Batch(work) => (ObjectKind::Batch, &work.name),
            Self::Gang(work) => (ObjectKind::Gang, &work.name),
            Self::Market(market) => (ObjectKind::Market, &market.name),
            Self::Pool(pool) => (ObjectKind::Pool, &pool.name),
            Self::Service(service) => (ObjectKind::Service, &service.name),
            Self::Task(work) => (ObjectKind::Task, &work.name),
            Self::Team(team) => (ObjectKind::Team, &team.name),
        };
        ObjectRef {
            kind,
            name: name.clone(),
        }
    }
}

impl ObjectSet {
    /// Inserts an object and returns whether it replaced one.
    pub fn insert(&mut self, object: ObjectSpec) -> bool {
        let name = object.reference().name;
        match object {
            ObjectSpec::Batch(work) => self.batches.insert(name, work).is_some(),
            ObjectSpec::Gang(work) => self.gangs.insert(name, work).is_some(),
            ObjectSpec::Market(market) => self.markets.insert(name, market).is_some(),
            ObjectSpec::Pool(pool) => self.pools.insert(name, pool).is_some(),
            ObjectSpec::Service(service) => self.services.insert(name, service).is_some(),
            ObjectSpec::Task(work) => self.tasks.insert(name, work).is_some(),
            ObjectSpec::Team(team) => self.teams.insert(name, team).is_some(),
        }
    }

    /// Removes an object and returns whether the set contained it.
    pub fn remove(&mut self, object: &ObjectRef) -> bool {
        let name = &object.name;
        match object.kind {
            ObjectKind::Batch => self.batches.remove(name).is_some(),
            ObjectKind::Gang => self.gangs.remove(name).is_some(),
            ObjectKind::Market => self.markets.remove(name).is_some(),
            ObjectKind::Pool => self.pools.remove(name).is_some(),
            ObjectKind::Service => self.services.remove(name).is_some(),
            ObjectKind::Task => self.tasks.remove(name).is_some(),
            ObjectKind::Team => self.teams.remove(name).is_some(),
        }
    }

    /// Returns whether the set contains an object.
    #[must_use]
    pub fn contains(&self, object: &ObjectRef) -> bool {
        let name = &object.name;
        match object.kind {
            ObjectKind::Batch => self.batches.contains_key(name),
            ObjectKind::Gang => self.gangs.contains_key(name),
            ObjectKind::Market => self.markets.contains_key(name),
            ObjectKind::Pool => self.pools.contains_key(name),
            ObjectKind::Service => self.services.contains_key(name),
            ObjectKind::Task => self.tasks.contains_key(name),
            ObjectKind::Team => self.teams.contains_key(name),
        }
    }

    /// Returns the number of objects of all kinds.
    #[must_use]
    pub fn len(&self) -> usize {
        let work = self.batches.len() + self.gangs.len() + self.tasks.len();
        work + self.markets.len() + self.pools.len() + self.services.len() + self.teams.len()
    }

    /// Returns whether the set has no objects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns copies of all objects, sorted by kind and name.
    #[must_use]
    pub fn objects(&self) -> BTreeMap<ObjectRef, ObjectSpec> {
        let batches = self.batches.values().cloned().map(ObjectSpec::Batch);
        let gangs = self.gangs.values().cloned().map(ObjectSpec::Gang);
        let markets = self.markets.values().cloned().map(ObjectSpec::Market);
        let pools = self.pools.values().cloned().map(ObjectSpec::Pool);
        let services = self.services.values().cloned().map(ObjectSpec::Service);
        let tasks = self.tasks.values().cloned().map(ObjectSpec::Task);
        let teams = self.teams.values().cloned().map(ObjectSpec::Team);
        batches
            .chain(gangs)
            .chain(markets)
            .chain(pools)
            .chain(services)
            .chain(tasks)
            .chain(teams)
            .map(|object| (object.reference(), object))
            .collect()
    }
}
