/*!
HTTP for callers and operators.

Callers use `/v1/services/{service}/{path}`, operators `/admin/`. Error answers
are JSON with what went wrong and what to do next, and carry the outcome in the
`Auburnsaddle-Outcome` header.
*/

mod admin;
mod body;
mod keyed;
mod messages;
mod service;
mod tasks;
mod timer;

pub(crate) use service::{FrontService, serve_front};
