//! Runs soaks of many seeds, one after the other, and says which of them broke a rule.

use clap::Parser;
use soak::{DurabilityPlan, Plan, Schedule, run, run_durability};
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
    /// Play days with an end instead, with so many front machines: all that still waits is asked for.
    #[arg(long)]
    days_with_fronts: Option<usize>,
    /// How many threads write files beside a day with an end.
    #[arg(long, default_value_t = 0)]
    writers: usize,
    /// How many threads are busy beside it.
    #[arg(long, default_value_t = 0)]
    spinners: usize,
    /// Keep the folders of the clusters, with their logs, in the system's temporary folder.
    #[arg(long)]
    keep: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut is_clean = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        is_clean &= match arguments.days_with_fronts {
            Some(front_count) => play_day(&arguments, seed, front_count),
            None => play(&arguments, seed),
        };
    }
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs the soak of a seed; whether it was clean.
fn play(arguments: &Arguments, seed: u64) -> bool {
    let length = Duration::from_secs(arguments.seconds);
    let network = arguments.network.clone();
    let pause = Duration::from_millis(15);
    let plan = Plan { seed, length, pause, network, keep_dir: arguments.keep };
    let schedule = Schedule::draw(seed, length);
    let at_once = schedule.max_concurrent();
    match run(&arguments.program, &plan) {
        Ok(verdict) => {
            println!("seed {seed}, up to {at_once} troubles at once: {verdict}");
            if !verdict.violations.is_empty() {
                print_schedule(&schedule);
            }
            verdict.violations.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: not run: {error}");
            false
        }
    }
}

/// Plays the day of a seed; whether it was clean.
fn play_day(arguments: &Arguments, seed: u64, front_count: usize) -> bool {
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
            println!("day {seed}: {verdict}");
            verdict.violations.is_empty()
        }
        Err(error) => {
            println!("day {seed}: not run: {error}");
            false
        }
    }
}

/// Says which troubles a seed had, and when.
fn print_schedule(schedule: &Schedule) {
    for fault in &schedule.faults {
        let (from, to) = (fault.at.as_secs_f64(), (fault.at + fault.length).as_secs_f64());
        println!("  {from:.2} to {to:.2} s: {:?} {}", fault.kind, fault.target);
    }
}
