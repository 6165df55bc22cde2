//! Aggregates runs per policy and renders the table of figures.

use std::fmt::Write;

use serde::Serialize;

use crate::figures::Better;
use crate::run::RunResult;

/// Name of agatestair's own placement policy; all others are baselines.
const OWN: &str = "own";
/// Width of a policy's column in characters.
const COLUMN_WIDTH: usize = 22;
/// Width of the column with the names of the figures in characters.
const NAME_WIDTH: usize = 24;

/// Distribution of one figure over the seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureSpread {
    /// Name of the figure.
    pub name: String,
    /// Median.
    pub median: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
    #[serde(skip)]
    better: Option<Better>,
}

/// All runs of one policy, serialized as one JSON object.
#[derive(Clone, Debug, Serialize)]
pub struct PolicySummary {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Placement policy.
    pub policy: String,
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// Distribution of each figure over the seeds.
    pub spread: Vec<FigureSpread>,
    /// Results of all runs.
    pub runs: Vec<RunResult>,
}

/// Figure of the own policy relative to the best baseline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureRatio {
    /// Name of the figure.
    pub name: String,
    /// Median over the seeds of the own value divided by the best baseline value.
    pub ratio: f64,
}

/// Groups runs by policy, in order of first appearance.
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

/// Median; the mean of the two middle values for an even count, 0 for no values.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => 0.0,
        count if count % 2 == 1 => sorted[count / 2],
        count => f64::midpoint(sorted[count / 2 - 1], sorted[count / 2]),
    }
}

/// Figures of the own policy divided by the best baseline of the same seed, as medians.
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

/// Own value of a figure divided by the best baseline value of the same seed.
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

/// Renders the figures with one column per policy, the ratios and the promise checks.
pub fn render_table(policies: &[PolicySummary]) -> String {
    let mut text = String::new();
    let Some(first) = policies.first() else { return text };
    let seeds = first.seeds.len();
    let _ = writeln!(text, "{} on {}, {seeds} seed(s)", first.scenario, first.deployment);
    let _ = write!(text, "{:<NAME_WIDTH$}", "figure");
    for policy in policies {
        let _ = write!(text, "{:>COLUMN_WIDTH$}", policy.policy);
    }
    let _ = writeln!(text, "{:>COLUMN_WIDTH$}", "own / best baseline");
    let ratios = own_ratios(policies);
    for name in figure_names(policies) {
        let _ = write!(text, "{name:<NAME_WIDTH$}");
        for policy in policies {
            let _ = write!(text, "{:>COLUMN_WIDTH$}", format_cell(policy, &name));
        }
        let ratio = ratios.iter().find(|ratio| ratio.name == name);
        let ratio = ratio.map_or(String::new(), |ratio| format!("{:.3}", ratio.ratio));
        let _ = writeln!(text, "{ratio:>COLUMN_WIDTH$}");
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

fn format_cell(policy: &PolicySummary, name: &str) -> String {
    let Some(figure) = policy.spread.iter().find(|figure| figure.name == name) else {
        return "-".to_owned();
    };
    if policy.runs.len() < 2 {
        return format_number(figure.median);
    }
    let (min, max) = (format_number(figure.min), format_number(figure.max));
    format!("{} ({min}..{max})", format_number(figure.median))
}

fn format_number(value: f64) -> String {
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
