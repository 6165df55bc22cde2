//! Figures that are specific to a scenario.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agatestair_schema::standins::{RunKind, RunRecord};

use crate::callers::Route;
use crate::deployment::CostModel;
use crate::figures::{
    Better, Figures, Latencies, RequestSample, first_token_latencies, latencies, ratio,
};
use crate::operation::Class;
use crate::probe::{RevisionSample, UsageSample};
use crate::records::Records;
use crate::scenario::SHORT_ONLY_S;

/// Bytes in a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;

/// Input of [`add_figures`].
pub struct FigureInput<'a> {
    /// All requests.
    pub all: &'a [RequestSample<'a>],
    /// Requests with an intended send time within the measurement window.
    pub in_window: &'a [RequestSample<'a>],
    /// What the stand-ins recorded, if available.
    pub records: Option<&'a Records>,
    /// Revisions reported by the control processes, in chronological order.
    pub revisions: &'a [RevisionSample],
    /// Resource usage of the processes at the start and at the end of the window.
    pub usage: &'a [UsageSample],
    /// Cost model of the engines.
    pub cost: CostModel,
    /// Number of entries.
    pub entries: usize,
}

/// Adds the figures of the scenario `name`, and the resource usage.
pub fn add_figures(name: &str, input: &FigureInput<'_>, figures: &mut Figures) {
    match name {
        "overhead" => add_overhead(input, figures),
        "mix-shift" => add_role_changes(input, figures),
        "crest" => add_crest(input, figures),
        "short-behind-long" => add_short_behind_long(input, figures),
        "slow-endpoints" => add_extra_work(input, figures),
        "fleet-change" | "config-spread" => {
            add_role_changes(input, figures);
            add_propagation(input, figures);
        }
        _ => {}
    }
    add_usage(input, figures);
}

fn add_overhead(input: &FigureInput<'_>, figures: &mut Figures) {
    let direct = |sample: &RequestSample<'_>| Route::Alternate.direct(sample.request.index);
    let via_entry = first_token_latencies(input.in_window, |sample| !direct(sample));
    let direct_path = first_token_latencies(input.in_window, direct);
    for (share, label) in [(0.5, "p50"), (0.99, "p99")] {
        let entry = via_entry.quantile_ms(share);
        let engine = direct_path.quantile_ms(share);
        figures.add(&format!("entry_first_{label}_ms"), Better::Lower, entry);
        figures.add(&format!("direct_first_{label}_ms"), Better::Neither, engine);
        let added = entry.zip(engine).map(|(entry, engine)| entry - engine);
        figures.add(&format!("added_{label}_ms"), Better::Lower, added);
    }
    let open = peak_open(input.all.iter().filter(|sample| !direct(sample)));
    figures.add("open_per_entry_max", Better::Neither, open);
}

/// Maximum number of concurrently open requests at any single entry.
#[allow(clippy::cast_precision_loss)]
fn peak_open<'a>(samples: impl Iterator<Item = &'a RequestSample<'a>>) -> Option<f64> {
    let mut changes: HashMap<&str, Vec<(Duration, i64)>> = HashMap::new();
    for sample in samples {
        let Some(reply) = sample.request.last() else { continue };
        let list = changes.entry(&sample.request.target).or_default();
        list.push((sample.request.sent, 1));
        list.push((reply.end, -1));
    }
    let maxima = changes.into_values().map(|mut list| {
        list.sort_unstable();
        let mut open = 0;
        list.into_iter().fold(0, |most: i64, (_, change)| {
            open += change;
            most.max(open)
        })
    });
    maxima.max().map(|open| open as f64)
}

#[allow(clippy::cast_precision_loss)]
fn add_role_changes(input: &FigureInput<'_>, figures: &mut Figures) {
    let Some(records) = input.records else { return };
    let changes =
        records.orders.iter().filter(|order| order.kind == "set_role" && order.effect_ms > 0);
    figures.add("role_changes", Better::Lower, Some(changes.count() as f64));
    figures.add("orders", Better::Neither, Some(records.orders.len() as f64));
}

fn add_crest(input: &FigureInput<'_>, figures: &mut Figures) {
    let plans = crate::figures::plan_figures(input.in_window);
    figures.add("top_on_time_share", Better::Higher, plans.first().map(|plan| plan.on_time_share));
    for plan in &plans {
        let name = format!("on_time_share_{}", plan.plan);
        figures.add(&name, Better::Higher, Some(plan.on_time_share));
    }
    let goodput = figures.value("goodput_rps").zip(figures.value("capacity_rps"));
    let share = goodput.map(|(goodput, capacity)| goodput / capacity);
    figures.add("goodput_of_capacity", Better::Higher, share);
}

