//! Summaries of several runs and the table of figures.

use std::fmt::Write;

use serde::Serialize;

use crate::figures::Better;
use crate::run::RunResult;

/// Name of the project's own policy.
const OWN: &str = "own";
/// Width of a column of the table in characters.
const COLUMN: usize = 22;
/// Width of the column of names in characters.
const NAME_COLUMN: usize = 24;

/// One figure over several seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureSpread {
    /// Name of the figure.
    pub name: String,
    /// Median over the seeds.
    pub median: f64,
    /// Least value.
    pub min: f64,
    /// Greatest value.
    pub max: f64,
    #[serde(skip)]
    better: Option<Better>,
}

/// Runs of one policy, written as one JSON object.
#[derive(Clone, Debug, Serialize)]
pub struct PolicySummary {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Placement policy.
    pub policy: String,
    /// Seeds run.
    pub seeds: Vec<u64>,
    /// Figures over the seeds.
    pub spread: Vec<FigureSpread>,
    /// Every run.
    pub runs: Vec<RunResult>,
}

/// Own figure against the better baseline of the same seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureRatio {
    /// Name of the figure.
    pub name: String,
    /// Median over the seeds of own by best baseline.
    pub ratio: f64,
}

/// Groups the runs by policy, in the order in which they first appear.
pub fn summarise_policies(runs: &[RunResult]) -> Vec<PolicySummary> {
    let mut policies: Vec<PolicySummary> = Vec::new();
    for run in runs {
        let index = policies.iter().position(|summary| summary.policy == run.policy);
        let index = index.unwrap_or_else(|| {
            policies.push(PolicySummary {
                scenario: run.scenario.clone(),
                deployment: run.deployment.clone(),
                policy: run.policy.clone(),
                seeds: Vec::new(),
                spread: Vec::new(),
                runs: Vec::new(),
            });
            policies.len() - 1
        });
        policies[index].seeds.push(run.seed);
        policies[index].runs.push(run.clone());
    }
    for policy in &mut policies {
        policy.spread = spread_of(&policy.runs);
    }
    policies
}

fn spread_of(runs: &[RunResult]) -> Vec<FigureSpread> {
    let Some(first) = runs.first() else { return Vec::new() };
    let names = first.figures.list.iter();
    names
        .map(|figure| {
            let values: Vec<f64> =
                runs.iter().filter_map(|run| run.figures.value(&figure.name)).collect();
            FigureSpread {
                name: figure.name.clone(),
                median: median(&values),
                min: values.iter().copied().fold(f64::INFINITY, f64::min),
                max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
                better: Some(figure.better),
            }
        })
        .collect()
}

/// Middle value; the mean of the two middle ones of an even count; 0 of none.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => 0.0,
        count if count % 2 == 1 => sorted[count / 2],
        count => f64::midpoint(sorted[count / 2 - 1], sorted[count / 2]),
    }
}

/// Medians over the seeds of own figures by the best baseline's of the same seed.
pub fn own_ratios(policies: &[PolicySummary]) -> Vec<FigureRatio> {
    let Some(own) = policies.iter().find(|policy| policy.policy == OWN) else {
        return Vec::new();
    };
    let rated =
        own.spread.iter().filter(|f| matches!(f.better, Some(Better::Higher | Better::Lower)));
    rated
        .filter_map(|figure| {
            let ratios: Vec<f64> =
                own.runs.iter().filter_map(|run| seed_ratio(run, figure, policies)).collect();
            let ratio = median(&ratios);
            (!ratios.is_empty()).then(|| FigureRatio { name: figure.name.clone(), ratio })
        })
        .collect()
}

/// Own figure of one seed by the best baseline's.
fn seed_ratio(own: &RunResult, figure: &FigureSpread, policies: &[PolicySummary]) -> Option<f64> {
    let others = policies.iter().filter(|policy| policy.policy != OWN);
    let runs = others.flat_map(|policy| &policy.runs).filter(|run| run.seed == own.seed);
    let values = runs.filter_map(|run| run.figures.value(&figure.name));
    let best = match figure.better {
        Some(Better::Higher) => values.reduce(f64::max),
        _ => values.reduce(f64::min),
    };
    let ratio = own.figures.value(&figure.name)? / best?;
    ratio.is_finite().then_some(ratio)
}

/// Table of the figures, one column a policy, with promises and ratios.
pub fn render_table(policies: &[PolicySummary]) -> String {
    let mut text = String::new();
    let Some(first) = policies.first() else { return text };
    let seeds = first.seeds.len();
    let _ = writeln!(text, "{} on {}, {seeds} seed(s)", first.scenario, first.deployment);
    let _ = write!(text, "{:<NAME_COLUMN$}", "figure");
    for policy in policies {
        let _ = write!(text, "{:>COLUMN$}", policy.policy);
    }
    let _ = writeln!(text, "{:>COLUMN$}", "own / best baseline");
    let ratios = own_ratios(policies);
    for name in figure_names(policies) {
        let _ = write!(text, "{name:<NAME_COLUMN$}");
        for policy in policies {
            let _ = write!(text, "{:>COLUMN$}", cell_of(policy, &name));
        }
        let ratio = ratios.iter().find(|ratio| ratio.name == name);
        let ratio = ratio.map_or(String::new(), |ratio| format!("{:.3}", ratio.ratio));
        let _ = writeln!(text, "{ratio:>COLUMN$}");
    }
    for policy in policies {
        text.push_str(&render_promises(policy));
    }
    text
}

fn figure_names(policies: &[PolicySummary]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for figure in policies.iter().flat_map(|policy| &policy.spread) {
        if !names.contains(&figure.name) {
            names.push(figure.name.clone());
        }
    }
    names
}

fn cell_of(policy: &PolicySummary, name: &str) -> String {
    let Some(figure) = policy.spread.iter().find(|figure| figure.name == name) else {
        return "-".to_owned();
    };
    if policy.runs.len() < 2 {
        return short_number(figure.median);
    }
    let (min, max) = (short_number(figure.min), short_number(figure.max));
    format!("{} ({min}..{max})", short_number(figure.median))
}

fn short_number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}

fn render_promises(policy: &PolicySummary) -> String {
    let mut text = format!("promises, {}:", policy.policy);
    let names = policy.runs.first().map(|run| run.promises.each()).unwrap_or_default();
    for (index, (name, _)) in names.iter().enumerate() {
        let each = policy.runs.iter().map(|run| run.promises.each()[index].1);
        let (count, chances) =
            each.fold((0, 0), |sum, next| (sum.0 + next.count, sum.1 + next.chances));
        let _ = write!(text, " {name} {count}/{chances}");
    }
    text.push('\n');
    for example in policy.runs.iter().flat_map(|run| &run.promises.examples).take(5) {
        let _ = writeln!(text, "  {example}");
    }
    for note in policy.runs.iter().flat_map(|run| &run.unchecked).take(3) {
        let _ = writeln!(text, "  not checked: {note}");
    }
    text
}
