//! Hosts that a set of work needs, and accelerators stranded.
//!
//! The set waits while records fail, then the queue places it in its own order;
//! in the rows `one by one` each job is placed as it comes. The volume bound is the fewest hosts
//! whose summed capacity holds the summed demand in each dimension.

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

/// Stated bound on hosts relative to the volume bound.
const BOUND: f64 = 1.10;
/// Part of accelerator hosts open to work without accelerators, in percent.
const SHARE_PERCENT: u64 = 50;
/// Hosts offered, as a multiple of those of the deployment.
const OFFERED: usize = 3;
const TEAMS: usize = 12;
/// Enough seeds that a policy that suits a few of them shows.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

struct Deployment {
    name: &'static str,
    general: ResourceVector,
    general_len: usize,
    accelerated: ResourceVector,
    accelerated_len: usize,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "jegue-vale",
        general: ResourceVector::new(32_000, 131_072, 0),
        general_len: 35,
        accelerated: ResourceVector::new(64_000, 131_072, 8),
        accelerated_len: 13,
    },
    Deployment {
        name: "namibia-tools",
        general: ResourceVector::new(16_000, 32_768, 0),
        general_len: 35,
        accelerated: ResourceVector::new(32_000, 65_536, 8),
        accelerated_len: 13,
    },
];

/// Equal tasks; more than one form a gang.
struct WorkItem {
    demand: ResourceVector,
    count: usize,
}

/// Draws work for about the whole deployment: gangs and single tasks, with and
/// without accelerators, of heavy-tailed size.
fn draw_work(deployment: &Deployment, seed: u64) -> Vec<WorkItem> {
    let mut generator = create_generator(seed);
    let mut items = Vec::new();
    let accelerators = deployment.accelerated_len as u64 * 8 * 95 / 100;
    let mut drawn = 0;
    while drawn < accelerators {
        let each = 1 << generator.random_range(0..4_u32).min(3);
        let count = if generator.random_bool(0.2) {
            generator.random_range(2..5)
        } else {
            1
        };
        let part = generator.random_range(0.2..0.5) * each as f64 / 8.0;
        items.push(WorkItem {
            demand: scaled(deployment.accelerated, part, part, each),
            count,
        });
        drawn += each * count as u64;
    }
    let cores = deployment.general.cpu_milli * deployment.general_len as u64;
    let mut drawn = 0;
    while drawn < cores {
        let part = sample_pareto(&mut generator, 0.9, 1.0 / 64.0, 0.5);
        let memory = part * generator.random_range(0.5..1.4);
        let count = if generator.random_bool(0.1) {
            generator.random_range(2..9)
        } else {
            1
        };
        let demand = scaled(deployment.general, part, memory, 0);
        items.push(WorkItem { demand, count });
        drawn += demand.cpu_milli * count as u64;
    }
    items
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(capacity: ResourceVector, cpu: f64, memory: f64, accelerators: u64) -> ResourceVector {
    let cpu = (capacity.cpu_milli as f64 * cpu / 250.0).ceil() as u64 * 250;
    let memory = (capacity.memory_mib as f64 * memory / 128.0).ceil() as u64 * 128;
    ResourceVector::new(cpu, memory, accelerators)
}

fn total<'a>(items: impl Iterator<Item = &'a WorkItem>) -> ResourceVector {
    items.fold(ResourceVector::default(), |sum, item| {
        sum.plus(&item.demand.times(item.count as u64))
    })
}

/// Returns the fewest hosts of both kinds by volume.
fn volume_bound(deployment: &Deployment, items: &[WorkItem]) -> u64 {
    let with = total(items.iter().filter(|item| item.demand.accelerators > 0));
    let without = total(items.iter().filter(|item| item.demand.accelerators == 0));
    let needed = hosts(&with, &deployment.accelerated);
    (needed..needed + 100)
        .map(|count| {
            let open = open_room(&deployment.accelerated.times(count), &with);
            let rest = ResourceVector::new(
                without.cpu_milli.saturating_sub(open.cpu_milli),
                without.memory_mib.saturating_sub(open.memory_mib),
                0,
            );
            count + hosts(&rest, &deployment.general)
        })
        .min()
        .unwrap_or(needed)
}

/// Returns what accelerator hosts leave to work without accelerators.
fn open_room(capacity: &ResourceVector, used: &ResourceVector) -> ResourceVector {
    let room =
        |whole: u64, used: u64| (whole * SHARE_PERCENT / 100).min(whole.saturating_sub(used));
    ResourceVector::new(
        room(capacity.cpu_milli, used.cpu_milli),
        room(capacity.memory_mib, used.memory_mib),
        0,
    )
}

fn hosts(demand: &ResourceVector, capacity: &ResourceVector) -> u64 {
    let cpu = demand.cpu_milli.div_ceil(capacity.cpu_milli);
    let memory = demand.memory_mib.div_ceil(capacity.memory_mib);
    let accelerators = demand
        .accelerators
        .checked_div(capacity.accelerators)
        .unwrap_or(0);
    let rest = u64::from(accelerators * capacity.accelerators < demand.accelerators);
    cpu.max(memory).max(accelerators + rest)
}

