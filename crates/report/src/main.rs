//! Command line of the burn rate report.

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agatestair_report::{
    BurnReport, BurnSettings, Series, Verdict, burn_report, collect, render_html, render_text,
};
use agatestair_schema::SETTINGS_SCHEMA;
use agatestair_schema::settings::CtlSettings;
use agatestair_settings::{Definition, read_file};
use agatestair_store::PlatformClient;

/// Exit code if a plan or service is in fast or slow burn.
const EXIT_BURNING: u8 = 2;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Report of error budget burn rates per plan and service.
        ///
        /// Exit codes: 0 no fast or slow burn, 1 the report could not be computed, 2 at least one
        /// plan or service is in fast or slow burn.
        cmd agatestair-report {
            /// Settings file of agatestairctl, with the address of the platform.
            required --config file: PathBuf
            /// Window lengths in ascending order (default 5m,1h,6h,3d).
            optional --windows list: String
            /// Print JSON instead of text.
            optional --json
            /// Also write the report to a self-contained HTML page.
            optional --html file: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::AgatestairReport::from_env_or_exit();
    match make_report(&flags) {
        Ok(report) => print_report(&flags, &report),
        Err(failure) => report_failure(&failure),
    }
}

fn report_failure(failure: &str) -> ExitCode {
    eprintln!("agatestair-report: {failure}");
    ExitCode::FAILURE
}

fn make_report(flags: &flags::AgatestairReport) -> Result<BurnReport, String> {
    let windows = flags.windows.as_deref().map(parse_windows).transpose()?;
    let definition = Definition { schema: SETTINGS_SCHEMA, name: "CtlSettings" };
    let settings = read_file::<CtlSettings>(&flags.config, definition);
    let settings = settings.map_err(|error| error.to_string())?.value;
    let platform = PlatformClient::new(&settings.platform);
    let collected = collect(&platform).map_err(|error| error.to_string())?;
    let defaults = BurnSettings { now_ms: unix_ms(), ..BurnSettings::default() };
    let windows = windows.unwrap_or(defaults.windows);
    let settings = BurnSettings { windows, now_ms: defaults.now_ms };
    let series = Series::merge(&collected.snapshots);
    let report = burn_report(&series, &collected.lists, &settings);
    Ok(BurnReport { gaps: collected.gaps, ..report })
}

fn print_report(flags: &flags::AgatestairReport, report: &BurnReport) -> ExitCode {
    if let Some(path) = &flags.html
        && let Err(failure) = write_page(path, report)
    {
        return report_failure(&failure);
    }
    if flags.json {
        match serde_json::to_string_pretty(report) {
            Ok(text) => println!("{text}"),
            Err(error) => return report_failure(&error.to_string()),
        }
    } else {
        print!("{}", render_text(report));
    }
    let burns = |verdict| matches!(verdict, Verdict::FastBurn | Verdict::SlowBurn);
    let burning = report.subjects.iter().any(|subject| burns(subject.verdict));
    if burning { ExitCode::from(EXIT_BURNING) } else { ExitCode::SUCCESS }
}

fn write_page(path: &Path, report: &BurnReport) -> Result<(), String> {
    let page = render_html(report).map_err(|error| error.to_string())?;
    fs::write(path, page)
        .map_err(|error| format!("cannot write {}: {error}; use a writable file", path.display()))
}

/// Parses a list of windows such as `5m,1h`, which must be in ascending order.
fn parse_windows(text: &str) -> Result<Vec<Duration>, String> {
    let windows: Vec<Duration> = text.split(',').map(parse_window).collect::<Result<_, _>>()?;
    if windows.is_sorted_by(|a, b| a < b) {
        return Ok(windows);
    }
    Err(format!("`{text}`: windows must be in ascending order, for example 5m,1h,6h,3d"))
}

fn parse_window(text: &str) -> Result<Duration, String> {
    let invalid = || format!("invalid window `{text}`; use a number with s, m, h or d, such as 5m");
    let text = text.trim();
    let unit = text.chars().last().ok_or_else(invalid)?;
    let seconds = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3600,
        'd' => 86_400,
        _ => return Err(invalid()),
    };
    let count: u64 = text[..text.len() - 1].parse().map_err(|_| invalid())?;
    let seconds = count.checked_mul(seconds).filter(|seconds| *seconds > 0).ok_or_else(invalid)?;
    Ok(Duration::from_secs(seconds))
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
