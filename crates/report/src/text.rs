//! Rendering of the report as text.

use std::fmt::Write;

use crate::burn::{BurnReport, SubjectBurn, WindowBurn};
use crate::series::Subject;

/// Seconds in a minute, an hour and a day.
const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 60 * MINUTE_S;
const DAY_S: u64 = 24 * HOUR_S;

/// Smallest count of misses to show; fractions arise where a window cuts a sampling interval.
const MIN_SHOWN: f64 = 0.5;

/// Renders the report as text for a terminal.
pub fn render_text(report: &BurnReport) -> String {
    let mut text = format!(
        "service-level burn at lists revision {}: {} instance(s), {} run(s), newest counters {} s old\n",
        report.revision,
        report.instances,
        report.runs,
        report.age_ms / 1000
    );
    for gap in &report.gaps {
        let _ = writeln!(text, "not counted: {gap}");
    }
    if report.subjects.is_empty() {
        text.push_str("no requests counted yet\n");
    }
    for subject in &report.subjects {
        text.push('\n');
        text.push_str(&render_subject(subject));
    }
    text
}

fn render_subject(burn: &SubjectBurn) -> String {
    let mut text = format!(
        "{}: {}, objective {}, budget left {:.0}%",
        title_of(&burn.subject),
        burn.verdict.name(),
        percent(burn.objective),
        burn.budget_left * 100.0
    );
    if let Some(reason) = burn.main_reason {
        let _ = write!(text, ", mostly {} ({})", reason.name(), reason.meaning());
    }
    let _ = writeln!(
        text,
        "\n  {:>6} {:>10} {:>9} {:>7}  misses",
        "window", "requests", "missed", "burn"
    );
    for window in &burn.windows {
        let _ = writeln!(
            text,
            "  {:>6} {:>10.0} {:>9} {:>7.1}  {}",
            window_name(window.window_s),
            window.requests,
            percent(window.miss_share),
            window.burn,
            reasons_of(window)
        );
    }
    text
}

/// Title of a subject.
pub fn title_of(subject: &Subject) -> String {
    let kind = if subject.calls { "calls" } else { "completions" };
    format!("{} at {} ({kind})", subject.plan, subject.service)
}

/// Misses of a window by reason, in one line.
pub fn reasons_of(window: &WindowBurn) -> String {
    let parts: Vec<String> = window
        .reasons
        .iter()
        .filter(|count| count.misses >= MIN_SHOWN)
        .map(|count| format!("{} {:.0}", count.reason.name(), count.misses))
        .collect();
    if parts.is_empty() { "none".to_owned() } else { parts.join(", ") }
}

/// Length of a window in its largest whole unit, such as `5 min`.
pub fn window_name(seconds: u64) -> String {
    match seconds {
        days if days >= DAY_S && days % DAY_S == 0 => format!("{} d", days / DAY_S),
        hours if hours >= HOUR_S && hours % HOUR_S == 0 => format!("{} h", hours / HOUR_S),
        minutes if minutes >= MINUTE_S && minutes % MINUTE_S == 0 => {
            format!("{} min", minutes / MINUTE_S)
        }
        seconds => format!("{seconds} s"),
    }
}

/// Formats a share as a percentage with at most two decimals.
pub fn percent(share: f64) -> String {
    let percent = share * 100.0;
    let text = format!("{percent:.2}");
    let text = text.trim_end_matches('0').trim_end_matches('.');
    format!("{text}%")
}