fn add_short_behind_long(input: &FigureInput<'_>, figures: &mut Figures) {
    let short_only: Vec<RequestSample<'_>> = input
        .all
        .iter()
        .filter(|sample| sample.arrival.at < Duration::from_secs(SHORT_ONLY_S))
        .copied()
        .collect();
    let short_only = latencies(&short_only, Some(Class::Short)).quantile_ms(0.99);
    let short = latencies(input.in_window, Some(Class::Short));
    let long = latencies(input.in_window, Some(Class::Long));
    figures.add("short_alone_p99_ms", Better::Neither, short_only);
    figures.add("short_p50_ms", Better::Lower, short.quantile_ms(0.5));
    figures.add("short_p99_ms", Better::Lower, short.quantile_ms(0.99));
    figures.add("long_p50_ms", Better::Lower, long.quantile_ms(0.5));
    figures.add("long_p99_ms", Better::Lower, long.quantile_ms(0.99));
    let relative = short.quantile_ms(0.99).zip(short_only).map(|(with, without)| with / without);
    figures.add("short_p99_of_alone", Better::Lower, relative);
}

/// Adds the engine time spent on duplicate runs, relative to one run (the longest) per request.
fn add_extra_work(input: &FigureInput<'_>, figures: &mut Figures) {
    let Some(records) = input.records else { return };
    let mut by_request: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for run in records.runs.iter().filter(|run| run.kind != RunKind::Call) {
        by_request.entry(&run.request).or_default().push(run_cost(run, &input.cost));
    }
    let (mut needed, mut done) = (0.0, 0.0);
    for costs in by_request.values() {
        needed += costs.iter().copied().fold(0.0, f64::max);
        done += costs.iter().sum::<f64>();
    }
    figures.add("extra_work_share", Better::Lower, Some((done - needed) / needed));
    let repeated = by_request.values().filter(|costs| costs.len() > 1).count();
    let share = ratio(repeated as u64, by_request.len() as u64);
    figures.add("second_attempt_share", Better::Neither, Some(share));
}

/// Engine time of a run in seconds; 0 if it did not start.
///
/// A run that started but produced no tokens counts with its prefill cost.
fn run_cost(run: &RunRecord, cost: &CostModel) -> f64 {
    if run.started_ms == 0 {
        return 0.0;
    }
    let prompt = run.prompt_tokens.saturating_sub(run.cached_tokens);
    cost.request_s(f64::from(prompt), f64::from(run.tokens))
}

/// Adds the times from the commit of each revision until each control process reported it.
#[allow(clippy::cast_precision_loss)]
fn add_propagation(input: &FigureInput<'_>, figures: &mut Figures) {
    let Some(records) = input.records else { return };
    let mut times = Latencies::default();
    let (mut longest, mut missing): (f64, u64) = (0.0, 0);
    for change in &records.lists {
        for instance in 0..input.entries {
            let seen = input
                .revisions
                .iter()
                .find(|sample| sample.instance == instance && sample.revision >= change.revision);
            let Some(sample) = seen else {
                missing += 1;
                continue;
            };
            let wait = sample.at_ms.saturating_sub(change.at_ms);
            times.record(Duration::from_millis(wait));
            longest = longest.max(wait as f64);
        }
    }
    figures.add("list_changes", Better::Neither, Some(records.lists.len() as f64));
    figures.add("in_force_p50_ms", Better::Lower, times.quantile_ms(0.5));
    figures.add("in_force_p99_ms", Better::Lower, times.quantile_ms(0.99));
    figures.add("in_force_max_ms", Better::Lower, Some(longest));
    figures.add("never_in_force", Better::Lower, Some(missing as f64));
}

/// Adds the resource usage over the measurement window, with rates per node.
#[allow(clippy::cast_precision_loss)]
fn add_usage(input: &FigureInput<'_>, figures: &mut Figures) {
    let [first, .., last] = input.usage else { return };
    if last.controls.iter().all(|usage| usage.rss_bytes == 0) {
        return;
    }
    let seconds = last.at.duration_since(first.at).as_secs_f64();
    let nodes = input.entries as f64;
    let cpu = |sample: &[crate::probe::ProcessUsage]| sample.iter().map(|u| u.cpu_s).sum::<f64>();
    let control = (cpu(&last.controls) - cpu(&first.controls)) / seconds / nodes;
    let entry = (cpu(&last.entries) - cpu(&first.entries)) / seconds / nodes;
    let rss = last.controls.iter().map(|u| u.rss_bytes).max().unwrap_or(0);
    figures.add("control_cpu_cores", Better::Lower, Some(control));
    figures.add("control_rss_mib", Better::Lower, Some(rss as f64 / MIB));
    figures.add("entry_cpu_cores", Better::Neither, Some(entry));
    let rss = last.entries.iter().map(|u| u.rss_bytes).max().unwrap_or(0);
    figures.add("entry_rss_mib", Better::Neither, Some(rss as f64 / MIB));
    for (purpose, bytes) in &last.link_bytes {
        let before = first.link_bytes.get(purpose).copied().unwrap_or(0.0);
        let rate = (bytes - before) / seconds / nodes;
        figures.add(&format!("link_bytes_s_{purpose}"), Better::Lower, Some(rate));
    }
    if let (Some(first), Some(last)) = (&first.platform, &last.platform) {
        let rate = |from: u64, to: u64| Some(to.saturating_sub(from) as f64 / seconds);
        let writes = rate(first.transactions, last.transactions);
        figures.add("store_writes_s", Better::Lower, writes);
        figures.add("store_reads_s", Better::Lower, rate(first.reads, last.reads));
    }
}
