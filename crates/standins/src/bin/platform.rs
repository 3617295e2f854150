//! Serves the platform's store and list of hosts.

use std::{io, sync::Arc};

use auburnsaddle_standins::{
    http::{listen, serve},
    platform,
};

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let listener = listen(&mut arguments).await?;
    let shared = platform::SharedPlatform::default();
    serve(listener, Arc::default(), move |request| {
        platform::handle(shared.clone(), request)
    })
    .await
}
