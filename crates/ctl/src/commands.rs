//! Implementation of the commands.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use agatestair_ctl::{
    CtlError, Difference, ListFiles, OperatorClient, Output, StatusClient, WaitCondition,
    compare_lists, hash_key, read_lists,
};
use agatestair_schema::lists::{Lists, WishState};
use agatestair_schema::settings::CtlSettings;
use agatestair_schema::status::StatusReport;
use agatestair_settings::SettingsError;
use serde::Serialize;
use serde_json::json;

use crate::flags::{Agatestairctl, AgatestairctlCmd, Apply, EndpointCmd, Get, Rollback};
use crate::load_settings;

/// Timeout of a wait if `--patience` is not given.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Refresh interval of `status --watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the command that the arguments select.
///
/// # Errors
///
/// [`CtlError`] if the command fails.
pub fn run(flags: &Agatestairctl, output: Output) -> Result<(), CtlError> {
    match &flags.subcommand {
        AgatestairctlCmd::Check(files) => check(&files.plans, &files.allowances, output),
        AgatestairctlCmd::Key(_) => print_key(output),
        _ => Session::open(flags, output)?.run(&flags.subcommand),
    }
}

/// Clients of a deployment's table service and control processes.
struct Session {
    operator: OperatorClient,
    status: StatusClient,
    output: Output,
}

impl Session {
    fn open(flags: &Agatestairctl, output: Output) -> Result<Self, CtlError> {
        let settings: CtlSettings = load_settings(flags.config.as_deref())?;
        Ok(Self {
            operator: OperatorClient::new(&settings),
            status: StatusClient::new(&settings),
            output,
        })
    }

    fn run(&self, command: &AgatestairctlCmd) -> Result<(), CtlError> {
        match command {
            AgatestairctlCmd::Diff(files) => {
                let files = read_lists(&files.plans, &files.allowances)?;
                self.diff(&files)
            }
            AgatestairctlCmd::Apply(flags) => self.apply(flags),
            AgatestairctlCmd::Get(flags) => self.get(flags),
            AgatestairctlCmd::History(_) => self.history(),
            AgatestairctlCmd::Rollback(flags) => self.rollback(flags),
            AgatestairctlCmd::Endpoint(flags) => self.endpoint(&flags.subcommand),
            AgatestairctlCmd::Status(flags) => self.show_status(flags.watch),
            AgatestairctlCmd::Wait(flags) => {
                self.wait(&WaitCondition::Revision(flags.revision), flags.patience)
            }
            AgatestairctlCmd::Check(_) | AgatestairctlCmd::Key(_) => Ok(()),
        }
    }

    fn differences(&self, files: &ListFiles) -> Result<(u64, Vec<Difference>), CtlError> {
        let after = (&files.plans.value, &files.allowances.value);
        let current = self.operator.current_lists()?;
        let empty = Lists {
            allowances: empty_list(),
            applied_ms: 0,
            operator: String::new(),
            plans: empty_list(),
            revision: 0,
        };
        let lists = current.map_or(empty, |(lists, _)| lists);
        Ok((lists.revision, compare_lists((&lists.plans, &lists.allowances), after)))
    }

    fn diff(&self, files: &ListFiles) -> Result<(), CtlError> {
        let (revision, differences) = self.differences(files)?;
        let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
        let text = if lines.is_empty() {
            format!("no differences from revision {revision}")
        } else {
            format!("differences from revision {revision}:\n{}", lines.join("\n"))
        };
        self.output.print(&json!({"revision": revision, "differences": differences}), &text);
        Ok(())
    }

    fn apply(&self, flags: &Apply) -> Result<(), CtlError> {
        let files = read_lists(&flags.plans, &flags.allowances)?;
        if flags.dry_run {
            return self.diff(&files);
        }
        let ListFiles { plans, allowances } = files;
        let lists = self.operator.apply(plans.value, allowances.value, flags.on, "apply")?;
        self.report_accepted(&lists, flags.wait, flags.patience)
    }

