//! `agatestair-testbed`: runs a deployment of real processes, or the fault matrix.

use std::io::{self, Read};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread;

use agatestair_schema::settings::PolicyName;
use agatestair_testbed::matrix::{Cell, all_cells, describe, run_cells, short_cells};
use agatestair_testbed::{
    Layout, Testbed, TestbedError, TestbedOptions, finish_reaper, run_reaper,
};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code after a signal during startup.
const INTERRUPTED: i32 = 130;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs deployments of real processes and stand-ins.
        cmd agatestair-testbed {
            /// Start a deployment and run it until standard input closes or a signal arrives.
            cmd up {
                /// `lexicon` or `fitline`.
                required --deployment name: String
                /// Number of entry instances (7).
                optional --entries count: usize
                /// Number of engines (default of the deployment).
                optional --engines count: u32
                /// `own`, `round_robin` or `least_reported`.
                optional --policy policy: String
                /// Seed of the stand-ins (1).
                optional --seed seed: u64
                /// Route all connections through the fault proxy.
                optional --proxied
                /// Log at debug level and keep the logs.
                optional --verbose
                /// File for the JSON description of the deployment.
                required --out out: PathBuf
            }
            /// Run the fault matrix.
            ///
            /// Exit codes: 0 all promises kept, 1 bad arguments, 2 a cell failed.
            cmd matrix {
                /// Inclusive range of seeds as A..B.
                required --seeds range: String
                /// Run only these cells: FAULT, FAULT+FAULT, either with @STEP, or @STEP.
                optional --only cell: String
                /// Run one cell for each fault instead of every fault at every step.
                optional --short
                /// Number of cells run in parallel (3).
                optional --jobs count: usize
            }
            /// Read process ids from standard input and kill these processes once it closes.
            cmd reap {}
        }
    }
}

fn main() -> ExitCode {
    let code = run();
    finish_reaper();
    code
}

fn run() -> ExitCode {
    match flags::AgatestairTestbed::from_env_or_exit().subcommand {
        flags::AgatestairTestbedCmd::Reap(_) => {
            run_reaper();
            ExitCode::SUCCESS
        }
        flags::AgatestairTestbedCmd::Matrix(flags) => matrix(&flags).unwrap_or_else(|problem| {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }),
        flags::AgatestairTestbedCmd::Up(flags) => match up(&flags) {
            Ok(()) => ExitCode::SUCCESS,
            Err(problem) => {
                eprintln!("{problem}");
                ExitCode::FAILURE
            }
        },
    }
}

/// Exit code when a cell failed.
const EXIT_FAILED: u8 = 2;
/// Default number of cells run in parallel.
const DEFAULT_JOBS: usize = 3;

fn matrix(flags: &flags::Matrix) -> Result<ExitCode, String> {
    let problem = || format!("invalid range of seeds `{}`; use for example 1..5", flags.seeds);
    let (first, last) = flags.seeds.split_once("..").ok_or_else(problem)?;
    let first: u64 = first.parse().map_err(|_| problem())?;
    let last: u64 = last.trim_start_matches('=').parse().map_err(|_| problem())?;
    let list_cells = if flags.short { short_cells } else { all_cells };
    let cells = (first..=last).flat_map(list_cells);
    let cells: Vec<Cell> = cells.filter(|cell| is_wanted(cell, flags.only.as_deref())).collect();
    if cells.is_empty() {
        return Err(
            "no cell matches the seeds and `--only`; see docs/FAULTS.md for the names".to_owned()
        );
    }
    let total = cells.len();
    let done = AtomicUsize::new(0);
    let report = run_cells(cells, flags.jobs.unwrap_or(DEFAULT_JOBS), |result| {
        let number = done.fetch_add(1, Ordering::Relaxed) + 1;
        println!("{number:>4} of {total} {}", result.line());
        if !result.passed() {
            println!("{}", describe(result));
        }
    });
    println!("{report}");
    Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) })
}

fn is_wanted(cell: &Cell, only: Option<&str>) -> bool {
    let Some(only) = only else {
        return true;
    };
    let name = cell.name();
    let (faults, step) = name.split_once('@').unwrap_or((&name, ""));
    match only.split_once('@') {
        Some(("", wanted)) => wanted == step,
        Some(_) => only == name,
        None => only == faults,
    }
}

fn up(flags: &flags::Up) -> Result<(), String> {
    let (sender, stopped) = channel();
    let started = Arc::new(AtomicBool::new(false));
    watch_signals(sender.clone(), started.clone()).map_err(|error| error.to_string())?;
    watch_input(sender);
    let options = testbed_options(flags)?;
    let mut testbed = Testbed::start(options).map_err(|error| error.to_string())?;
    if flags.verbose {
        testbed.keep_folder();
    }
    started.store(true, Ordering::SeqCst);
    write_description(&testbed, &flags.out).map_err(|error| error.to_string())?;
    // An error means that both watchers have ended, which stops the deployment too.
    let _ = stopped.recv();
    Ok(())
}

fn testbed_options(flags: &flags::Up) -> Result<TestbedOptions, String> {
    let mut layout = Layout::by_name(&flags.deployment).ok_or_else(|| {
        format!("unknown deployment `{}`; valid names: lexicon, fitline", flags.deployment)
    })?;
    layout.engines = flags.engines.unwrap_or(layout.engines);
    let defaults = TestbedOptions::default();
    let policy = flags.policy.as_deref().unwrap_or("own").replace('-', "_");
    let policy = policy.parse::<PolicyName>().map_err(|_| {
        format!("unknown policy `{policy}`; valid names: own, round_robin, least_reported")
    })?;
    Ok(TestbedOptions {
        layout,
        entries: flags.entries.unwrap_or(defaults.entries),
        policy,
        proxied: flags.proxied,
        seed: flags.seed.unwrap_or(defaults.seed),
        verbose: flags.verbose,
        ..defaults
    })
}

/// Writes the description atomically, so that readers never see a partial file.
fn write_description(testbed: &Testbed, out: &Path) -> Result<(), TestbedError> {
    let deployment = testbed.describe()?;
    let text = serde_json::to_string_pretty(&deployment).unwrap_or_default();
    let temporary = out.with_extension("part");
    let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, out));
    written.map_err(|cause| TestbedError::io(out.display().to_string(), cause))
}

/// Stops the deployment on a signal. A signal during startup makes this process exit instead; the
/// reaper then kills the child processes.
fn watch_signals(sender: Sender<()>, started: Arc<AtomicBool>) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            if !started.load(Ordering::SeqCst) {
                std::process::exit(INTERRUPTED);
            }
            // The receiver is gone if the deployment has been stopped already.
            let _ = sender.send(());
        }
    });
    Ok(())
}

fn watch_input(sender: Sender<()>) {
    thread::spawn(move || {
        let mut buffer = [0; 64];
        while io::stdin().read(&mut buffer).is_ok_and(|count| count > 0) {}
        // The receiver is gone if the deployment has been stopped already.
        let _ = sender.send(());
    });
}
