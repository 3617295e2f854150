/*!
The HTTP interface for callers and operators.

Callers use `/v1/services/{service}/{path}` and `/v1/tasks`, operators `/admin/` and
`/metrics`. Error responses have a JSON body with the error and its remedy. The
`Auburnsaddle-Outcome` header tells whether a request that got no regular response
may have run.
*/

mod admin;
mod body;
mod connections;
mod keyed;
mod messages;
mod service;
mod tasks;
mod timer;

pub(crate) use connections::FrontConnections;
pub(crate) use service::{FrontService, serve_front};
