//! Command line of the load and experiment tool.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use agatestair_load::{
    RunResult, RunSettings, SCENARIOS, Scenario, find_scenario, read_deployment, render_table,
    run_once, summarise_policies,
};
use agatestair_schema::testbed::Deployment;

/// Exit code if a promise was violated.
const EXIT_BROKEN: u8 = 2;
/// Maximum number of seeds in a `--seeds` range.
const MAX_SEEDS: u64 = 100;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Open-loop load generator and experiment tool that checks the promises.
        ///
        /// Exit codes: 0 no violation, 1 the run could not be executed, 2 a promise was violated.
        cmd agatestair-load {
            /// Run a scenario for each seed, against one running deployment after the other.
            cmd run {
                /// Scenario name; see `agatestair-load list`.
                required scenario: String
                /// File written by `agatestair-testbed up`; repeat to compare policies.
                repeated --deployment file: PathBuf
                /// Seed of the random number generators (default 1).
                optional --seed number: u64
                /// Inclusive range of seeds as A..B; replaces --seed.
                optional --seeds range: String
                /// File for the results: one JSON object per policy and line.
                optional --json file: PathBuf
                /// Multiplier of the offered load (default 1).
                optional --load factor: f64
                /// Send requests directly to the engines, bypassing the entries.
                optional --direct
            }
            /// List the scenarios.
            cmd list {}
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::AgatestairLoad::from_env_or_exit();
    let result = match flags.subcommand {
        flags::AgatestairLoadCmd::Run(run) => run_all(&run),
        flags::AgatestairLoadCmd::List(_) => Ok(list_scenarios()),
    };
    result.unwrap_or_else(|failure| {
        eprintln!("agatestair-load: {failure}");
        ExitCode::FAILURE
    })
}

fn list_scenarios() -> ExitCode {
    for scenario in &SCENARIOS {
        println!("{:<18} {}", scenario.name, scenario.about);
    }
    ExitCode::SUCCESS
}

fn run_all(flags: &flags::Run) -> Result<ExitCode, String> {
    let scenario =
        find_scenario(&flags.scenario).ok_or_else(|| unknown_scenario(&flags.scenario))?;
    let seeds = seeds_of(flags)?;
    if flags.deployment.is_empty() {
        return Err("no deployment given; add --deployment FILE with a file written by \
                    `agatestair-testbed up`"
            .to_owned());
    }
    let deployments = read_deployments(&flags.deployment)?;
    let runs = run_seeds(scenario, &deployments, &seeds, flags)?;
    if let Some(path) = &flags.json {
        write_results(path, &runs)?;
    }
    let policies = summarise_policies(&runs);
    print!("{}", render_table(&policies));
    let kept = runs.iter().all(|run| run.promises.kept());
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::from(EXIT_BROKEN) })
}

fn run_seeds(
    scenario: &Scenario,
    deployments: &[Deployment],
    seeds: &[u64],
    flags: &flags::Run,
) -> Result<Vec<RunResult>, String> {
    let mut runs = Vec::with_capacity(seeds.len() * deployments.len());
    for &seed in seeds {
        for deployment in deployments {
            eprintln!(
                "{} on {} {}, seed {seed}",
                scenario.name, deployment.name, deployment.policy
            );
            let load_factor = flags.load.unwrap_or(1.0);
            let settings = RunSettings { seed, direct: flags.direct, load_factor };
            let run = run_once(scenario, deployment, settings).map_err(|error| {
                format!(
                    "cannot start the caller threads: {error}; free memory or threads and try again"
                )
            })?;
            runs.push(run);
        }
    }
    Ok(runs)
}

fn read_deployments(paths: &[PathBuf]) -> Result<Vec<Deployment>, String> {
    paths.iter().map(|path| read_deployment(path).map_err(|error| error.to_string())).collect()
}

fn unknown_scenario(name: &str) -> String {
    let names: Vec<&str> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
    format!("unknown scenario `{name}`; valid names: {}", names.join(", "))
}

/// Returns the seeds selected on the command line.
fn seeds_of(flags: &flags::Run) -> Result<Vec<u64>, String> {
    let Some(range) = &flags.seeds else {
        return Ok(vec![flags.seed.unwrap_or(1)]);
    };
    let fail = || format!("invalid range of seeds `{range}`; use for example 1..5");
    let (first, last) = range.split_once("..").ok_or_else(fail)?;
    let first: u64 = first.parse().map_err(|_| fail())?;
    let last: u64 = last.trim_start_matches('=').parse().map_err(|_| fail())?;
    if last < first || last - first >= MAX_SEEDS {
        return Err(format!(
            "range of seeds `{range}` is empty or has more than {MAX_SEEDS} seeds"
        ));
    }
    Ok((first..=last).collect())
}

/// Writes one JSON object per policy, one per line.
fn write_results(path: &Path, runs: &[RunResult]) -> Result<(), String> {
    let mut text = String::new();
    for policy in summarise_policies(runs) {
        let line = serde_json::to_string(&policy).map_err(|error| error.to_string())?;
        text.push_str(&line);
        text.push('\n');
    }
    fs::write(path, text)
        .map_err(|error| format!("cannot write {}: {error}; use a writable file", path.display()))
}
