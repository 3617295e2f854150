//! Serves the stand-in for the platform's key-value store and host list.

use std::{io, sync::Arc};

use auburnsaddle_standins::{
    http::{bind_listener, serve},
    platform,
};

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let listener = bind_listener(&mut arguments).await?;
    let shared = platform::SharedPlatform::default();
    serve(listener, Arc::default(), move |request| {
        platform::handle(shared.clone(), request)
    })
    .await
}
