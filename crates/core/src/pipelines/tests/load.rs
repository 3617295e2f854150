//! Tests under overload: bursts, backlogs and advice requests without free capacity.

use std::{sync::Arc, time::Duration};

use super::fixtures::{
    WALL_MS, advice, done, first_step, job, listing, observed, owner, owner_of_workers, step,
};
use crate::{PipelineAction, PipelineEvent, PipelineSpec, ResourceVector, RunKey, StepSpec};

fn ticketed_job(decision_ms: f64, priority: u32) -> PipelineSpec {
    let mut spec = job(vec![step(1)]);
    spec.policy.advice = Some(advice(decision_ms));
    spec.policy.priority = priority;
    spec
}

/// Guards against a backlog after an outage that makes all jobs late, as the oldest are
/// placed first.
#[test]
fn jobs_that_can_meet_their_objective_precede_late_ones() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(4)]));
    owner.start_all();
    for id in 2..6 {
        owner.submit(id, job(vec![step(1)]));
    }
    owner.advance_clock(Duration::from_secs(4));
    let mut fresh = job(vec![step(1)]);
    fresh.accepted_unix_ms = WALL_MS + 4_000;
    owner.submit(6, fresh);

    owner.report("w1", Vec::new(), Vec::new());
    owner.advance_clock(Duration::from_millis(50));
    owner.report("w1", Vec::new(), Vec::new());
    let starts = owner.start_all();

    assert_eq!(starts.len(), 4);
    let mut started = starts.iter().map(|start| start.run.task.step.pipeline);
    assert!(started.any(|pipeline| pipeline == 6));
}

/// Guards against an overload in which each job is placed at the time of its objective, so
/// that all are late although half of them could be in time.
#[test]
fn jobs_that_can_still_be_done_in_time_precede_those_that_cannot() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(4)]));
    let first = owner.start_all();
    let mut two_steps = job(vec![step(1), step(1)]);
    two_steps.steps[1].after = vec![0];
    for id in 2..6 {
        owner.submit(id, two_steps.clone());
    }
    // The objective of these jobs is after 4.5 s, and they take 2 s.
    owner.advance_clock(Duration::from_secs(3));
    let mut fresh = two_steps;
    fresh.accepted_unix_ms = WALL_MS + 3_000;
    owner.submit(6, fresh);

    let ends = (1..).zip(&first).take(1);
    let ends = ends.map(|(number, start)| done(number, start.run));
    let running = first[1..].iter().map(|start| observed(start.run));
    owner.report("w1", running.collect(), ends.collect());
    let starts = owner.start_all();

    let started = starts.iter().map(|start| start.run.task.step.pipeline);
    assert_eq!(started.collect::<Vec<_>>(), [6]);
}

/// Guards against tickets that expire unused because the service is full, and whose
/// requests delay those of steps that fit.
#[test]
fn quick_advice_is_not_requested_before_the_step_fits() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(4)]));
    owner.start_all();

    owner.submit(2, ticketed_job(20.0, 0));

    assert!(owner.advice_requests().is_empty());
}

/// Guards against capacity that stays idle until a slow decision arrives, because it was
/// requested only when the step fitted.
#[test]
fn slow_advice_at_the_head_of_the_queue_is_requested_before_the_step_fits() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(4)]));
    owner.start_all();

    owner.submit(2, ticketed_job(500.0, 0));

    assert_eq!(owner.advice_requests(), vec![(first_step(2), 1)]);
}

/// Guards against a step that reserves the only workers with free capacity and requests tickets
/// for others.
#[test]
fn a_quick_request_names_the_workers_that_are_reserved_for_it() {
    let mut owner = owner_of_workers(20);
    let mut busy = job(vec![step(18)]);
    busy.steps[0].demand = ResourceVector::new(1_500, 100, 0);
    busy.steps[0].per_worker_limit = Some(1);
    owner.submit(1, busy);
    owner.start_all();
    let mut spec = ticketed_job(20.0, 0);
    spec.steps[0].count = 2;
    spec.steps[0].demand = ResourceVector::new(3_000, 100, 0);

    owner.submit(2, spec);

    let named_workers = owner.actions.iter().find_map(|action| match action {
        PipelineAction::Ask(order) => Some(order.workers.clone()),
        _ => None,
    });
    let named_workers = named_workers.unwrap();
    assert!(named_workers.contains(&"w018".into()));
    assert!(named_workers.contains(&"w019".into()));
}