    fn report_accepted(
        &self,
        lists: &Lists,
        wait: bool,
        timeout_s: Option<u64>,
    ) -> Result<(), CtlError> {
        let revision = lists.revision;
        if wait {
            self.output.progress(&format!("revision {revision} accepted"));
            return self.wait(&WaitCondition::Revision(revision), timeout_s);
        }
        let text = format!("revision {revision} accepted");
        self.output.print(&json!({"accepted": true, "revision": revision}), &text);
        Ok(())
    }

    fn get(&self, flags: &Get) -> Result<(), CtlError> {
        let lists = match flags.revision {
            Some(revision) => self.operator.revision(revision)?,
            None => {
                let current = self.operator.current_lists()?;
                current.map(|(lists, _)| lists).ok_or_else(|| CtlError::Missing {
                    what: "a revision of the lists".to_owned(),
                    remedy: "create one with `agatestairctl apply`".to_owned(),
                })?
            }
        };
        if let Some(directory) = &flags.into {
            write_list(directory, "plans.jsonc", &lists.plans)?;
            write_list(directory, "allowances.jsonc", &lists.allowances)?;
            let text = format!("revision {} written to {}", lists.revision, directory.display());
            self.output.print(&json!({"revision": lists.revision}), &text);
            return Ok(());
        }
        let text = serde_json::to_string_pretty(&lists).expect("wire types have string keys");
        self.output.print(&lists, &text);
        Ok(())
    }

    fn history(&self) -> Result<(), CtlError> {
        let history = self.operator.history()?;
        let lines: Vec<String> = history
            .iter()
            .map(|row| {
                format!("{:>6}  {}  {}  {}", row.revision, row.applied_ms, row.operator, row.cause)
            })
            .collect();
        self.output.print(&json!({"history": history}), &lines.join("\n"));
        Ok(())
    }

    fn rollback(&self, flags: &Rollback) -> Result<(), CtlError> {
        let old = self.operator.revision(flags.revision)?;
        let cause = format!("rollback to {}", flags.revision);
        let lists = self.operator.apply(old.plans, old.allowances, flags.on, &cause)?;
        self.report_accepted(&lists, flags.wait, flags.patience)
    }

    fn endpoint(&self, command: &EndpointCmd) -> Result<(), CtlError> {
        let (name, state, successor, wait, timeout_s) = match command {
            EndpointCmd::Drain(f) => (&f.name, WishState::Drain, None, f.wait, f.patience),
            EndpointCmd::Replace(f) => {
                (&f.name, WishState::Replace, Some(f.by.clone()), f.wait, f.patience)
            }
            EndpointCmd::Withdraw(f) => (&f.name, WishState::Withdraw, None, f.wait, f.patience),
            EndpointCmd::Undo(f) => (&f.name, WishState::Serve, None, f.wait, f.patience),
        };
        let wish = self.operator.set_wish(name, state, successor)?;
        if !wait {
            self.output.print(&wish, &format!("{name}: {state} accepted"));
            return Ok(());
        }
        self.output.progress(&format!("{name}: {state} accepted"));
        let reached = match state {
            WishState::Serve => "serving",
            WishState::Drain => "draining",
            WishState::Replace | WishState::Withdraw => "withdrawn",
        };
        let condition = WaitCondition::State { endpoint: name.clone(), state: reached.to_owned() };
        self.wait(&condition, timeout_s)
    }

    fn wait(&self, condition: &WaitCondition, timeout_s: Option<u64>) -> Result<(), CtlError> {
        let timeout = timeout_s.map_or(DEFAULT_TIMEOUT, Duration::from_secs);
        let report = self.status.wait(condition, timeout, |_, pending| {
            self.output.progress(&format!("waiting for: {}", pending.join(", ")));
        })?;
        let names: Vec<&str> =
            report.instances.iter().map(|instance| instance.name.as_str()).collect();
        let text = match condition {
            WaitCondition::Revision(revision) => {
                format!("revision {revision} applied on {}", names.join(", "))
            }
            WaitCondition::State { endpoint, state } => format!("{endpoint}: {state}"),
        };
        self.output.print(&json!({"reached": true, "instances": names}), &text);
        Ok(())
    }

