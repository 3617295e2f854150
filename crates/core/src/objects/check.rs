//! Validation of all objects as one set.

use std::collections::BTreeSet;

use super::{
    bounds, capacity, cycles,
    messages::{ObjectKind, ObjectProblem, ObjectProblemKind, ObjectRef},
    spec::{MarketSpec, PoolSpec, ServiceSpec, TeamSpec},
    state::{ObjectSet, ObjectSpec},
    work::WorkSpec,
};
use crate::types::{ObjectName, ResourceVector, RestartPolicy};

/// Returns all problems of a set, warnings included.
#[must_use]
pub fn check_objects(set: &ObjectSet) -> Vec<ObjectProblem> {
    check_set(set, &BTreeSet::new())
}

/// Returns all problems of a set. References to `malformed` objects, which could
/// not be parsed and are reported already, do not count as unknown.
pub(super) fn check_set(set: &ObjectSet, malformed: &BTreeSet<ObjectRef>) -> Vec<ObjectProblem> {
    let mut check = SetCheck {
        set,
        malformed,
        object: None,
        problems: Vec::new(),
    };
    for (object, spec) in set.objects() {
        check.check_name(&object);
        check.object = Some(object);
        check.check_object(&spec);
    }
    check.object = None;
    cycles::check_cycles(&mut check);
    capacity::check_guarantees(&mut check);
    check.problems
}

/// The state of a check in progress.
pub(super) struct SetCheck<'a> {
    pub(super) set: &'a ObjectSet,
    malformed: &'a BTreeSet<ObjectRef>,
    /// The object to which reported problems belong.
    pub(super) object: Option<ObjectRef>,
    problems: Vec<ObjectProblem>,
}

