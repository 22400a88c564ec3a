//! Extracts the commands of README.md and runs them unchanged until the message is settled and its callback has
//! arrived.
//!
//! Only the ports of README.md and `examples/` are replaced, so that the run does not collide with other tests and
//! clusters on the same machine.

use std::fs::{self, File};
use std::net::{Ipv4Addr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

mod common;
use common::BIN;

/// Time-out of a single step, sufficient on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(180);

/// Heading of the section whose commands are run.
const SECTION: &str = "## Try it on one machine";

/// Ports in README.md and `examples/`, which a slot replaces.
const CONTROL: u16 = 8064;
const FRONT: u16 = 8069;
const READY: u16 = 8063;
const ENDPOINT: u16 = 9000;
const FIRST_INNER: u16 = 7780;
const LAST_INNER: u16 = 7795;

/// The machines of the example are 127.0.0.1 (the endpoint) to 127.0.0.8.
const MACHINES: std::ops::RangeInclusive<u8> = 1..=8;

/// Range of the port slots: below the ports of other tests and below the kernel's ephemeral ports.
const SLOTS: std::ops::Range<u16> = 10_000..20_000;
const PORTS_IN_A_SLOT: u16 = 25;

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Directory for the example's data: in memory if possible, so that a stalled disk of the test machine does not affect
/// the result.
fn scratch_dir() -> PathBuf {
    let memory = Path::new("/dev/shm");
    if memory.is_dir() { memory.to_owned() } else { std::env::temp_dir() }
}

/// A range of ports that is used by one run of this test at a time.
struct PortSlot {
    replacements: Vec<(u16, u16)>,
    /// Listener on the slot's first port, which makes other runs of this test skip the slot.
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

    /// Replaces the default ports in a text by those of the slot.
    fn replace_ports(&self, text: &str) -> String {
        let mut replaced = String::with_capacity(text.len());
        let mut rest = text;
        while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
            let digits = rest[start..].chars().take_while(char::is_ascii_digit).count();
            let (before, number) = (&rest[..start], &rest[start..start + digits]);
            replaced.push_str(before);
            let replacement = self.replacements.iter().find(|(default, _)| default.to_string() == number);
            replaced.push_str(&replacement.map_or(number.to_owned(), |(_, port)| port.to_string()));
            rest = &rest[start + digits..];
        }
        replaced + rest
    }
}

/// Returns the code blocks, indented by four spaces, of a section of a Markdown page.
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

/// A copy of a checkout after `cargo build --release`, with the ports of a slot.
struct Checkout {
    dir: PathBuf,
    blocks: Vec<String>,
    _ports: PortSlot,
}

impl Checkout {
    fn new() -> Checkout {
        let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let ports = PortSlot::claim();
        let dir = scratch_dir().join(format!("willowslip-readme-{}", std::process::id()));
        for folder in ["examples", "target/release", "tmp"] {
            fs::create_dir_all(dir.join(folder)).expect("directory");
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

    /// Runs commands to completion; returns the exit status and the output.
    fn run(&self, name: &str, commands: &str) -> (ExitStatus, String) {
        let mut shell = self.shell(name, commands);
        wait_until(&format!("completion of: {commands}"), || shell.exit_status().is_some());
        let status = shell.exit_status().expect("commands have exited");
        (status, shell.text())
    }

    /// Prints the output and logs of all programs, for a failed test.
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

/// Commands in a shell, in their own process group, which is killed on drop.
struct Shell {
    child: Child,
    output: PathBuf,
}

impl Shell {
    fn text(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }

    fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("its state")
    }

    /// Sends a signal to the whole process group, as a terminal does; false if the group has no process left.
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

/// Returns the last value of a header in the output of `curl -i`.
fn header(answers: &str, name: &str) -> Option<String> {
    let fields = answers.lines().rev().filter_map(|line| line.split_once(':'));
    let mut named = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value.trim().to_owned())
}

#[test]
fn readme_commands_settle_a_message_and_deliver_its_callback() {
    let checkout = Checkout::new();
    let [system, endpoint, message, state] = &checkout.blocks[..] else {
        panic!("README.md: expected four command blocks, of which the first two keep running: {:?}", checkout.blocks);
    };
    let mut system = checkout.shell("system", system);
    let mut endpoint = checkout.shell("endpoint", endpoint);
    wait_until("all programs started", || system.text().contains("logs:"));
    wait_until("endpoint listening", || endpoint.text().contains("listening"));

    let (status, answers) = checkout.run("message", message);
    assert!(status.success() && answers.contains("202 Accepted"), "{status}: {answers}");
    let name = header(&answers, "X-Message-Name").expect("a name for the message");
    let state = state.replace("NAME", &name);
    wait_until("message settled", || checkout.run("state", &state).1.contains("\"settled\""));
    let ran = |text: &str| text.lines().any(|line| line == "ran a1 hello");
    let called_back =
        |line: &str| line.starts_with("call-back") && line.contains("\"a1\"") && line.contains("\"settled\"");
    assert!(ran(&endpoint.text()), "{}", endpoint.text());
    wait_until("callback received", || endpoint.text().lines().any(called_back));

    assert!(
        system.exit_status().is_none() && endpoint.exit_status().is_none(),
        "cluster and endpoint run until they are stopped"
    );
    assert!(system.signal("-INT"));
    wait_until("cluster stopped by Ctrl-C", || system.exit_status().is_some());
    assert!(system.exit_status().is_some_and(|status| status.success()), "{}", system.text());
    assert!(!system.signal("-0"), "all started processes have exited");
}

#[test]
fn port_numbers_inside_longer_numbers_are_not_replaced() {
    let ports = PortSlot::claim();
    let control = ports.replacements.iter().find(|(default, _)| *default == CONTROL).expect("replaced").1;
    let text = "127.0.0.2:8064, 18064, 80640 and 8064";
    assert_eq!(ports.replace_ports(text), format!("127.0.0.2:{control}, 18064, 80640 and {control}"));
}
