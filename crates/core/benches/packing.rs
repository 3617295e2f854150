//! Hosts that a set of jobs needs, and accelerators that it strands.
//!
//! Failed records keep the whole set waiting, then the queue places it in its own
//! order; in the rows `one by one` each job is placed as it arrives. The volume
//! bound is the fewest hosts whose summed capacity holds the summed demand in each
//! dimension.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a bench are far below 2^52"
)]

mod placement_support;

use std::{collections::BTreeSet, time::Duration};

use auburnsaddle_core::{PackingFirst, ResourceVector, TaskEvent, WorkerEntry};
use placement_support::{
    ResultRow, create_generator, create_job, create_queue, create_workers, handle_and_persist,
    print_table, record_ids, sample_pareto,
};
use rand::RngExt;

/// Upper bound of the hosts in use relative to the volume bound.
const HOST_RATIO_BOUND: f64 = 1.10;
/// Share of an accelerator host's CPU and memory that is open to tasks without
/// accelerators.
const OPEN_SHARE_PERCENT: u64 = 50;
/// Multiple of the deployment's hosts that is offered, so that every policy has
/// room for all tasks.
const OFFER_FACTOR: usize = 3;
const TEAM_COUNT: usize = 12;
/// Several seeds, so that a policy that packs only some inputs well exceeds a bound.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

/// Capacity and number of the general and of the accelerator hosts.
struct DeploymentHosts {
    name: &'static str,
    general: ResourceVector,
    general_len: usize,
    accelerated: ResourceVector,
    accelerated_len: usize,
}

const DEPLOYMENTS: [DeploymentHosts; 2] = [
    DeploymentHosts {
        name: "jegue-vale",
        general: ResourceVector::new(32_000, 131_072, 0),
        general_len: 35,
        accelerated: ResourceVector::new(64_000, 131_072, 8),
        accelerated_len: 13,
    },
    DeploymentHosts {
        name: "namibia-tools",
        general: ResourceVector::new(16_000, 32_768, 0),
        general_len: 35,
        accelerated: ResourceVector::new(32_000, 65_536, 8),
        accelerated_len: 13,
    },
];

/// A job of `count` equal tasks; more than one form a gang.
struct WorkItem {
    demand: ResourceVector,
    count: usize,
}

/// Generates jobs that nearly fill the deployment: gangs and single tasks, with
/// and without accelerators. The sizes of those without are heavy-tailed.
fn generate_items(deployment: &DeploymentHosts, seed: u64) -> Vec<WorkItem> {
    let mut generator = create_generator(seed);
    let mut items = Vec::new();
    let accelerators = deployment.accelerated_len as u64 * 8 * 95 / 100;
    let mut generated = 0;
    while generated < accelerators {
        let each = 1 << generator.random_range(0..4_u32).min(3);
        let count = if generator.random_bool(0.2) {
            generator.random_range(2..5)
        } else {
            1
        };
        let fraction = generator.random_range(0.2..0.5) * each as f64 / 8.0;
        items.push(WorkItem {
            demand: scale_capacity(deployment.accelerated, fraction, fraction, each),
            count,
        });
        generated += each * count as u64;
    }
    let cores = deployment.general.cpu_milli * deployment.general_len as u64;
    let mut generated = 0;
    while generated < cores {
        let fraction = sample_pareto(&mut generator, 0.9, 1.0 / 64.0, 0.5);
        let memory = fraction * generator.random_range(0.5..1.4);
        let count = if generator.random_bool(0.1) {
            generator.random_range(2..9)
        } else {
            1
        };
        let demand = scale_capacity(deployment.general, fraction, memory, 0);
        items.push(WorkItem { demand, count });
        generated += demand.cpu_milli * count as u64;
    }
    items
}

/// Returns the given fractions of the capacity, rounded up to 250 millicores and
/// 128 MiB.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale_capacity(
    capacity: ResourceVector,
    cpu: f64,
    memory: f64,
    accelerators: u64,
) -> ResourceVector {
    let cpu = (capacity.cpu_milli as f64 * cpu / 250.0).ceil() as u64 * 250;
    let memory = (capacity.memory_mib as f64 * memory / 128.0).ceil() as u64 * 128;
    ResourceVector::new(cpu, memory, accelerators)
}

fn sum_demand<'a>(items: impl Iterator<Item = &'a WorkItem>) -> ResourceVector {
    items.fold(ResourceVector::default(), |sum, item| {
        sum.plus(&item.demand.times(item.count as u64))
    })
}

