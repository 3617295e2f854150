//! Tests of a daemon process under many connections of clients that do not keep to any limit.
//!
//! Each test opens its connections while no other one runs, and checks what does not depend on the
//! speed of the machine: the process lives, its peak of resident memory and its open descriptors stay
//! within its settings, and an ordinary request is answered while the connections stay open.

#[path = "support/cell.rs"]
mod support;

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use support::{CellFixture, job, start_cell_with_limits};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Memory of the daemon's host in the settings, in MB. An idle daemon uses less than half.
const MEMORY_MB: u64 = 48;

/// Descriptors of the daemon in the settings, of which 200 are for files.
const MAX_DESCRIPTORS: usize = 400;

/// Number of connections that one test opens.
const CONNECTION_COUNT: usize = 400;

/// Size of a legal body, in bytes.
const BODY_BYTES: usize = 262_144;

/// Size of what is sent in place of a head, in bytes. A legal head has 16,384.
const FILLER_BYTES: usize = 600_000;

/// Longest time that a client spends on sending.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Serializes the tests, as each of them needs the machine for itself.
static TURN: Mutex<()> = Mutex::const_new(());

/// What a client sends. It never sends the end.
#[derive(Clone, Copy)]
enum ClientKind {
    /// A head with header lines without end.
    EndlessHead,
    /// A head with one header that is too long.
    LongHeader,
    /// Empty lines before a request.
    EmptyLines,
    /// A body without its last byte, in one write.
    WholeBody,
    /// A body without its last byte, in pieces.
    PiecewiseBody,
    /// A chunked body without its last chunk, in chunks of 64 KiB.
    LargeChunks,
    /// A chunked body without its last chunk, in chunks of one byte.
    SmallChunks,
    /// Nothing.
    Silent,
}

const ALL_KINDS: [ClientKind; 8] = [
    ClientKind::EndlessHead,
    ClientKind::LongHeader,
    ClientKind::EmptyLines,
    ClientKind::WholeBody,
    ClientKind::PiecewiseBody,
    ClientKind::LargeChunks,
    ClientKind::SmallChunks,
    ClientKind::Silent,
];

/// Returns the start of the head of a submission, with further header lines.
fn head(number: usize, lines: &str) -> Vec<u8> {
    format!("POST /tokens/{number:016x} HTTP/1.1\r\nhost: jobs.test\r\n{lines}").into_bytes()
}

/// Returns what a client sends, in the parts in which it sends it.
fn parts(kind: ClientKind, number: usize) -> Vec<Vec<u8>> {
    let content_length = format!("content-length: {BODY_BYTES}\r\n\r\n");
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let body = vec![b' '; BODY_BYTES - 1];
    match kind {
        ClientKind::EndlessHead => {
            let line = format!("x-filler: {}\r\n", "a".repeat(1_000));
            let lines = vec![line.into_bytes(); FILLER_BYTES / 1_000];
            [vec![head(number, "")], lines].concat()
        }
        ClientKind::LongHeader => {
            let filler = vec![vec![b'a'; 1_000]; FILLER_BYTES / 1_000];
            [vec![head(number, "x-filler: ")], filler].concat()
        }
        ClientKind::EmptyLines => vec![b"\r\n".repeat(500); FILLER_BYTES / 1_000],
        ClientKind::WholeBody => vec![[head(number, &content_length), body].concat()],
        ClientKind::PiecewiseBody => {
            let pieces = body.chunks(1_000).map(<[u8]>::to_vec);
            [vec![head(number, &content_length)], pieces.collect()].concat()
        }
        ClientKind::LargeChunks => {
            let chunk = [
                b"10000\r\n".to_vec(),
                vec![b' '; 0x1_0000],
                b"\r\n".to_vec(),
            ]
            .concat();
            let chunks = vec![chunk; BODY_BYTES / 0x1_0000 - 1];
            let last = [b"10000\r\n".to_vec(), vec![b' '; 0xffff]].concat();
            [vec![head(number, chunked)], chunks, vec![last]].concat()
        }
        ClientKind::SmallChunks => {
            let chunks = b"1\r\n \r\n".repeat(BODY_BYTES - 1);
            let pieces = chunks.chunks(6_000).map(<[u8]>::to_vec);
            [vec![head(number, chunked)], pieces.collect()].concat()
        }
        ClientKind::Silent => Vec::new(),
    }
}

/// Opens a connection and sends what its kind sends. Returns the open connection, unless the daemon
/// has closed it.
async fn send_without_end(port: u16, kind: ClientKind, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).await.ok()?;
    let sending = async {
        for part in parts(kind, number) {
            stream.write_all(&part).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    // A client whose bytes are not taken stays open as well.
    match timeout(SEND_TIMEOUT, sending).await {
        Ok(Err(_)) => None,
        Ok(Ok(())) | Err(_) => Some(stream),
    }
}

/// Samples the number of descriptors of a process while it runs, and keeps the largest.
fn watch_descriptors(process: u32) -> Arc<AtomicUsize> {
    let most = Arc::new(AtomicUsize::new(0));
    let sampled = Arc::downgrade(&most);
    tokio::spawn(async move {
        while let Some(most) = sampled.upgrade()
            && let Some(count) = count_descriptors(process)
        {
            most.fetch_max(count, Ordering::Relaxed);
            drop(most);
            sleep(Duration::from_millis(20)).await;
        }
    });
    most
}

/// Returns the peak of the resident memory of a process, in MB.
fn peak_memory_mb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.unwrap().parse::<u64>().unwrap() / 1_024
}