/// Guards against steps that do not fit and use up all slow requests of a small deployment.
#[test]
fn steps_that_do_not_fit_leave_requests_to_steps_that_fit() {
    let mut owner = owner(&["w1", "w2"]);
    let mut long_running = job(vec![step(2)]);
    long_running.steps[0].long_running = true;
    long_running.steps[0].per_worker_limit = Some(1);
    owner.submit(1, long_running);
    owner.start_all();
    for id in 2..5 {
        let mut large = ticketed_job(500.0, 0);
        large.steps[0].count = 7;
        large.steps[0].gang = true;
        owner.submit(id, large);
        owner.run_placement_pass();
    }

    owner.submit(5, ticketed_job(500.0, 1));

    let requests = owner.advice_requests();
    assert!(requests.iter().any(|(step, _)| *step == first_step(5)));
}

/// Guards against steps that do not fit and occupy the daemons that send advice requests, as
/// each pass adds requests of further such steps.
#[test]
fn steps_that_do_not_fit_leave_advisors_to_steps_that_fit() {
    let mut owner = owner(&["w1", "w2"]);
    owner.handle_event(PipelineEvent::AdvisorsCounted(10, 10));
    owner.submit(1, job(vec![step(4)]));
    owner.start_all();
    let mut wide = ticketed_job(500.0, 0);
    wide.steps[0].gang = true;
    wide.steps[0].count = 8;
    for id in 2..20 {
        owner.submit(id, wide.clone());
    }

    owner.submit(20, ticketed_job(500.0, 1));

    let requests = owner.advice_requests();
    let early = requests.iter().filter(|(step, _)| step.pipeline < 20);
    assert!(early.count() <= 6);
    assert!(requests.iter().any(|(step, _)| *step == first_step(20)));
}

/// Guards against steps that overtake the first one while its tickets are requested: a
/// burst of jobs competes for the capacity of one task.
#[test]
fn capacity_is_reserved_for_the_first_step_that_requests_tickets() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, job(vec![step(3)]));
    owner.start_all();

    owner.submit(2, ticketed_job(20.0, 0));
    owner.submit(3, ticketed_job(20.0, 0));
    owner.submit(4, job(vec![step(1)]));
    let overtaking = owner.start_all();
    owner.grant_tickets(first_step(2), &["w1"]);
    let first = owner.start_all();

    assert_eq!(owner.advice_requests(), vec![(first_step(2), 1)]);
    assert!(overtaking.is_empty());
    assert_eq!(first[0].run.task.step, first_step(2));
}

/// Guards against advice requests of jobs that end before the answer, which counted as
/// pending for ever and used up the limit.
#[test]
fn advice_requests_of_ended_jobs_do_not_count_as_pending() {
    let mut owner = owner(&["w1"]);
    for id in 1..20 {
        owner.submit(id, ticketed_job(500.0, 1));
        owner.run_placement_pass();
        owner.handle_event(PipelineEvent::Cancelled(id));
        owner.commit();
        owner.handle_event(PipelineEvent::AdviceAnswered(
            first_step(id),
            None,
            owner.now,
        ));
    }

    owner.submit(20, ticketed_job(500.0, 1));
    owner.run_placement_pass();

    assert!(owner.advice_requests().contains(&(first_step(20), 1)));
}

