//! Runs soaks of many seeds, one after the other, and says which of them broke a rule.

use clap::Parser;
use soak::{Plan, Schedule, run};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Soak test of the system's own processes on loopback.
#[derive(Parser)]
struct Arguments {
    /// The `willowslip` binary.
    #[arg(long, default_value = "target/release/willowslip")]
    program: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds to run.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// For how many seconds messages are sent at each seed.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The first three parts of the loopback addresses to use.
    #[arg(long, default_value = "127.0.20")]
    network: String,
    /// Keep the folders of the clusters, with their logs, in the system's temporary folder.
    #[arg(long)]
    keep: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut is_clean = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let length = Duration::from_secs(arguments.seconds);
        let network = arguments.network.clone();
        let pause = Duration::from_millis(15);
        let plan = Plan { seed, length, pause, network, keeps_folder: arguments.keep };
        let schedule = Schedule::draw(seed, length);
        let at_once = schedule.most_at_once();
        match run(&arguments.program, &plan) {
            Ok(verdict) => {
                is_clean &= verdict.violations.is_empty();
                println!("seed {seed}, up to {at_once} troubles at once: {verdict}");
                if !verdict.violations.is_empty() {
                    print_schedule(&schedule);
                }
            }
            Err(error) => {
                is_clean = false;
                println!("seed {seed}: not run: {error}");
            }
        }
    }
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Says which troubles a seed had, and when.
fn print_schedule(schedule: &Schedule) {
    for fault in &schedule.faults {
        let (from, to) = (fault.at.as_secs_f64(), (fault.at + fault.length).as_secs_f64());
        println!("  {from:.2} to {to:.2} s: {:?} {}", fault.kind, fault.target);
    }
}