/// Hosts in use and the part of their accelerators that no task can use.
struct Packing {
    hosts: f64,
    stranded: f64,
}

fn offered(deployment: &Deployment) -> Vec<WorkerEntry> {
    let mut entries = create_workers(
        "general",
        deployment.general_len * OFFERED,
        5,
        deployment.general,
    );
    let count = deployment.accelerated_len * OFFERED;
    entries.extend(create_workers(
        "accelerated",
        count,
        3,
        deployment.accelerated,
    ));
    entries
}

/// Places the items with the task queue.
fn pack_queue(deployment: &Deployment, items: &[WorkItem], known_first: bool) -> Packing {
    let entries = offered(deployment);
    let mut queue = create_queue(PackingFirst, TEAMS);
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
        if known_first {
            queue.handle(TaskEvent::RecordsFailed(BTreeSet::new()), Duration::ZERO);
        }
        let spec = create_job(number as u64, item.count, number % TEAMS, item.demand);
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
    measure(&free)
}

fn measure(hosts: &[(ResourceVector, ResourceVector)]) -> Packing {
    let used: Vec<_> = hosts
        .iter()
        .filter(|(capacity, free)| capacity != free)
        .collect();
    let all: u64 = used.iter().map(|(capacity, _)| capacity.accelerators).sum();
    let lost: u64 = used
        .iter()
        .filter(|(_, free)| free.cpu_milli < 1_000 || free.memory_mib < 1_024)
        .map(|(_, free)| free.accelerators)
        .sum();
    Packing {
        hosts: used.len() as f64,
        stranded: lost as f64 / all.max(1) as f64,
    }
}

/// Places the items one by one in order of arrival: first fit, or best fit by
/// the free parts that remain. Both keep the share of accelerator hosts.
fn pack_baseline(deployment: &Deployment, items: &[WorkItem], best: bool) -> Packing {
    let mut hosts: Vec<_> = offered(deployment)
        .iter()
        .map(|entry| (entry.capacity, entry.capacity))
        .collect();
    let mut plain_used = vec![ResourceVector::default(); hosts.len()];
    for item in items {
        for _ in 0..item.count {
            let plain = item.demand.accelerators == 0;
            let room = |(at, host): &(usize, &(ResourceVector, ResourceVector))| {
                let after = plain_used[*at].plus(&item.demand);
                let shared = plain && host.0.accelerators > 0;
                item.demand.fits_in(&host.1) && (!shared || within_share(&after, &host.0))
            };
            let fitting = hosts.iter().enumerate().filter(room);
            let chosen = if best {
                fitting
                    .min_by_key(|(_, host)| left_over(host, &item.demand))
                    .map(|(at, _)| at)
            } else {
                fitting.map(|(at, _)| at).next()
            };
            let at = chosen.expect("more hosts are offered than needed");
            if plain {
                plain_used[at] = plain_used[at].plus(&item.demand);
            }
            let host = &mut hosts[at];
            host.1 = host.1.minus(&item.demand).expect("the task fits");
        }
    }
    measure(&hosts)
}

fn within_share(used: &ResourceVector, capacity: &ResourceVector) -> bool {
    used.cpu_milli * 100 <= capacity.cpu_milli * SHARE_PERCENT
        && used.memory_mib * 100 <= capacity.memory_mib * SHARE_PERCENT
}

fn left_over(host: &(ResourceVector, ResourceVector), demand: &ResourceVector) -> u64 {
    let left = host.1.minus(demand).unwrap_or_default();
    let accelerators = left.accelerators * 1_000 / host.0.accelerators.max(1);
    left.cpu_milli * 1_000 / host.0.cpu_milli
        + left.memory_mib * 1_000 / host.0.memory_mib
        + accelerators
}

fn measure_deployment(deployment: &Deployment, seed: u64) -> Vec<ResultRow> {
    let items = draw_work(deployment, seed);
    let bound = volume_bound(deployment, &items) as f64;
    let known = pack_queue(deployment, &items, true);
    let online = pack_queue(deployment, &items, false);
    let first = pack_baseline(deployment, &items, false);
    let best = pack_baseline(deployment, &items, true);
    let name = deployment.name;
    let row =
        |text: &str, value, limit| ResultRow::new(format!("{name} {text}"), value, limit, seed);
    vec![
        row("hosts by volume", bound, None),
        row(
            "hosts / volume, task queue",
            known.hosts / bound,
            Some(BOUND),
        ),
        row(
            "hosts / volume, task queue, one by one",
            online.hosts / bound,
            None,
        ),
        row("hosts / volume, first fit", first.hosts / bound, None),
        row("hosts / volume, best fit", best.hosts / bound, None),
        row(
            "accelerators stranded, task queue",
            known.stranded,
            Some(first.stranded.max(0.01)),
        ),
        row("accelerators stranded, first fit", first.stranded, None),
        row("accelerators stranded, best fit", best.stranded, None),
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
