//! Serves the platform's store and list of hosts.

use std::{io, sync::Arc};

use auburnsaddle_standins::{http::serve, platform};
use tokio::net::TcpListener;

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let address: String = arguments
        .value_from_str("--listen")
        .unwrap_or_else(|_| "127.0.0.1:0".to_owned());
    let listener = TcpListener::bind(address).await?;
    println!("listening on {}", listener.local_addr()?);
    let shared = platform::SharedPlatform::default();
    serve(listener, Arc::default(), move |request| {
        platform::handle(shared.clone(), request)
    })
    .await
}
