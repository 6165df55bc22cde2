//! Command line of the load and experiment tool.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use agatestair_load::{
    RunResult, RunSettings, SCENARIOS, Scenario, find_scenario, read_deployment, render_table,
    run_once, summarise_policies,
};
use agatestair_schema::testbed::Deployment;

/// Exit code when a promise was broken.
const EXIT_BROKEN: u8 = 2;
/// Greatest number of seeds in one sweep.
const MAX_SEEDS: u64 = 100;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Open-loop load and experiment tool that checks the promises.
        ///
        /// Exit codes: 0 all promises kept, 1 the run could not be made, 2 a promise was broken.
        cmd agatestair-load {
            /// Run a scenario against running deployments, one after the other for each seed.
            cmd run {
                /// Name of the scenario; see `agatestair-load list`.
                required scenario: String
                /// File that `agatestair-testbed up` wrote; repeat it for several policies.
                repeated --deployment file: PathBuf
                /// Seed of all choices (default 1).
                optional --seed number: u64
                /// Seeds as A..B, both included.
                optional --seeds range: String
                /// File for the results: one JSON object a policy.
                optional --json file: PathBuf
                /// Factor on the offered load (default 1).
                optional --load factor: f64
                /// Ask the engines straight, without entries.
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
    let scenario = find_scenario(&flags.scenario).ok_or_else(|| unknown(&flags.scenario))?;
    let seeds = seeds_of(flags)?;
    if flags.deployment.is_empty() {
        return Err("no deployment is named; add --deployment FILE, which \
                    `agatestair-testbed up` writes"
            .to_owned());
    }
    let deployments = read_all(&flags.deployment)?;
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
            let load = flags.load.unwrap_or(1.0);
            let settings = RunSettings { seed, direct: flags.direct, load };
            let run = run_once(scenario, deployment, settings).map_err(|error| {
                format!("cannot start the callers: {error}; free memory or threads and try again")
            })?;
            runs.push(run);
        }
    }
    Ok(runs)
}

fn read_all(paths: &[PathBuf]) -> Result<Vec<Deployment>, String> {
    paths.iter().map(|path| read_deployment(path).map_err(|error| error.to_string())).collect()
}

fn unknown(name: &str) -> String {
    let names: Vec<&str> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
    format!("there is no scenario `{name}`; give one of {}", names.join(", "))
}

/// The seeds asked for.
fn seeds_of(flags: &flags::Run) -> Result<Vec<u64>, String> {
    let Some(range) = &flags.seeds else {
        return Ok(vec![flags.seed.unwrap_or(1)]);
    };
    let fail = || format!("`{range}` is no range of seeds; give for example 1..5");
    let (first, last) = range.split_once("..").ok_or_else(fail)?;
    let first: u64 = first.parse().map_err(|_| fail())?;
    let last: u64 = last.trim_start_matches('=').parse().map_err(|_| fail())?;
    if last < first || last - first >= MAX_SEEDS {
        return Err(format!("`{range}` holds no seed or more than {MAX_SEEDS}"));
    }
    Ok((first..=last).collect())
}

/// Writes one JSON object a policy, each on a line of its own.
fn write_results(path: &Path, runs: &[RunResult]) -> Result<(), String> {
    let mut text = String::new();
    for policy in summarise_policies(runs) {
        let line = serde_json::to_string(&policy).map_err(|error| error.to_string())?;
        text.push_str(&line);
        text.push('\n');
    }
    fs::write(path, text)
        .map_err(|error| format!("{}: {error}; name a file that can be written", path.display()))
}
