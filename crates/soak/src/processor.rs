//! A stub for the processors of one service: an HTTP endpoint that records the messages it ran and
//! can drop, duplicate or corrupt responses, or stop responding.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long the stub takes to run a message.
const RUN_TIME: Duration = Duration::from_millis(8);
/// How often a silent processor checks whether it should respond again.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One run of a message.
#[derive(Clone, Debug)]
pub struct Run {
    /// The message id (`X-Attempt-Id`) of the request.
    pub id: String,
    /// When the run started.
    pub started: Instant,
    /// When the response was fully written; `None` during the run, or if the response was not written.
    pub answered: Option<Instant>,
}

#[derive(Default)]
struct State {
    runs: Mutex<Vec<Run>>,
    silent: AtomicBool,
    /// Drops one in this many responses; 0 drops none.
    drops_one_in: AtomicU32,
    /// Sends one in this many responses twice, the second time just before the next response on its
    /// connection; 0 duplicates none.
    duplicates_one_in: AtomicU32,
    /// Adds an invalid header to one in this many responses; 0 to none.
    corrupts_one_in: AtomicU32,
    requests: AtomicU64,
}

/// Invalid headers that resemble valid ones.
const INVALID_HEADERS: [&str; 4] =
    ["Keep-Alive: timeout=NaN", "Keep-Alive: timeout=-1", "X-Load: -1,99999999999999999999", "Retry-After: inf"];

/// Whether `count` is a multiple of `interval`; never if `interval` is 0.
fn is_nth(count: u64, interval: &AtomicU32) -> bool {
    let interval = interval.load(Ordering::Relaxed);
    interval > 0 && count.is_multiple_of(u64::from(interval))
}

/// A running stub. Its threads run until the test process exits.
pub struct Processor {
    address: String,
    state: Arc<State>,
}

impl Processor {
    /// Starts a stub on a free loopback port.
    ///
    /// # Errors
    /// No port could be bound.
    pub fn start() -> std::io::Result<Processor> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let state = Arc::new(State::default());
        let listener_state = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = listener_state.clone();
                std::thread::spawn(move || serve(&state, stream));
            }
        });
        Ok(Processor { address, state })
    }

    /// Its address, in the format of `endpoint` in the configuration.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sets whether requests stay without a response, as behind a network partition.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::Relaxed);
    }

    /// Drops the response of one in `runs` runs; 0 drops none.
    pub fn drop_one_in(&self, runs: u32) {
        self.state.drops_one_in.store(runs, Ordering::Relaxed);
    }

    /// Sends the response of one in `runs` runs twice; 0 duplicates none.
    pub fn duplicate_one_in(&self, runs: u32) {
        self.state.duplicates_one_in.store(runs, Ordering::Relaxed);
    }

    /// Adds an invalid header to the response of one in `runs` runs; 0 to none.
    pub fn corrupt_one_in(&self, runs: u32) {
        self.state.corrupts_one_in.store(runs, Ordering::Relaxed);
    }

    /// The runs so far, in the order in which they started.
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The request headers that the stub uses.
#[derive(Default)]
struct Head {
    id: String,
    length: usize,
}

/// Reads the head of a request; `None` if the connection is closed.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? <= 2 {
            return Some(head);
        }
        let (name, value) = line.trim().split_once(": ").unwrap_or_default();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => head.length = value.parse().unwrap_or(0),
            "x-attempt-id" => head.id = value.to_owned(),
            _ => {}
        }
    }
}

fn serve(state: &State, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut duplicate = String::new();
    while let Some(head) = read_head(&mut reader) {
        let mut body = vec![0; head.length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        while state.silent.load(Ordering::Relaxed) {
            std::thread::sleep(SILENCE_POLL_INTERVAL);
        }
        let index = record_start(state, &head.id);
        std::thread::sleep(RUN_TIME);
        let count = state.requests.fetch_add(1, Ordering::Relaxed);
        if is_nth(count, &state.drops_one_in) {
            return;
        }
        let id = &head.id;
        let invalid_header = match is_nth(count, &state.corrupts_one_in) {
            true => format!("{}\r\n", INVALID_HEADERS[count as usize / 7 % INVALID_HEADERS.len()]),
            false => String::new(),
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Seal: s-{id}\r\n{invalid_header}Content-Length: 2\r\n\r\nok"
        );
        let output = std::mem::take(&mut duplicate) + &response;
        if reader.get_mut().write_all(output.as_bytes()).is_err() {
            return;
        }
        if is_nth(count, &state.duplicates_one_in) {
            duplicate = response;
        }
        let mut runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[index].answered = Some(Instant::now());
    }
}

/// Records the start of a run and returns its index.
fn record_start(state: &State, id: &str) -> usize {
    let mut runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
    runs.push(Run { id: id.to_owned(), started: Instant::now(), answered: None });
    runs.len() - 1
}
