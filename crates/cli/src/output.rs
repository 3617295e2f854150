//! Plain-text tables that shell tools can parse.

use auburnsaddle_core::StatusReply;
use serde_json::{Map, Value};

/// Task fields shown as columns, in this order. Columns that no task has are
/// omitted.
const TASK_COLUMNS: [&str; 9] = [
    "id", "object", "team", "state", "attempt", "worker", "reason", "outcome", "result",
];

/// Formats a table with a header in upper case. Cells are padded to the width of
/// their column, and columns are two spaces apart.
pub(crate) fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header = header.iter().map(|cell| cell.to_uppercase()).collect();
    let lines: Vec<Vec<String>> = std::iter::once(header).chain(rows.to_vec()).collect();
    let columns = lines.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells
            .map(|cell: &String| cell.chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let formatted_lines = lines.iter().map(|line| {
        let cells = line.iter().zip(&widths);
        let cells = cells.map(|(cell, width)| format!("{:width$}", cell_or_dash(cell)));
        let padded_cells: Vec<_> = cells.collect();
        padded_cells.join("  ").trim_end().to_owned()
    });
    formatted_lines.collect::<Vec<_>>().join("\n")
}

/// Replaces an empty cell by a dash, because an empty cell would shift the
/// columns for tools such as `awk`.
fn cell_or_dash(cell: &str) -> &str {
    if cell.is_empty() { "-" } else { cell }
}

/// Formats the status as a table of daemons and a table of shards.
pub(crate) fn format_status(status: &StatusReply) -> String {
    let daemons: Vec<_> = status
        .versions
        .iter()
        .map(|(daemon, version)| {
            let is_suspected = status.suspected.contains(daemon);
            let state = if is_suspected { "suspected" } else { "alive" };
            vec![daemon.to_string(), version.to_string(), state.to_owned()]
        })
        .collect();
    let shards: Vec<_> = status
        .owners
        .iter()
        .map(|(shard, owner)| {
            let owner = match status.unavailable.get(shard) {
                Some(reason) => format!("{owner}, unavailable: {reason}"),
                None => owner.to_string(),
            };
            vec![shard.clone(), owner]
        })
        .collect();
    format_table(&["daemon", "version", "state"], &daemons)
        + "\n\n"
        + &format_table(&["shard", "owner"], &shards)
}

/// Formats a response as a table of tasks. The response is an array of tasks, an
/// object with such an array in `tasks`, or a single task; any other value is
/// printed as JSON.
pub(crate) fn format_tasks(response: &Value) -> String {
    let single = std::slice::from_ref(response);
    let tasks = response
        .as_array()
        .or_else(|| response.get("tasks")?.as_array())
        .map_or(single, Vec::as_slice);
    let objects: Vec<_> = tasks.iter().filter_map(Value::as_object).collect();
    let has_column = |column: &&str| objects.iter().any(|task| task.contains_key(*column));
    let columns: Vec<&str> = TASK_COLUMNS.into_iter().filter(has_column).collect();
    if columns.is_empty() {
        return format!("{response:#}");
    }
    let row = |task: &&Map<String, Value>| {
        let cells = columns.iter().map(|column| format_cell(task.get(*column)));
        cells.collect()
    };
    let rows: Vec<Vec<String>> = objects.iter().map(row).collect();
    format_table(&columns, &rows)
}

fn format_cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}