    fn show_status(&self, watch: bool) -> Result<(), CtlError> {
        loop {
            let report = self.status.status()?;
            self.output.print(&report, &status_text(&report));
            if !watch {
                return Ok(());
            }
            thread::sleep(WATCH_INTERVAL);
        }
    }
}

fn check(plans: &Path, allowances: &Path, output: Output) -> Result<(), CtlError> {
    read_lists(plans, allowances)?;
    output.print(&json!({"faults": 0}), "no errors");
    Ok(())
}

fn print_key(output: Output) -> Result<(), CtlError> {
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    let key = key.trim();
    if read.is_err() || key.is_empty() {
        return Err(CtlError::Missing {
            what: "an API key on standard input".to_owned(),
            remedy: "run `agatestairctl key < FILE`".to_owned(),
        });
    }
    let hash = hash_key(key);
    output.print(&json!({"hash": hash}), &hash);
    Ok(())
}

fn write_list<T: Serialize>(directory: &Path, name: &str, list: &T) -> Result<(), CtlError> {
    let path: PathBuf = directory.join(name);
    let text = serde_json::to_string_pretty(list).expect("wire types have string keys");
    fs::write(&path, text + "\n").map_err(|error| {
        let file = path.display().to_string();
        CtlError::Settings(SettingsError::Unreadable { file, cause: error.to_string() })
    })
}

fn empty_list<T: serde::de::DeserializeOwned>() -> T {
    let empty = json!({"plans": [], "customers": []});
    serde_json::from_value(empty)
        .or_else(|_| serde_json::from_value(json!({"allowances": [], "services": []})))
        .expect("the schema allows empty lists")
}

fn status_text(report: &StatusReport) -> String {
    let mut lines = vec![format!(
        "as known by {}: revision {}, {}, lists confirmed {} ms ago, last store response {} ms ago",
        report.instance,
        report.revision,
        if report.fresh { "fresh" } else { "not fresh" },
        report.lists_age,
        report.store_age
    )];
    lines.push("INSTANCE  DOMAIN  PRESENCE  LISTED  REVISION  OPEN  AGE".to_owned());
    lines.extend(report.instances.iter().map(|i| {
        let listed = if i.listed.is_empty() { "-" } else { &i.listed };
        let age = age_text(i.age_ms);
        format!(
            "{}  {}  {}  {listed}  {}  {}  {age}",
            i.name, i.domain, i.presence, i.revision, i.open
        )
    }));
    lines.push(
        "ENDPOINT  SERVICE  DOMAIN  STATE  WISH  ROLE  ACTIVE  QUEUED  ORDER  AGE".to_owned(),
    );
    lines.extend(report.endpoints.iter().map(|e| {
        let order = if e.order.is_empty() { "-" } else { &e.order };
        format!(
            "{}  {}  {}  {}  {}  {}{}  {}  {}  {order}  {}",
            e.name,
            e.service,
            e.domain,
            e.state,
            e.wish,
            e.role,
            if e.changing { "*" } else { "" },
            e.active,
            e.queued,
            age_text(e.age_ms)
        )
    }));
    lines.push("SHARD  HOLDER  EPOCH  FENCING  FORMER  AGE".to_owned());
    lines.extend(report.leases.iter().map(|l| {
        let holder = if l.holder.is_empty() { "-" } else { &l.holder };
        let age = age_text(l.age_ms);
        format!("{}  {holder}  {}  {}  {}  {age}", l.shard, l.epoch, l.fencing, l.former)
    }));
    lines.join("\n")
}

fn age_text(age_ms: u64) -> String {
    if age_ms == u64::MAX { "never".to_owned() } else { format!("{age_ms} ms") }
}
