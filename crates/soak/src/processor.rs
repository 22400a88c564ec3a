//! A stand-in for the processors of one service: an endpoint that notes what it ran, and that
//! can lose answers or fall silent.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a run takes.
const WORK: Duration = Duration::from_millis(8);
/// How often a silent processor looks whether it is to answer again.
const SILENCE_POLL: Duration = Duration::from_millis(20);

/// One run of a message.
#[derive(Clone, Debug)]
pub struct Run {
    /// The id that the request bore.
    pub id: String,
    /// When it began.
    pub started: Instant,
    /// When its answer had been written whole; `None` while it runs, or if it was lost.
    pub answered: Option<Instant>,
}

#[derive(Default)]
struct State {
    runs: Mutex<Vec<Run>>,
    silent: AtomicBool,
    /// One in so many answers is lost; 0: none.
    loses_one_in: AtomicU32,
    /// One in so many answers comes a second time, before the next one of its connection; 0: none.
    repeats_one_in: AtomicU32,
    /// One in so many answers has a header that is none; 0: none.
    spoils_one_in: AtomicU32,
    requests: AtomicU64,
}

/// Headers that are near to good ones.
const SPOILT_HEADERS: [&str; 4] =
    ["Keep-Alive: timeout=NaN", "Keep-Alive: timeout=-1", "X-Load: -1,99999999999999999999", "Retry-After: inf"];

/// Whether the request of this number is one of one in so many.
fn is_one_in(count: u64, rate: &AtomicU32) -> bool {
    let rate = rate.load(Ordering::Relaxed);
    rate > 0 && count.is_multiple_of(u64::from(rate))
}

/// A running stand-in. Its threads end with the process.
pub struct Processor {
    address: String,
    state: Arc<State>,
}

impl Processor {
    /// Starts one on a free port of the loopback address.
    ///
    /// # Errors
    /// No port is free.
    pub fn start() -> std::io::Result<Processor> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let state = Arc::new(State::default());
        let accepting = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = accepting.clone();
                std::thread::spawn(move || serve(&state, stream));
            }
        });
        Ok(Processor { address, state })
    }

    /// Its address, as a configuration names an `endpoint`.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Whether it answers nothing, as behind a cut.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::Relaxed);
    }

    /// Loses the answer of one in so many runs; 0: of none.
    pub fn drop_one_in(&self, runs: u32) {
        self.state.loses_one_in.store(runs, Ordering::Relaxed);
    }

    /// Gives one in so many answers a second time; 0: none.
    pub fn duplicate_one_in(&self, runs: u32) {
        self.state.repeats_one_in.store(runs, Ordering::Relaxed);
    }

    /// Spoils a header of one in so many answers; 0: of none.
    pub fn corrupt_one_in(&self, runs: u32) {
        self.state.spoils_one_in.store(runs, Ordering::Relaxed);
    }

    /// What it ran so far, in the order in which runs began.
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The headers of a request that matter here.
#[derive(Default)]
struct Head {
    id: String,
    length: usize,
}

/// Reads a request's head; `None` at the end of the connection.
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
    let mut surplus = String::new();
    while let Some(head) = read_head(&mut reader) {
        let mut body = vec![0; head.length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        while state.silent.load(Ordering::Relaxed) {
            std::thread::sleep(SILENCE_POLL);
        }
        let number = begin(state, &head.id);
        std::thread::sleep(WORK);
        let count = state.requests.fetch_add(1, Ordering::Relaxed);
        if is_one_in(count, &state.loses_one_in) {
            return;
        }
        let id = &head.id;
        let spoilt = match is_one_in(count, &state.spoils_one_in) {
            true => format!("{}\r\n", SPOILT_HEADERS[count as usize / 7 % SPOILT_HEADERS.len()]),
            false => String::new(),
        };
        let answer =
            format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Seal: s-{id}\r\n{spoilt}Content-Length: 2\r\n\r\nok");
        let whole = std::mem::take(&mut surplus) + &answer;
        if reader.get_mut().write_all(whole.as_bytes()).is_err() {
            return;
        }
        if is_one_in(count, &state.repeats_one_in) {
            surplus = answer;
        }
        let mut runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[number].answered = Some(Instant::now());
    }
}

/// Notes that a run begins; its number.
fn begin(state: &State, id: &str) -> usize {
    let mut runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
    runs.push(Run { id: id.to_owned(), started: Instant::now(), answered: None });
    runs.len() - 1
}
