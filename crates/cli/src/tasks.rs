//! The task commands, which send HTTP requests to the daemons.

use std::fmt::Write;

use auburnsaddle_core::{SubmitRequest, WatchReply};
use hyper::Method;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::{
    arguments::{Command, LabelPair},
    client::{ClientError, DaemonClient},
};

/// Path of the task collection; paths of tasks and actions start with it.
const TASKS_PATH: &str = "/v1/tasks";

/// Runs a task command and returns the JSON response. Returns `null` for other
/// commands.
pub(crate) async fn run(client: &DaemonClient, command: Command) -> Result<Value, ClientError> {
    let null = Value::Null;
    match command {
        Command::Get(id) => client.get(&format!("{TASKS_PATH}/{id}")).await,
        Command::List { labels, team } => client.get(&list_path(&labels, team.as_deref())).await,
        Command::Watch(id) => watch_task(client, &id).await,
        Command::Submit {
            object,
            labels,
            count,
            key,
        } => {
            let key = key.unwrap_or_else(|| Uuid::new_v4().to_string());
            // Printed before the request, so that the operator can repeat a
            // submission that was interrupted.
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
            client.send(Method::DELETE, &path, &null).await
        }
        Command::CancelLabel(label) => {
            let query = label_query(&label);
            let path = format!("{TASKS_PATH}/cancel?{query}");
            client.send(Method::POST, &path, &null).await
        }
        Command::Resolve(id) => {
            let path = format!("{TASKS_PATH}/{id}/resolve");
            client.send(Method::POST, &path, &null).await
        }
        _ => Ok(null),
    }
}

/// Prints each state change of a task until it ends, and returns the final
/// state.
async fn watch_task(client: &DaemonClient, id: &str) -> Result<Value, ClientError> {
    let mut after = 0;
    loop {
        let path = format!("{TASKS_PATH}/{id}/watch?after={after}");
        // `send` is used instead of `get` because a long poll needs its longer
        // timeout.
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

/// Percent-encodes a text for use as the value of a query parameter.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a `String` never fails.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