impl SetCheck<'_> {
    /// Reports a problem of the current object.
    pub(super) fn report_problem(&mut self, kind: ObjectProblemKind) {
        self.problems.push(ObjectProblem {
            file: String::new(),
            object: self.object.clone(),
            kind,
        });
    }

    fn check_name(&mut self, object: &ObjectRef) {
        self.object = Some(object.clone());
        match &*object.name {
            "" => self.report_problem(ObjectProblemKind::Missing { field: "name" }),
            name if !is_valid_name(name) => self.report_problem(ObjectProblemKind::InvalidName {
                name: name.to_owned(),
            }),
            _ => {}
        }
    }

    fn check_object(&mut self, spec: &ObjectSpec) {
        match spec {
            ObjectSpec::Batch(work) | ObjectSpec::Gang(work) | ObjectSpec::Task(work) => {
                self.check_work(work);
            }
            ObjectSpec::Market(market) => self.check_market(market),
            ObjectSpec::Pool(pool) => self.check_pool(pool),
            ObjectSpec::Service(service) => self.check_service(service),
            ObjectSpec::Team(team) => self.check_team(team),
        }
    }

    fn check_work(&mut self, work: &WorkSpec) {
        self.require_reference("pool", ObjectKind::Pool, &work.pool);
        self.require_reference("team", ObjectKind::Team, &work.team);
        self.check_bounds("count", work.count, 1, bounds::MAX_TASK_COUNT);
        self.check_bounds(
            "run_time_seconds",
            work.run_time_seconds,
            0,
            bounds::MAX_RUN_TIME_SECONDS,
        );
        self.check_bounds(
            "lease_seconds",
            work.lease_seconds,
            1,
            bounds::MAX_LEASE_SECONDS,
        );
        self.check_host_size(&work.request);
        for key in work.labels.keys().filter(|key| !is_valid_name(key)) {
            self.report_problem(ObjectProblemKind::InvalidName { name: key.clone() });
        }
        let is_batch = matches!(&self.object, Some(object) if object.kind == ObjectKind::Batch);
        if !is_batch && !work.after.is_empty() {
            self.report_problem(ObjectProblemKind::AfterOutsideBatch);
        }
        self.check_references(ObjectKind::Batch, &work.after);
        let needs_listed_tasks = work.restart != RestartPolicy::Anytime;
        match self.set.pools.get(&work.pool) {
            Some(pool) if needs_listed_tasks && !pool.targets_list_tasks => {
                self.report_problem(ObjectProblemKind::TasksNotListed {
                    pool: pool.name.to_string(),
                });
            }
            _ => {}
        }
        capacity::check_work(self, work);
    }

    fn check_market(&mut self, market: &MarketSpec) {
        self.require_name("region", &market.region);
        self.check_references(ObjectKind::Service, &market.services);
        self.check_references(ObjectKind::Batch, &market.batches);
        self.check_references(ObjectKind::Gang, &market.gangs);
        self.check_references(ObjectKind::Task, &market.tasks);
        self.check_references(ObjectKind::Team, &market.teams);
        self.check_regions(market);
    }

    /// Checks that all services and work of a market are in its region.
    fn check_regions(&mut self, market: &MarketSpec) {
        let set = self.set;
        let services = market.services.iter().map(|name| {
            let service = set.services.get(name);
            (
                ObjectKind::Service,
                name,
                service.map(|service| &service.pool),
            )
        });
        let work = [
            (ObjectKind::Batch, &market.batches, &set.batches),
            (ObjectKind::Gang, &market.gangs, &set.gangs),
            (ObjectKind::Task, &market.tasks, &set.tasks),
        ];
        let work = work.into_iter().flat_map(|(kind, names, specs)| {
            let names = names.iter();
            names.map(move |name| (kind, name, specs.get(name).map(|work| &work.pool)))
        });
        for (kind, name, pool) in services.chain(work) {
            match pool.and_then(|pool| set.pools.get(pool)) {
                Some(pool) if pool.region != market.region => {
                    self.report_problem(ObjectProblemKind::OtherRegion {
                        target: ObjectRef::new(kind, name),
                        found: pool.region.to_string(),
                        expected: market.region.to_string(),
                    });
                }
                _ => {}
            }
        }
    }

    fn check_pool(&mut self, pool: &PoolSpec) {
        self.require_name("region", &pool.region);
        if pool.zones.is_empty() {
            self.report_problem(ObjectProblemKind::Missing { field: "zones" });
        }
        for zone in &pool.zones {
            self.require_name("zones", zone);
        }
        let share = pool.accelerator_host_share_percent;
        self.check_bounds("accelerator_host_share_percent", share, 0, 100);
        for shape in &pool.shapes {
            self.check_bounds("count", shape.count, 1, bounds::MAX_SHAPE_HOSTS);
            self.check_bounds("rack_size", shape.rack_size, 1, bounds::MAX_SHAPE_HOSTS);
            self.check_host_size(&shape.capacity);
        }
        let host_count = capacity::count_pool_hosts(pool);
        if host_count > bounds::LARGE_POOL_HOSTS {
            self.report_problem(ObjectProblemKind::LargePool { host_count });
        }
    }

    fn check_service(&mut self, service: &ServiceSpec) {
        self.require_reference("pool", ObjectKind::Pool, &service.pool);
        self.check_bounds("urgent_share_percent", service.urgent_share_percent, 0, 100);
        self.check_bounds(
            "slots_per_runner",
            service.slots_per_runner,
            1,
            bounds::MAX_SLOTS,
        );
        let connections = service.connections_per_runner;
        self.check_bounds(
            "connections_per_runner",
            connections,
            1,
            bounds::MAX_CONNECTIONS,
        );
        self.check_bounds(
            "deadline_ms",
            service.deadline_ms,
            1,
            bounds::MAX_DEADLINE_MS,
        );
        self.check_bounds(
            "max_body_bytes",
            service.max_body_bytes,
            0,
            bounds::MAX_BODY_BYTES,
        );
    }

    fn check_team(&mut self, team: &TeamSpec) {
        self.check_bounds("weight", team.weight.into(), 1, bounds::MAX_WEIGHT);
        if team.quota.is_zero() {
            self.report_problem(ObjectProblemKind::Missing { field: "quota" });
        } else if !team.guaranteed.fits_in(&team.quota) {
            self.report_problem(ObjectProblemKind::GuaranteeOverQuota);
        }
        let hosts = bounds::MAX_SHAPE_HOSTS;
        let max_quota = ResourceVector::new(
            bounds::MAX_CPU_MILLI,
            bounds::MAX_MEMORY_MIB,
            bounds::MAX_ACCELERATORS,
        )
        .times(hosts);
        self.check_bounds(
            "quota.cpu_milli",
            team.quota.cpu_milli,
            0,
            max_quota.cpu_milli,
        );
        self.check_bounds(
            "quota.memory_mib",
            team.quota.memory_mib,
            0,
            max_quota.memory_mib,
        );
        self.check_bounds(
            "quota.accelerators",
            team.quota.accelerators,
            0,
            max_quota.accelerators,
        );
    }

    /// Checks the resources of one task or host.
    fn check_host_size(&mut self, size: &ResourceVector) {
        self.check_bounds("cpu_milli", size.cpu_milli, 1, bounds::MAX_CPU_MILLI);
        self.check_bounds("memory_mib", size.memory_mib, 1, bounds::MAX_MEMORY_MIB);
        self.check_bounds(
            "accelerators",
            size.accelerators,
            0,
            bounds::MAX_ACCELERATORS,
        );
    }

    fn check_bounds(&mut self, field: &'static str, value: u64, min: u64, max: u64) {
        if value < min || value > max {
            self.report_problem(ObjectProblemKind::OutOfBounds {
                field,
                value,
                min,
                max,
            });
        }
    }

    fn require_name(&mut self, field: &'static str, name: &str) {
        match name {
            "" => self.report_problem(ObjectProblemKind::Missing { field }),
            name if !is_valid_name(name) => self.report_problem(ObjectProblemKind::InvalidName {
                name: name.to_owned(),
            }),
            _ => {}
        }
    }

    fn require_reference(&mut self, field: &'static str, kind: ObjectKind, name: &ObjectName) {
        if name.is_empty() {
            self.report_problem(ObjectProblemKind::Missing { field });
        } else {
            self.check_references(kind, std::slice::from_ref(name));
        }
    }

    fn check_references(&mut self, kind: ObjectKind, names: &[ObjectName]) {
        for name in names {
            let target = ObjectRef::new(kind, name);
            if !self.set.contains(&target) && !self.malformed.contains(&target) {
                self.report_problem(ObjectProblemKind::UnknownReference { target });
            }
        }
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=bounds::MAX_NAME_CHARS).contains(&text.len()) && text.bytes().all(allowed)
}
