//! Child processes that are killed when their owner ends.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::TestbedError;
use crate::reaper;

/// Number of bytes from the end of a log that errors include.
const LOG_TAIL_BYTES: usize = 2000;
/// Polling interval while waiting for a process to exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Command line and log file of a child process.
#[derive(Clone, Debug)]
pub struct ChildCommand {
    /// Name of the process and, with `.log` appended, of its log file.
    pub name: String,
    /// Path of the binary.
    pub program: PathBuf,
    /// Command-line arguments.
    pub args: Vec<String>,
    /// Folder of the log file.
    pub folder: PathBuf,
    /// Whether standard output goes to the log file too, instead of being discarded.
    pub logs_output: bool,
}

/// A running process; dropping it kills it.
pub struct ChildProcess {
    command: ChildCommand,
    id: u32,
    child: Mutex<Child>,
}

impl ChildProcess {
    /// Starts the process and appends its standard error to `{name}.log`.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NoBinary`] if the binary does not exist, [`TestbedError::Io`] if the process
    /// or its log cannot be created.
    pub fn start(command: ChildCommand) -> Result<Self, TestbedError> {
        if !command.program.exists() {
            return Err(TestbedError::NoBinary(command.program));
        }
        let path = log_path(&command);
        let log = File::options().create(true).append(true).open(&path);
        let log = log.map_err(|cause| TestbedError::io(path.display().to_string(), cause))?;
        let output =
            if command.logs_output { log.try_clone().map(Stdio::from) } else { Ok(Stdio::null()) };
        let output = output.map_err(|cause| TestbedError::io(path.display().to_string(), cause))?;
        let child = Command::new(&command.program)
            .args(&command.args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .map_err(|cause| TestbedError::io(command.program.display().to_string(), cause))?;
        let id = child.id();
        reaper::add(id);
        Ok(Self { command, id, child: Mutex::new(child) })
    }

    fn lock(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The command that started it.
    pub fn command(&self) -> &ChildCommand {
        &self.command
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.id).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may have exited already. It stays a zombie until it is waited for, so the
            // id still refers to it.
            let _ = kill_process(pid, signal);
        }
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends it with `SIGSTOP` until [`ChildProcess::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes it with `SIGCONT` after [`ChildProcess::pause`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Whether it has exited.
    pub fn has_ended(&self) -> bool {
        !matches!(self.lock().try_wait(), Ok(None))
    }

    /// Waits until it exits; `None` if it is still running after `timeout`.
    pub fn wait_exit(&self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.lock().try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Kills it with `SIGKILL` and waits until it has exited.
    pub fn kill(&self) {
        let mut child = self.lock();
        // The process may have exited already.
        let _ = child.kill();
        let _ = child.wait();
        reaper::remove(self.id);
    }

    /// End of its log, for error messages.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read(log_path(&self.command)).unwrap_or_default();
        let start = text.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&text[start..]).into_owned()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn log_path(command: &ChildCommand) -> PathBuf {
    command.folder.join(format!("{}.log", command.name))
}

/// Builds all binaries of the workspace, for tests.
///
/// Runs the cargo that started the test, from the variable `CARGO`; does nothing without it.
///
/// # Errors
///
/// [`TestbedError::Io`] if the build cannot be run or fails.
pub fn build_binaries() -> Result<(), TestbedError> {
    let Some(cargo) = std::env::var_os("CARGO") else {
        return Ok(());
    };
    let status = Command::new(cargo).args(["build", "--quiet", "--workspace", "--bins"]).status();
    let status = status.map_err(|cause| TestbedError::io("cargo build", cause))?;
    let failed = || TestbedError::io("cargo build", std::io::Error::other("the build failed"));
    status.success().then_some(()).ok_or_else(failed)
}

/// Folder of the workspace's binaries: that of the current binary, or its parent for a test.
///
/// # Errors
///
/// [`TestbedError::Io`] if the path of the current binary is not known.
pub fn binary_folder() -> Result<PathBuf, TestbedError> {
    let current = std::env::current_exe();
    let current = current.map_err(|cause| TestbedError::io("path of this binary", cause))?;
    let folder = current.parent().unwrap_or(Path::new("."));
    let is_test = folder.file_name().is_some_and(|name| name == "deps" || name == "examples");
    let folder = if is_test { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.to_owned())
}
