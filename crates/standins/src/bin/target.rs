//! Serves one runner.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnsaddle_standins::{
    http::serve,
    target::{RunnerState, handle_call},
};
use tokio::net::TcpListener;

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let address: String = arguments
        .value_from_str("--listen")
        .unwrap_or_else(|_| "127.0.0.1:0".to_owned());
    let slots = arguments.value_from_str("--slots").unwrap_or(8);
    let work_ms = arguments.value_from_str("--work-ms").unwrap_or(20);
    let listener = TcpListener::bind(address).await?;
    println!("listening on {}", listener.local_addr()?);
    let runner = Arc::new(Mutex::new(RunnerState::new(slots)));
    let work_time = Duration::from_millis(work_ms);
    serve(listener, move |request| {
        handle_call(Arc::clone(&runner), work_time, request)
    })
    .await
}
