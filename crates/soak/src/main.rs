//! The command line of the soak.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use auburnsaddle_soak::{SoakError, SoakRun, SoakSize, draw_plan};
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
  --logs FOLDER      where settings and logs go (soak-logs below the temporary folder)
  --plan             prints the faults of the seeds and plays nothing
";

struct SoakOptions {
    daemon_path: PathBuf,
    first_seed: u64,
    seeds: u64,
    size: SoakSize,
    logs: PathBuf,
    is_plan: bool,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match options(&mut arguments).and_then(|options| play(&options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn options(arguments: &mut Arguments) -> Result<SoakOptions, SoakError> {
    let logs = arguments.opt_value_from_str("--logs")?;
    Ok(SoakOptions {
        daemon_path: arguments.value_from_str("--daemon")?,
        first_seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        seeds: arguments.opt_value_from_str("--seeds")?.unwrap_or(1),
        size: SoakSize {
            daemons: arguments.opt_value_from_str("--daemons")?.unwrap_or(4),
            workers: arguments.opt_value_from_str("--workers")?.unwrap_or(8),
            load_duration: Duration::from_secs(
                arguments.opt_value_from_str("--seconds")?.unwrap_or(20),
            ),
        },
        logs: logs.unwrap_or_else(|| std::env::temp_dir().join("soak-logs")),
        is_plan: arguments.contains("--plan"),
    })
}

/// Plays all seeds; tells whether every promise was kept.
fn play(options: &SoakOptions) -> Result<bool, SoakError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut is_kept = true;
    for seed in options.first_seed..options.first_seed + options.seeds {
        let plan = draw_plan(seed, &options.size);
        if options.is_plan {
            println!("seed {seed}");
            print_rows(&plan);
            continue;
        }
        let run = SoakRun {
            daemon_path: options.daemon_path.clone(),
            output_dir: options.logs.join(format!("seed-{seed}")),
            seed,
            size: options.size,
        };
        let report = runtime.block_on(run.execute())?;
        println!(
            "seed {seed}: {} jobs, {} accepted, {} runs, {} faults, {} promises broken",
            report.submitted_jobs,
            report.accepted_jobs,
            report.task_runs,
            plan.len(),
            report.broken_promises.len()
        );
        if !report.broken_promises.is_empty() {
            is_kept = false;
            print_rows(&plan);
            print_rows(&report.broken_promises);
        }
    }
    Ok(is_kept)
}

fn print_rows<T: std::fmt::Debug>(rows: &[T]) {
    for row in rows {
        println!("  {row:?}");
    }
}