/// Guards against a step that requests tickets for its known workers again and again
/// while they are full and others have free capacity.
#[test]
fn advice_requests_name_workers_with_free_capacity() {
    let mut owner = owner(&["w1"]);
    let mut spec = ticketed_job(500.0, 1);
    spec.steps[0].count = 5;
    owner.submit(1, spec);
    owner.run_placement_pass();
    owner.grant_tickets(first_step(1), &["w1"]);
    let starts = owner.start_all();
    let running = || starts.iter().map(|start| observed(start.run)).collect();
    for worker in ["w2", "w3"] {
        owner.handle_event(PipelineEvent::Listed(listing(worker)));
        owner.report(worker, Vec::new(), Vec::new());
    }
    owner.actions.clear();

    // The ticket for the full worker expires.
    owner.advance_clock(Duration::from_secs(3));
    owner.report("w1", running(), Vec::new());
    owner.run_placement_pass();

    let named_workers = owner.actions.iter().find_map(|action| match action {
        PipelineAction::Ask(order) => Some(order.workers.clone()),
        _ => None,
    });
    assert_eq!(named_workers, Some(vec!["w2".into()]));
}

/// Guards against a gang whose tickets have expired, and which requests new ones only
/// for other workers than those that are reserved for it.
#[test]
fn a_gang_requests_tickets_for_its_reserved_workers() {
    let mut owner = owner(&["w1"]);
    let mut gang = ticketed_job(500.0, 1);
    gang.steps[0].gang = true;
    gang.steps[0].count = 4;
    owner.submit(1, job(vec![step(4)]));
    let first = owner.start_all();
    owner.submit(2, gang);
    owner.run_placement_pass();
    owner.grant_tickets(first_step(2), &["w1"]);
    owner.advance_clock(Duration::from_secs(2));
    owner.run_placement_pass();
    owner.grant_tickets(first_step(2), &["w1"]);
    for worker in ["w2", "w3", "w4", "w5"] {
        owner.handle_event(PipelineEvent::Listed(listing(worker)));
        owner.report(worker, Vec::new(), Vec::new());
    }

    // The reserved worker becomes free after the tickets have expired.
    owner.advance_clock(Duration::from_secs(2));
    let ends = (1..)
        .zip(&first)
        .map(|(number, start)| done(number, start.run));
    owner.report("w1", Vec::new(), ends.collect());
    owner.actions.clear();
    owner.run_placement_pass();

    let named_workers = owner.actions.iter().find_map(|action| match action {
        PipelineAction::Ask(order) => Some(order.workers.clone()),
        _ => None,
    });
    assert!(named_workers.unwrap().contains(&"w1".into()));
}

/// Guards against a burst of jobs that do not fit at the moment and block all other
/// queues until its end.
#[test]
fn a_long_queue_does_not_block_other_queues() {
    let mut owner = owner(&["w1"]);
    let mut full = job(vec![step(1)]);
    full.steps[0].demand = ResourceVector::new(1_000, 100, 4);
    full.policy.priority = 0;
    owner.submit(1, full.clone());
    owner.start_all();
    for id in 2..200 {
        owner.submit(id, full.clone());
    }
    let mut other = job(vec![step(1)]);
    other.policy.queue = "other".to_owned();
    owner.submit(200, other);
    owner.commit();

    let starts = owner.take_starts();

    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run.task.step, first_step(200));
}

/// Guards against urgent jobs that wait because jobs with slack fill the service.
#[test]
fn jobs_with_slack_leave_capacity_for_urgent_ones() {
    let mut owner = owner_of_workers(10);
    let mut urgent = job(vec![step(4)]);
    urgent.policy.priority = 0;
    urgent.policy.queue = "urgent".to_owned();
    owner.submit(1, urgent.clone());
    owner.start_all();
    let mut with_slack = job(vec![step(80)]);
    with_slack.policy.stretch = 20.0;
    owner.submit(2, with_slack);
    owner.start_all();

    owner.submit(3, urgent);
    let starts = owner.start_all();

    assert_eq!(starts.len(), 4);
    assert!(
        starts
            .iter()
            .all(|start| start.run.task.step == first_step(3))
    );
}

