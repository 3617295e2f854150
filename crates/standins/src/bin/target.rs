//! Serves a stand-in for one runner or, with `--role worker`, for one worker.

use std::{io, sync::Arc};

use auburnsaddle_standins::{
    http::{bind_listener, serve},
    runner::{self, SharedRunner},
    worker::{self, ResourceAmounts, SharedWorker},
};
use tokio::net::TcpListener;

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let role: String = arguments
        .value_from_str("--role")
        .unwrap_or_else(|_| "runner".to_owned());
    let listener = bind_listener(&mut arguments).await?;
    if role == "worker" {
        serve_worker(listener, &mut arguments).await
    } else {
        serve_runner(listener, &mut arguments).await
    }
}

async fn serve_worker(
    listener: TcpListener,
    arguments: &mut pico_args::Arguments,
) -> io::Result<()> {
    let worker = SharedWorker::new(ResourceAmounts {
        cpu_milli: arguments.value_from_str("--cpu-milli").unwrap_or(32_000),
        memory_mib: arguments.value_from_str("--memory-mib").unwrap_or(131_072),
        accelerators: arguments.value_from_str("--accelerators").unwrap_or(0),
    });
    worker.lock().speed = arguments.value_from_str("--speed").unwrap_or(1);
    serve(listener, Arc::default(), move |request| {
        worker::handle(worker.clone(), request)
    })
    .await
}

async fn serve_runner(
    listener: TcpListener,
    arguments: &mut pico_args::Arguments,
) -> io::Result<()> {
    let runner = SharedRunner::new(arguments.value_from_str("--slots").unwrap_or(8));
    runner.lock().behaviour.work_ms = arguments.value_from_str("--work-ms").unwrap_or(20);
    serve(listener, runner.connections(), move |request| {
        runner::handle(runner.clone(), request)
    })
    .await
}