/// Returns the number of descriptors that a process has, unless it has ended.
fn count_descriptors(process: u32) -> Option<usize> {
    let entries = fs::read_dir(format!("/proc/{process}/fd")).ok()?;
    Some(entries.count())
}

/// Waits until an ordinary job is accepted. A refusal or a closed connection is repeated, as callers
/// do.
async fn submit_ordinary_job(cell: &CellFixture) {
    cell.wait_for("an ordinary job to be accepted", || async {
        cell.submit(0, 1, &job(1)).await == Some(StatusCode::OK)
    })
    .await;
}

/// Opens the connections, of these kinds in turn, and checks the daemon while they are open.
async fn check_crowd(kinds: &[ClientKind]) {
    let turn = TURN.lock().await;
    let mut cell = start_cell_with_limits(MEMORY_MB, MAX_DESCRIPTORS).await;
    let (process, port) = (cell.daemons[0].child.id(), cell.daemons[0].caller_port);
    let most_descriptors = watch_descriptors(process);

    let mut clients = JoinSet::new();
    for number in 0..CONNECTION_COUNT {
        let kind = kinds[number % kinds.len()];
        clients.spawn(send_without_end(port, kind, 0x1000 + number));
    }
    let open = clients.join_all().await;
    submit_ordinary_job(&cell).await;

    let exit = cell.daemons[0].child.try_wait().unwrap();
    let memory_mb = peak_memory_mb(process);
    let descriptors = count_descriptors(process).unwrap_or_default();
    let descriptors = descriptors.max(most_descriptors.load(Ordering::Relaxed));
    drop(open);
    cell.wait_for_job_state(0, 1, "completed").await;
    assert!(exit.is_none(), "the daemon has ended: {exit:?}");
    assert!(memory_mb <= MEMORY_MB, "{memory_mb} MB of memory");
    assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors");
    drop(turn);
}

/// Guards against a daemon that keeps all header lines of heads without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_without_end_take_bounded_memory() {
    check_crowd(&[ClientKind::EndlessHead]).await;
}

/// Guards against a daemon that keeps headers over the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_over_the_limit_take_bounded_memory() {
    check_crowd(&[ClientKind::LongHeader]).await;
}

/// Guards against a daemon that keeps the empty lines before a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn empty_lines_before_a_request_take_bounded_memory() {
    check_crowd(&[ClientKind::EmptyLines]).await;
}

/// Guards against a daemon that keeps any number of bodies that stop short of their ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_without_their_ends_take_bounded_memory() {
    check_crowd(&[ClientKind::WholeBody]).await;
}

/// Guards against a daemon that keeps any number of bodies that arrive in pieces.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn piecewise_bodies_without_their_ends_take_bounded_memory() {
    check_crowd(&[ClientKind::PiecewiseBody]).await;
}

/// Guards against a daemon that keeps any number of chunked bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_chunks_without_an_end_take_bounded_memory() {
    check_crowd(&[ClientKind::LargeChunks]).await;
}

/// Guards against a daemon that keeps a buffer for each chunk of one byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn small_chunks_without_an_end_take_bounded_memory() {
    check_crowd(&[ClientKind::SmallChunks]).await;
}

/// Guards against a daemon that runs out of descriptors for its own connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_leave_descriptors_free() {
    check_crowd(&[ClientKind::Silent]).await;
}

/// Guards against a limit that holds for each kind of client by itself only.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn clients_of_all_kinds_together_take_bounded_memory() {
    check_crowd(&ALL_KINDS).await;
}

/// Guards against limits that refuse the largest legal request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_at_the_limits_is_served_in_calm() {
    let turn = TURN.lock().await;
    let cell = start_cell_with_limits(MEMORY_MB, MAX_DESCRIPTORS).await;
    let mut largest = job(1);
    let rest = BODY_BYTES - largest.to_string().len();
    // The text of the command may have 4,000 bytes, so an unknown field fills the body.
    largest["note"] = "x".repeat(rest - r#","note":"""#.len()).into();

    let length = largest.to_string().len();
    let status = cell.submit(0, 1, &largest).await;
    let filler = "a".repeat(15_000);
    let query = cell
        .send_with_header(0, Method::GET, "/tokens/0000000000000001", &filler)
        .await;

    assert_eq!(length, BODY_BYTES);
    assert_eq!(status, Some(StatusCode::OK));
    assert_eq!(query.map(|(status, _)| status), Some(StatusCode::OK));
    drop(turn);
}
