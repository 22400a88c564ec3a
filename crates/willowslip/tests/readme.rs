//! The first run of a new user: the commands of README.md, read out of it and run as they
//! stand there, until the message is settled and its call-back has arrived.
//!
//! Only the ports are others than in README.md and `examples/`, so that the run does not
//! collide with tests and systems that run on the same machine at the same time.

use std::fs::{self, File};
use std::net::{Ipv4Addr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

mod common;
use common::BIN;

/// How long any one step may take on a busy machine.
const LIMIT: Duration = Duration::from_secs(180);

/// The heading of the section whose commands are run.
const SECTION: &str = "## Try it on one machine";

/// The ports that README.md and `examples/` name, in the order in which a slot replaces them.
const CONTROL: u16 = 8064;
const FRONT: u16 = 8069;
const READY: u16 = 8063;
const ENDPOINT: u16 = 9000;
const FIRST_INNER: u16 = 7780;
const LAST_INNER: u16 = 7795;

/// Machines of the example are 127.0.0.1 (the endpoint) to 127.0.0.8.
const MACHINES: std::ops::RangeInclusive<u8> = 1..=8;

/// Where slots of ports begin and end: below the ports of other tests and below those that
/// the kernel gives to outgoing connections.
const SLOTS: std::ops::Range<u16> = 10_000..20_000;
const PORTS_IN_A_SLOT: u16 = 25;

fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !is_so() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Where the example's disks are: in memory where there is such a folder, so that a stalled
/// disk of the machine that runs the test does not take part in the verdict.
fn scratch_folder() -> PathBuf {
    let memory = Path::new("/dev/shm");
    if memory.is_dir() { memory.to_owned() } else { std::env::temp_dir() }
}

/// Ports that belong to one run of this test at a time.
struct PortSlot {
    replacements: Vec<(u16, u16)>,
    /// Held for as long as the slot is used: another run of this test passes it over.
    _claim: TcpListener,
}

impl PortSlot {
    fn claim() -> PortSlot {
        let slots = SLOTS.len() as u32 / u32::from(PORTS_IN_A_SLOT);
        let first = std::process::id() % slots;
        let bases = (0..slots).map(|n| SLOTS.start + ((first + n) % slots) as u16 * PORTS_IN_A_SLOT);
        bases.into_iter().find_map(PortSlot::claim_at).expect("a slot of free ports")
    }

    fn claim_at(base: u16) -> Option<PortSlot> {
        let claim = TcpListener::bind(("127.0.0.1", base)).ok()?;
        let is_free =
            |port: u16| MACHINES.into_iter().all(|m| TcpListener::bind((Ipv4Addr::new(127, 0, 0, m), port)).is_ok());
        if !(base + 1..base + PORTS_IN_A_SLOT).all(is_free) {
            return None;
        }
        let inner_ports = LAST_INNER - FIRST_INNER;
        let outer = base + 2 + inner_ports;
        let replacements = vec![
            (FIRST_INNER, base + 1),
            (LAST_INNER, base + 1 + inner_ports),
            (CONTROL, outer),
            (FRONT, outer + 1),
            (READY, outer + 2),
            (ENDPOINT, outer + 3),
        ];
        Some(PortSlot { replacements, _claim: claim })
    }

    /// The text with the slot's ports in the place of the usual ones.
    fn replace_ports(&self, text: &str) -> String {
        let mut replaced = String::with_capacity(text.len());
        let mut rest = text;
        while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
            let digits = rest[start..].chars().take_while(char::is_ascii_digit).count();
            let (before, number) = (&rest[..start], &rest[start..start + digits]);
            replaced.push_str(before);
            let other = self.replacements.iter().find(|(usual, _)| usual.to_string() == number);
            replaced.push_str(&other.map_or(number.to_owned(), |(_, port)| port.to_string()));
            rest = &rest[start + digits..];
        }
        replaced + rest
    }
}

/// The code blocks of a section of a Markdown page: indented by four spaces.
fn code_blocks(page: &str, heading: &str) -> Vec<String> {
    let section = page.split_once(heading).unwrap_or_else(|| panic!("README.md has no section {heading:?}")).1;
    let section = section.split("\n## ").next().unwrap_or_default();
    let mut blocks = Vec::new();
    let mut block = String::new();
    for line in section.lines() {
        match line.strip_prefix("    ") {
            Some(command) => block += &format!("{command}\n"),
            None if !block.is_empty() => blocks.push(std::mem::take(&mut block)),
            None => {}
        }
    }
    if !block.is_empty() {
        blocks.push(block);
    }
    blocks
}

/// A copy of what a new user has after `cargo build --release`, on the ports of a slot.
struct Checkout {
    dir: PathBuf,
    blocks: Vec<String>,
    _ports: PortSlot,
}

