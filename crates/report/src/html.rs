//! Rendering of the report as one self-contained HTML page.

use std::error::Error;
use std::fmt::Write;

use crate::burn::{BurnReport, SubjectBurn, Verdict, WindowBurn};
use crate::outcome::REASONS;
use crate::plot::{colour_of, plot_misses};
use crate::text::{percent, reasons_of, title_of, window_name};

/// Style sheet of the page.
const STYLE: &str = "
body{font:15px/1.45 system-ui,sans-serif;color:#222;background:#fbfbf9;margin:2rem auto;max-width:66rem;padding:0 1rem}
h1{font-size:1.5rem;margin:0}h2{font-size:1.1rem;margin:0}
table{border-collapse:collapse;width:100%;margin:.6rem 0}
th,td{text-align:right;padding:.25rem .6rem;border-bottom:1px solid #e2e2de;font-variant-numeric:tabular-nums}
th:first-child,td:first-child,td.text,th.text{text-align:left}
section{background:#fff;border:1px solid #e2e2de;border-radius:6px;padding:1rem 1.2rem;margin:1.2rem 0}
.head{display:flex;justify-content:space-between;align-items:baseline;gap:1rem}
.badge{border-radius:4px;padding:.1rem .5rem;color:#fff;white-space:nowrap;font-size:.9rem}
.fast_burn{background:#9e2a2b}.slow_burn{background:#b8641b}.watch{background:#8a7a1f}.kept{background:#3f7d4b}.no_traffic{background:#777}
.note{color:#555;margin:.3rem 0}
.key span{display:inline-block;width:.8rem;height:.8rem;border-radius:2px;margin-right:.4rem;vertical-align:-.08rem}
svg{width:100%;height:auto}
th{white-space:nowrap;font-weight:600}td:first-child{white-space:nowrap}
.key{list-style:none;padding:0}
a{color:inherit}.wide{overflow-x:auto}th.group{text-align:center}th:first-child{vertical-align:bottom}.wide tr:nth-child(2) th{text-align:right}
";

/// Renders the report as one HTML page without external resources.
///
/// # Errors
///
/// The plotting library's error.
pub fn render_html(report: &BurnReport) -> Result<String, Box<dyn Error>> {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<p class=\"note\">Lists revision {}; {} instance(s), {} run(s); \
         newest counters {} s old.</p>\n",
        report.revision,
        report.instances,
        report.runs,
        report.age_ms / 1000
    );
    for gap in &report.gaps {
        let _ = writeln!(page, "<p class=\"note\">Not counted: {}</p>", escape(gap));
    }
    page.push_str(&overview(report));
    for (index, subject) in report.subjects.iter().enumerate() {
        page.push_str(&section(index, subject, report.now_ms)?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn overview(report: &BurnReport) -> String {
    if report.subjects.is_empty() {
        return "<p>No requests counted yet.</p>\n".to_owned();
    }
    let windows = &report.subjects[0].windows;
    let mut text = format!(
        "<div class=\"wide\"><table><tr><th rowspan=\"2\">plan and service</th>\
         <th class=\"text\" rowspan=\"2\">state</th><th rowspan=\"2\">objective</th>\
         <th rowspan=\"2\">budget left</th><th class=\"group\" colspan=\"{}\">burn over</th>\
         <th class=\"text\" rowspan=\"2\">mostly</th></tr>\n<tr>",
        windows.len()
    );
    for window in windows {
        let _ = write!(text, "<th>{}</th>", window_name(window.window_s));
    }
    text.push_str("</tr>\n");
    for (index, subject) in report.subjects.iter().enumerate() {
        let title = escape(&title_of(&subject.subject));
        let _ = write!(
            text,
            "<tr><td><a href=\"#s{index}\">{title}</a></td><td class=\"text\">{}</td><td>{}</td>\
             <td>{:.0}%</td>",
            badge(subject.verdict),
            percent(subject.objective),
            subject.budget_left * 100.0
        );
        for window in &subject.windows {
            let _ = write!(text, "<td>{:.1}</td>", window.burn);
        }
        let reason = subject.main_reason.map_or("", crate::outcome::Reason::name);
        let _ = writeln!(text, "<td class=\"text\">{reason}</td></tr>");
    }
    text.push_str("</table></div>\n<p class=\"note\">A burn rate of 1 consumes the error budget exactly over the window.");
    text.push_str(" Fast burn: act immediately. Slow burn: act within hours.</p>\n");
    text.push_str(&legend());
    text
}

fn legend() -> String {
    let mut text = "<ul class=\"note key\">".to_owned();
    for reason in REASONS {
        let (red, green, blue) = colour_of(reason);
        let _ = write!(
            text,
            "<li><span style=\"background:rgb({red},{green},{blue})\"></span>{}: {}</li>",
            reason.name(),
            reason.meaning()
        );
    }
    text.push_str("</ul>\n");
    text
}

fn section(index: usize, burn: &SubjectBurn, now_ms: u64) -> Result<String, Box<dyn Error>> {
    let mut text = format!(
        "<section id=\"s{index}\"><div class=\"head\"><h2>{}</h2>{}</div>\n\
         <p class=\"note\">Objective {}, budget left {:.0}% of the longest window{}.</p>\n",
        escape(&title_of(&burn.subject)),
        badge(burn.verdict),
        percent(burn.objective),
        burn.budget_left * 100.0,
        burn.main_reason.map_or(String::new(), |reason| {
            format!("; main reason for misses <b>{}</b>: {}", reason.name(), reason.meaning())
        })
    );
    text.push_str(
        "<table><tr><th>window</th><th>requests</th><th>missed</th><th>burn</th>\
         <th class=\"text\">misses by reason</th></tr>\n",
    );
    for window in &burn.windows {
        text.push_str(&window_row(window));
    }
    text.push_str("</table>\n<p class=\"note\">Share of requests that missed the objective; the line marks the share that it allows.</p>\n");
    text.push_str(&plot_misses(burn, now_ms)?);
    text.push_str("</section>\n");
    Ok(text)
}

fn window_row(window: &WindowBurn) -> String {
    format!(
        "<tr><td>{}</td><td>{:.0}</td><td>{}</td><td>{:.1}</td><td class=\"text\">{}</td></tr>\n",
        window_name(window.window_s),
        window.requests,
        percent(window.miss_share),
        window.burn,
        reasons_of(window)
    )
}

fn badge(verdict: Verdict) -> String {
    let name = verdict.name();
    format!("<span class=\"badge {}\">{name}</span>", name.replace(' ', "_"))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
