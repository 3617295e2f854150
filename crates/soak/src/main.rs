//! Command line of the soak test.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use auburnsaddle_soak::{SoakError, SoakRun, SoakSize, generate_plan};
use pico_args::Arguments;

const HELP: &str = "\
auburnsaddle-soak --daemon PROGRAM [options]

Plays runs with randomized faults and checks what callers and workers see. Exits with
1 if a promise was broken; the seed, the faults and the logs then show how.

  --daemon PROGRAM   the program of the daemon
  --seed N           the first seed (1)
  --seeds N          how many seeds, one after the other (1)
  --seconds N        time with load and faults of each run (20)
  --daemons N        daemons (4)
  --workers N        workers (8)
  --lasting N        tasks that last, with losses for good and restarts of workers; 0 plays
                     neither (as many as workers)
  --restarts N       series of restarts of workers with other clocks and labels, with late
                     orders and cuts (3)
  --clock-steps N    series of restarts of workers whose hosts have a wrong time of day, with long
                     cuts and faults of the owner (1); with any, workers accept leases of 10 s
                     instead of 6 s
  --logs FOLDER      where settings and logs go (soak-logs below the temporary folder)
  --plan             prints the faults of the seeds and plays nothing
";

struct SoakOptions {
    daemon_path: PathBuf,
    first_seed: u64,
    seed_count: u64,
    size: SoakSize,
    output_root: PathBuf,
    is_plan_only: bool,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match parse_options(&mut arguments).and_then(|options| run_seeds(&options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn parse_options(arguments: &mut Arguments) -> Result<SoakOptions, SoakError> {
    let workers = arguments.opt_value_from_str("--workers")?.unwrap_or(8);
    let output_root = arguments.opt_value_from_str("--logs")?;
    Ok(SoakOptions {
        daemon_path: arguments.value_from_str("--daemon")?,
        first_seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        seed_count: arguments.opt_value_from_str("--seeds")?.unwrap_or(1),
        size: SoakSize {
            daemons: arguments.opt_value_from_str("--daemons")?.unwrap_or(4),
            workers,
            lasting_tasks: arguments
                .opt_value_from_str("--lasting")?
                .unwrap_or(workers),
            restart_series: arguments.opt_value_from_str("--restarts")?.unwrap_or(3),
            clock_steps: arguments.opt_value_from_str("--clock-steps")?.unwrap_or(1),
            load_duration: Duration::from_secs(
                arguments.opt_value_from_str("--seconds")?.unwrap_or(20),
            ),
        },
        output_root: output_root.unwrap_or_else(|| std::env::temp_dir().join("soak-logs")),
        is_plan_only: arguments.contains("--plan"),
    })
}

/// Runs all seeds one after the other, or prints their plans. Returns whether every run
/// kept all promises.
fn run_seeds(options: &SoakOptions) -> Result<bool, SoakError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut has_kept_promises = true;
    for seed in options.first_seed..options.first_seed + options.seed_count {
        let plan = generate_plan(seed, &options.size);
        if options.is_plan_only {
            println!("seed {seed}");
            print_rows(&plan);
            continue;
        }
        let run = SoakRun {
            daemon_path: options.daemon_path.clone(),
            output_dir: options.output_root.join(format!("seed-{seed}")),
            seed,
            size: options.size,
        };
        let report = runtime.block_on(run.execute())?;
        println!(
            "seed {seed}: {} jobs, {} accepted, {} runs, {} of tasks that last, {} faults, \
             {} promises broken",
            report.submitted_jobs,
            report.accepted_jobs,
            report.task_runs,
            report.lasting_runs,
            plan.len(),
            report.broken_promises.len()
        );
        if !report.broken_promises.is_empty() {
            has_kept_promises = false;
            print_rows(&plan);
            print_rows(&report.broken_promises);
        }
    }
    Ok(has_kept_promises)
}

/// Prints each row on a line of its own, in its `Debug` format.
fn print_rows<T: std::fmt::Debug>(rows: &[T]) {
    for row in rows {
        println!("  {row:?}");
    }
}
