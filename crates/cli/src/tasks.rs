//! The commands for tasks, over the paths of the daemons' HTTP interface.

use std::fmt::Write;

use auburnsaddle_core::{SubmitRequest, WatchReply};
use hyper::Method;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::{
    arguments::{Command, LabelPair},
    client::{ClientError, DaemonClient},
};

const TASKS_PATH: &str = "/v1/tasks";

/// Runs a command for tasks and returns the daemon's answer.
pub(crate) async fn run(client: &DaemonClient, command: Command) -> Result<Value, ClientError> {
    let none = Value::Null;
    match command {
        Command::Get(id) => client.get(&format!("{TASKS_PATH}/{id}")).await,
        Command::List { labels, team } => client.get(&list_path(&labels, team.as_deref())).await,
        Command::Watch(id) => watch(client, &id).await,
        Command::Submit {
            object,
            labels,
            count,
            key,
        } => {
            let key = key.unwrap_or_else(|| Uuid::new_v4().to_string());
            // Printed first, so that a submission that breaks off can be repeated.
            eprintln!("idempotency key: {key}");
            let labels = labels.into_iter().map(|label| (label.key, label.value));
            let request = SubmitRequest {
                object,
                count,
                labels: labels.collect(),
            };
            client.send_with_key(TASKS_PATH, &request, &key).await
        }
        Command::Cancel(id) => {
            let path = format!("{TASKS_PATH}/{id}");
            client.send(Method::DELETE, &path, &none).await
        }
        Command::CancelLabel(label) => {
            let query = label_query(&label);
            let path = format!("{TASKS_PATH}/cancel?{query}");
            client.send(Method::POST, &path, &none).await
        }
        Command::Resolve(id) => {
            let path = format!("{TASKS_PATH}/{id}/resolve");
            client.send(Method::POST, &path, &none).await
        }
        _ => Ok(none),
    }
}

/// Prints each change of a task and returns its last state.
async fn watch(client: &DaemonClient, id: &str) -> Result<Value, ClientError> {
    let mut after = 0;
    loop {
        let path = format!("{TASKS_PATH}/{id}/watch?after={after}");
        // A long poll: silence for a while is no failure.
        let reply: WatchReply = client.send(Method::GET, &path, &Value::Null).await?;
        let event = json!(reply.status);
        if reply.r#final {
            return Ok(event);
        }
        if reply.sequence != after {
            println!("{event}");
        }
        after = reply.sequence;
    }
}

fn list_path(labels: &[LabelPair], team: Option<&str>) -> String {
    let labels = labels.iter().map(label_query);
    let team = team.map(|team| format!("team={}", percent_encode(team)));
    let query: Vec<_> = labels.chain(team).collect();
    if query.is_empty() {
        TASKS_PATH.to_owned()
    } else {
        format!("{TASKS_PATH}?{}", query.join("&"))
    }
}

fn label_query(label: &LabelPair) -> String {
    let text = format!("{}={}", label.key, label.value);
    format!("label={}", percent_encode(&text))
}

/// Encodes a text as the value of a query field.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
