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
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut is_clean = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let length = Duration::from_secs(arguments.seconds);
        let network = arguments.network.clone();
        let plan = Plan { seed, length, pause: Duration::from_millis(15), network };
        let at_once = Schedule::draw(seed, length).most_at_once();
        match run(&arguments.program, &plan) {
            Ok(verdict) => {
                is_clean &= verdict.violations.is_empty();
                println!("seed {seed}, up to {at_once} troubles at once: {verdict}");
            }
            Err(error) => {
                is_clean = false;
                println!("seed {seed}: not run: {error}");
            }
        }
    }
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