/// Guards against capacity that stays free although the waiting jobs will be late.
#[test]
fn jobs_without_slack_use_all_capacity() {
    let mut owner = owner_of_workers(10);
    let mut urgent = job(vec![step(1)]);
    urgent.policy.priority = 0;
    owner.submit(1, urgent);
    owner.start_all();
    let mut without_slack = job(vec![step(200)]);
    // The objective leaves the job less than twice its estimated run time.
    without_slack.policy.stretch = 1.0;
    owner.submit(2, without_slack);

    let starts = owner.start_all();

    assert_eq!(starts.len(), 39);
}

/// Guards against single tasks that occupy capacity as soon as it is free, so that a gang
/// never finds enough at once.
#[test]
fn a_waiting_gang_gets_the_workers_that_become_free() {
    let workers = ["w1", "w2", "w3", "w4"];
    let mut owner = owner(&workers);
    owner.submit(1, job(vec![step(16)]));
    let first = owner.start_all();
    let mut gang = job(vec![step(1)]);
    gang.steps[0].gang = true;
    gang.steps[0].demand = ResourceVector::new(4_000, 100, 0);
    owner.submit(2, gang);
    let mut small = job(vec![step(40)]);
    small.policy.priority = 2;
    small.policy.queue = "small".to_owned();
    owner.submit(3, small);

    // The tasks on the first worker end one after the other.
    let runs = first.iter().filter(|start| *start.worker == *"w1");
    let runs: Vec<RunKey> = runs.map(|start| start.run).collect();
    let mut started = Vec::new();
    for (number, run) in (1..).zip(&runs) {
        let running = runs[number..].iter().map(|run| observed(*run)).collect();
        owner.report("w1", running, vec![done(number as u64, *run)]);
        started.extend(owner.start_all());
    }

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].run.task.step, first_step(2));
}

/// Guards against workers that are reserved in vain: a gang waits for capacity that
/// long-running tasks occupy, while other steps could use the rest.
#[test]
fn a_gang_reserves_no_workers_that_cannot_become_free_for_it() {
    let mut owner = owner_of_workers(8);
    for worker in ["w001", "w002"] {
        let mut listing = listing(worker);
        listing.labels.push("b".to_owned());
        owner.handle_event(PipelineEvent::Listed(listing));
    }
    let labelled = |count, cpu_milli| StepSpec {
        demand: ResourceVector::new(cpu_milli, 100, 0),
        required_label: Some("b".to_owned()),
        ..step(count)
    };
    let serving = StepSpec {
        long_running: true,
        ..labelled(1, 3_000)
    };
    owner.submit(1, job(vec![serving]));
    owner.start_all();

    let gang = StepSpec {
        gang: true,
        ..labelled(6, 1_000)
    };
    owner.submit(2, job(vec![gang]));
    owner.submit(3, job(vec![labelled(1, 4_000)]));
    let starts = owner.start_all();

    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run.task.step, first_step(3));
}

/// Guards against capacity that stays reserved for steps whose tickets never arrive,
/// because the advice service fails.
#[test]
fn capacity_is_not_reserved_while_the_advice_service_fails() {
    let mut owner = owner(&["w1"]);
    let mut ticketed = ticketed_job(20.0, 0);
    ticketed.steps[0].count = 4;
    ticketed.policy.queue = "restricted".to_owned();
    owner.submit(1, ticketed);
    owner.submit(2, job(vec![step(1)]));

    owner.handle_event(PipelineEvent::AdviceAnswered(
        first_step(1),
        None,
        owner.now,
    ));
    let starts = owner.start_all();

    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run.task.step, first_step(2));
}
/// Guards against steps that no worker can run, such as long-running ones, which do not
/// expire, and which keep the steps behind them from being examined.
#[test]
fn steps_that_no_worker_can_run_do_not_block_their_queue() {
    let mut owner = owner(&["w1"]);
    let oversized = StepSpec {
        demand: ResourceVector::new(64_000, 100, 0),
        long_running: true,
        ..step(1)
    };
    for id in 1..100 {
        owner.submit(id, job(vec![oversized.clone()]));
    }

    owner.submit(100, job(vec![step(1)]));
    let starts = owner.start_all();

    assert_eq!(starts.len(), 1);
}