/// Returns the fewest hosts of both kinds whose summed capacity holds the summed
/// demand.
fn count_hosts_by_volume(deployment: &DeploymentHosts, items: &[WorkItem]) -> u64 {
    let accelerated = sum_demand(items.iter().filter(|item| item.demand.accelerators > 0));
    let cpu_only = sum_demand(items.iter().filter(|item| item.demand.accelerators == 0));
    let min_accelerated = count_hosts(&accelerated, &deployment.accelerated);
    (min_accelerated..min_accelerated + 100)
        .map(|count| {
            let open = sum_open_share(&deployment.accelerated.times(count), &accelerated);
            let rest = ResourceVector::new(
                cpu_only.cpu_milli.saturating_sub(open.cpu_milli),
                cpu_only.memory_mib.saturating_sub(open.memory_mib),
                0,
            );
            count + count_hosts(&rest, &deployment.general)
        })
        .min()
        .unwrap_or(min_accelerated)
}

/// Returns the CPU and memory of accelerator hosts that tasks without accelerators
/// may use.
fn sum_open_share(capacity: &ResourceVector, used: &ResourceVector) -> ResourceVector {
    let room =
        |whole: u64, used: u64| (whole * OPEN_SHARE_PERCENT / 100).min(whole.saturating_sub(used));
    ResourceVector::new(
        room(capacity.cpu_milli, used.cpu_milli),
        room(capacity.memory_mib, used.memory_mib),
        0,
    )
}

/// Returns the fewest hosts whose summed capacity holds the demand.
fn count_hosts(demand: &ResourceVector, capacity: &ResourceVector) -> u64 {
    let cpu = demand.cpu_milli.div_ceil(capacity.cpu_milli);
    let memory = demand.memory_mib.div_ceil(capacity.memory_mib);
    let accelerators = demand
        .accelerators
        .checked_div(capacity.accelerators)
        .unwrap_or(0);
    let rest = u64::from(accelerators * capacity.accelerators < demand.accelerators);
    cpu.max(memory).max(accelerators + rest)
}

/// Hosts in use and the fraction of their accelerators that no task can use.
///
/// An accelerator is stranded if its host has less than 1 core or 1 GiB free.
struct PackingResult {
    hosts: f64,
    stranded: f64,
}

/// Creates the hosts of the deployment, several times over.
fn create_offered_workers(deployment: &DeploymentHosts) -> Vec<WorkerEntry> {
    let mut entries = create_workers(
        "general",
        deployment.general_len * OFFER_FACTOR,
        5,
        deployment.general,
    );
    let count = deployment.accelerated_len * OFFER_FACTOR;
    entries.extend(create_workers(
        "accelerated",
        count,
        3,
        deployment.accelerated,
    ));
    entries
}

/// Packs the items with the task queue: as one batch, or each on submission.
fn pack_queue(deployment: &DeploymentHosts, items: &[WorkItem], is_batch: bool) -> PackingResult {
    let entries = create_offered_workers(deployment);
    let mut queue = create_queue(PackingFirst, TEAM_COUNT);
    handle_and_persist(
        &mut queue,
        TaskEvent::WorkersChanged(entries.clone()),
        Duration::ZERO,
    );
    for entry in &entries {
        let event = TaskEvent::WorkerClaimed(entry.worker.clone(), vec![]);
        handle_and_persist(&mut queue, event, Duration::ZERO);
    }
    let mut waiting = BTreeSet::new();
    for (number, item) in items.iter().enumerate() {
        if is_batch {
            queue.handle(TaskEvent::RecordsFailed(BTreeSet::new()), Duration::ZERO);
        }
        let spec = create_job(number as u64, item.count, number % TEAM_COUNT, item.demand);
        waiting.extend(record_ids(
            &queue.handle(TaskEvent::Submitted(spec), Duration::ZERO),
        ));
    }
    handle_and_persist(&mut queue, TaskEvent::Recorded(waiting), Duration::ZERO);
    let placed = queue.work_counter().placed;
    assert_eq!(
        placed,
        items.iter().map(|item| item.count as u64).sum::<u64>()
    );
    let free: Vec<_> = entries
        .iter()
        .map(|entry| {
            (
                entry.capacity,
                queue.free_capacity(&entry.worker).unwrap_or_default(),
            )
        })
        .collect();
    summarize_hosts(&free)
}

