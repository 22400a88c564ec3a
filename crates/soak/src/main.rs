//! Runs the soak test for a range of seeds, one after the other, and prints the rule violations of each.

use clap::Parser;
use soak::{DurabilityPlan, Plan, Schedule, run, run_durability};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Soak test that runs the system's processes on loopback.
#[derive(Parser)]
struct Arguments {
    /// The path of the `willowslip` binary.
    #[arg(long, default_value = "target/release/willowslip")]
    program: PathBuf,
    /// The first seed to run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of seeds to run.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// How many seconds of traffic each seed gets.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The first three octets of the loopback addresses to use.
    #[arg(long, default_value = "127.0.20")]
    network: String,
    /// Run the durability test instead, with this many front machines: it checks that pending
    /// messages can be read back.
    #[arg(long)]
    days_with_fronts: Option<usize>,
    /// The number of threads that write files during the durability test.
    #[arg(long, default_value_t = 0)]
    writers: usize,
    /// The number of threads that keep a processor busy during the durability test.
    #[arg(long, default_value_t = 0)]
    spinners: usize,
    /// Keep the clusters' directories, with their logs, in the system's temporary directory.
    #[arg(long)]
    keep: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut all_passed = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        all_passed &= match arguments.days_with_fronts {
            Some(front_count) => run_durability_seed(&arguments, seed, front_count),
            None => run_seed(&arguments, seed),
        };
    }
    if all_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs the soak test with one seed and prints its result; false on violations or errors.
fn run_seed(arguments: &Arguments, seed: u64) -> bool {
    let length = Duration::from_secs(arguments.seconds);
    let network = arguments.network.clone();
    let pause = Duration::from_millis(15);
    let plan = Plan { seed, length, pause, network, keep_dir: arguments.keep };
    let schedule = Schedule::draw(seed, length);
    let concurrent = schedule.max_concurrent();
    match run(&arguments.program, &plan) {
        Ok(verdict) => {
            println!("seed {seed}, up to {concurrent} concurrent faults: {verdict}");
            if !verdict.violations.is_empty() {
                print_schedule(&schedule);
            }
            verdict.violations.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: could not run: {error}");
            false
        }
    }
}

/// Runs the durability test with one seed and prints its result; false on violations or errors.
fn run_durability_seed(arguments: &Arguments, seed: u64, front_count: usize) -> bool {
    let plan = DurabilityPlan {
        seed,
        length: Duration::from_secs(arguments.seconds),
        network: arguments.network.clone(),
        front_count,
        writers: arguments.writers,
        spinners: arguments.spinners,
        keep_dir: arguments.keep,
    };
    match run_durability(&arguments.program, &plan) {
        Ok(verdict) => {
            println!("durability, seed {seed}: {verdict}");
            verdict.violations.is_empty()
        }
        Err(error) => {
            println!("durability, seed {seed}: could not run: {error}");
            false
        }
    }
}

/// Prints the kind, target and time of each fault.
fn print_schedule(schedule: &Schedule) {
    for fault in &schedule.faults {
        let (from, to) = (fault.at.as_secs_f64(), (fault.at + fault.length).as_secs_f64());
        println!("  {from:.2} to {to:.2} s: {:?} {}", fault.kind, fault.target);
    }
}