/// Guards against long-running steps that no worker can run and that use up the steps that a
/// pass examines.
#[test]
fn steps_behind_more_than_a_pass_examines_are_placed() {
    let mut owner = owner(&["w1"]);
    let oversized = StepSpec {
        demand: ResourceVector::new(64_000, 100, 0),
        long_running: true,
        ..step(1)
    };
    for id in 1..2_100 {
        let event = PipelineEvent::Stored(id, Arc::new(job(vec![oversized.clone()])), None);
        owner.handle_event(event);
    }

    owner.submit(2_100, job(vec![step(1)]));

    assert_eq!(owner.start_all().len(), 1);
}

/// Guards against steps that wait for a resource that is used up and keep steps behind
/// them, which do not need it, from being examined.
#[test]
fn steps_that_wait_for_accelerators_do_not_block_steps_without_them() {
    let mut owner = owner(&["w1"]);
    let mut accelerated = job(vec![step(1)]);
    accelerated.steps[0].demand = ResourceVector::new(1_000, 100, 4);
    owner.submit(1, accelerated.clone());
    owner.start_all();
    for id in 2..100 {
        owner.submit(id, accelerated.clone());
    }

    owner.submit(100, job(vec![step(1)]));
    let starts = owner.start_all();

    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run.task.step, first_step(100));
}

/// Guards against steps that the advice service refuses on every worker and that keep the
/// steps behind them from being examined.
#[test]
fn refused_steps_do_not_block_their_queue() {
    let mut owner = owner(&["w1"]);
    for id in 1..40 {
        owner.submit(id, ticketed_job(20.0, 1));
        owner.run_placement_pass();
        owner.grant_tickets(first_step(id), &[]);
    }

    owner.submit(40, ticketed_job(20.0, 1));
    owner.run_placement_pass();
    owner.grant_tickets(first_step(40), &["w1"]);
    let starts = owner.start_all();

    assert_eq!(starts.len(), 1);
}

/// Guards against a step that fits and gets no request for advice, because the limit of
/// pending requests is used up by steps that do not fit and request tickets early.
#[test]
fn early_requests_do_not_use_up_the_limit() {
    let mut owner = owner(&["w1"]);
    owner.handle_event(PipelineEvent::AdvisorsCounted(1, 1));
    let mut accelerated = job(vec![step(1)]);
    accelerated.steps[0].demand = ResourceVector::new(1_000, 100, 4);
    owner.submit(1, accelerated.clone());
    owner.start_all();
    accelerated.policy = ticketed_job(400.0, 1).policy;
    for id in 2..20 {
        owner.submit(id, accelerated.clone());
    }
    let mut fitting = ticketed_job(400.0, 2);
    fitting.policy.queue = "other".to_owned();
    owner.submit(100, fitting);

    let mut requested = Vec::new();
    for _ in 0..8 {
        owner.run_placement_pass();
        owner.advance_clock(Duration::from_millis(400));
        let requests = owner.advice_requests();
        owner.actions.clear();
        for (step, _) in requests {
            owner.grant_tickets(step, &["w1"]);
            requested.push(step);
        }
    }

    assert!(requested.contains(&first_step(100)));
}

/// Guards against a step that waits for a worker whose former instance was refused: the
/// worker left the list and returned.
#[test]
fn a_worker_that_returns_is_named_in_advice_requests_again() {
    let mut owner = owner(&["w1"]);
    owner.submit(1, ticketed_job(20.0, 1));
    owner.grant_tickets(first_step(1), &[]);
    owner.actions.clear();

    owner.handle_event(PipelineEvent::Delisted("w1".into()));
    owner.handle_event(PipelineEvent::Listed(listing("w1")));
    owner.report("w1", Vec::new(), Vec::new());
    owner.run_placement_pass();

    assert_eq!(owner.advice_requests(), vec![(first_step(1), 1)]);
}