/// Derives the result from the capacity and the free resources of each host.
fn summarize_hosts(hosts: &[(ResourceVector, ResourceVector)]) -> PackingResult {
    let used: Vec<_> = hosts
        .iter()
        .filter(|(capacity, free)| capacity != free)
        .collect();
    let all: u64 = used.iter().map(|(capacity, _)| capacity.accelerators).sum();
    let stranded: u64 = used
        .iter()
        .filter(|(_, free)| free.cpu_milli < 1_000 || free.memory_mib < 1_024)
        .map(|(_, free)| free.accelerators)
        .sum();
    PackingResult {
        hosts: used.len() as f64,
        stranded: stranded as f64 / all.max(1) as f64,
    }
}

/// Packs the items one by one in order of arrival, by first fit or by best fit.
/// Best fit minimizes the free fractions that remain on the host. Both respect
/// the share of accelerator hosts that is open to tasks without accelerators.
fn pack_baseline(
    deployment: &DeploymentHosts,
    items: &[WorkItem],
    is_best_fit: bool,
) -> PackingResult {
    let mut hosts: Vec<_> = create_offered_workers(deployment)
        .iter()
        .map(|entry| (entry.capacity, entry.capacity))
        .collect();
    let mut cpu_only_used = vec![ResourceVector::default(); hosts.len()];
    for item in items {
        for _ in 0..item.count {
            let is_cpu_only = item.demand.accelerators == 0;
            let room = |(at, host): &(usize, &(ResourceVector, ResourceVector))| {
                let after = cpu_only_used[*at].plus(&item.demand);
                let is_shared = is_cpu_only && host.0.accelerators > 0;
                item.demand.fits_in(&host.1)
                    && (!is_shared || is_within_open_share(&after, &host.0))
            };
            let fitting = hosts.iter().enumerate().filter(room);
            let chosen = if is_best_fit {
                fitting
                    .min_by_key(|(_, host)| score_remainder(host, &item.demand))
                    .map(|(at, _)| at)
            } else {
                fitting.map(|(at, _)| at).next()
            };
            let at = chosen.expect("more hosts are offered than needed");
            if is_cpu_only {
                cpu_only_used[at] = cpu_only_used[at].plus(&item.demand);
            }
            let host = &mut hosts[at];
            host.1 = host.1.minus(&item.demand).expect("the task fits");
        }
    }
    summarize_hosts(&hosts)
}

/// Returns whether tasks without accelerators may use this much of an accelerator
/// host.
fn is_within_open_share(used: &ResourceVector, capacity: &ResourceVector) -> bool {
    used.cpu_milli * 100 <= capacity.cpu_milli * OPEN_SHARE_PERCENT
        && used.memory_mib * 100 <= capacity.memory_mib * OPEN_SHARE_PERCENT
}

/// Returns the sum of the free fractions that remain on the host, in thousandths.
fn score_remainder(host: &(ResourceVector, ResourceVector), demand: &ResourceVector) -> u64 {
    let left = host.1.minus(demand).unwrap_or_default();
    let accelerators = left.accelerators * 1_000 / host.0.accelerators.max(1);
    left.cpu_milli * 1_000 / host.0.cpu_milli
        + left.memory_mib * 1_000 / host.0.memory_mib
        + accelerators
}

fn measure_deployment(deployment: &DeploymentHosts, seed: u64) -> Vec<ResultRow> {
    let items = generate_items(deployment, seed);
    let bound = count_hosts_by_volume(deployment, &items) as f64;
    let batch = pack_queue(deployment, &items, true);
    let online = pack_queue(deployment, &items, false);
    let first_fit = pack_baseline(deployment, &items, false);
    let best_fit = pack_baseline(deployment, &items, true);
    let name = deployment.name;
    let row =
        |text: &str, value, limit| ResultRow::new(format!("{name} {text}"), value, limit, seed);
    vec![
        row("hosts by volume", bound, None),
        row(
            "hosts / volume, task queue",
            batch.hosts / bound,
            Some(HOST_RATIO_BOUND),
        ),
        row(
            "hosts / volume, task queue, one by one",
            online.hosts / bound,
            None,
        ),
        row("hosts / volume, first fit", first_fit.hosts / bound, None),
        row("hosts / volume, best fit", best_fit.hosts / bound, None),
        row(
            "accelerators stranded, task queue",
            batch.stranded,
            Some(first_fit.stranded.max(0.01)),
        ),
        row("accelerators stranded, first fit", first_fit.stranded, None),
        row("accelerators stranded, best fit", best_fit.stranded, None),
    ]
}

fn main() {
    let rows: Vec<_> = DEPLOYMENTS
        .iter()
        .flat_map(|deployment| SEEDS.flat_map(|seed| measure_deployment(deployment, seed)))
        .collect();
    println!("goal for hosts / volume, not bounded: 1.05");
    print_table(&rows);
}