impl Checkout {
    fn new() -> Checkout {
        let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let ports = PortSlot::claim();
        let dir = scratch_folder().join(format!("willowslip-readme-{}", std::process::id()));
        for folder in ["examples", "target/release", "tmp"] {
            fs::create_dir_all(dir.join(folder)).expect("a folder");
        }
        std::os::unix::fs::symlink(BIN, dir.join("target/release/willowslip")).expect("a link to the program");
        for entry in fs::read_dir(repository.join("examples")).expect("the examples") {
            let file = entry.expect("an entry").path();
            if file.is_file() {
                copy_with_ports(&file, &dir.join("examples"), &ports);
            }
        }
        let page = fs::read_to_string(repository.join("README.md")).expect("README.md");
        let blocks = code_blocks(&ports.replace_ports(&page), SECTION);
        Checkout { dir, blocks, _ports: ports }
    }

    fn shell(&self, name: &str, commands: &str) -> Shell {
        let output = self.dir.join(format!("{name}.out"));
        let file = File::create(&output).expect("an output file");
        let child = Command::new("bash")
            .args(["-e", "-c", commands])
            .current_dir(&self.dir)
            .env("TMPDIR", self.dir.join("tmp"))
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("the same file"))
            .stderr(file)
            .process_group(0)
            .spawn()
            .expect("bash starts");
        Shell { child, output }
    }

    /// Runs commands to their end; what they wrote, and whether all succeeded.
    fn run(&self, name: &str, commands: &str) -> (ExitStatus, String) {
        let mut shell = self.shell(name, commands);
        until(&format!("the end of: {commands}"), || shell.ended().is_some());
        let status = shell.ended().expect("it has ended");
        (status, shell.text())
    }

    /// What all programs wrote, to be read where the test fails.
    fn print_outputs(&self) {
        let logs = fs::read_dir(self.dir.join("tmp")).into_iter().flatten().flatten().map(|entry| entry.path());
        for dir in logs.chain([self.dir.clone()]) {
            for file in fs::read_dir(dir).into_iter().flatten().flatten().map(|entry| entry.path()) {
                if file.extension().is_some_and(|e| e == "log" || e == "out") {
                    eprintln!("--- {}\n{}", file.display(), fs::read_to_string(&file).unwrap_or_default());
                }
            }
        }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_outputs();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn copy_with_ports(file: &Path, to: &Path, ports: &PortSlot) {
    let copy = to.join(file.file_name().expect("a file's name"));
    let text = fs::read_to_string(file).expect("an example");
    fs::write(&copy, ports.replace_ports(&text)).expect("written");
    fs::set_permissions(&copy, fs::metadata(file).expect("its mode").permissions()).expect("the same mode");
}

/// Commands in a shell, in a process group of their own that ends with it.
struct Shell {
    child: Child,
    output: PathBuf,
}

impl Shell {
    fn text(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }

    fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("its state")
    }

    /// Sends a signal to the whole group, as a terminal does; false where nobody is left.
    fn signal(&self, signal: &str) -> bool {
        let group = format!("-{}", self.child.id());
        let sent = Command::new("kill").args([signal, "--", &group]).stderr(Stdio::null()).status();
        sent.is_ok_and(|status| status.success())
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        self.signal("-KILL");
        let _ = self.child.wait();
    }
}

/// The value of a header in the answer that `curl -i` printed last.
fn header(answers: &str, name: &str) -> Option<String> {
    let fields = answers.lines().rev().filter_map(|line| line.split_once(':'));
    let mut named = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value.trim().to_owned())
}

#[test]
fn the_commands_of_the_readme_lead_to_a_settled_message_and_its_call_back() {
    let checkout = Checkout::new();
    let [system, endpoint, message, state] = &checkout.blocks[..] else {
        panic!(
            "README.md: four blocks of commands are wanted, of which two stay in their shells: {:?}",
            checkout.blocks
        );
    };
    let mut system = checkout.shell("system", system);
    let mut endpoint = checkout.shell("endpoint", endpoint);
    until("all programs started", || system.text().contains("logs:"));
    until("the endpoint listens", || endpoint.text().contains("listening"));

    let (status, answers) = checkout.run("message", message);
    assert!(status.success() && answers.contains("202 Accepted"), "{status}: {answers}");
    let name = header(&answers, "X-Message-Name").expect("a name for the message");
    let state = state.replace("NAME", &name);
    until("the message is settled", || checkout.run("state", &state).1.contains("\"settled\""));
    let ran = |text: &str| text.lines().any(|line| line == "ran a1 hello");
    let called_back =
        |line: &str| line.starts_with("call-back") && line.contains("\"a1\"") && line.contains("\"settled\"");
    assert!(ran(&endpoint.text()), "{}", endpoint.text());
    until("the call-back", || endpoint.text().lines().any(called_back));

    assert!(system.ended().is_none() && endpoint.ended().is_none(), "both run until they are stopped");
    assert!(system.signal("-INT"));
    until("the system ends with Ctrl-C", || system.ended().is_some());
    assert!(system.ended().is_some_and(|status| status.success()), "{}", system.text());
    assert!(!system.signal("-0"), "all that it started has ended");
}

#[test]
fn only_whole_numbers_are_taken_for_ports() {
    let ports = PortSlot::claim();
    let control = ports.replacements.iter().find(|(usual, _)| *usual == CONTROL).expect("replaced").1;
    let text = "127.0.0.2:8064, 18064, 80640 and 8064";
    assert_eq!(ports.replace_ports(text), format!("127.0.0.2:{control}, 18064, 80640 and {control}"));
}
