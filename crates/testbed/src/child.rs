//! Child processes that end with their owner.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::TestbedError;
use crate::reaper;

/// Bytes of a log shown in an error.
const LOG_TAIL: usize = 2000;
/// Time between two looks at a process.
const EXIT_POLL: Duration = Duration::from_millis(5);

/// How a process is started.
#[derive(Clone, Debug)]
pub struct ChildCommand {
    /// Name, used for the log file.
    pub name: String,
    /// Binary.
    pub program: PathBuf,
    /// Arguments.
    pub args: Vec<String>,
    /// Folder of the log file.
    pub folder: PathBuf,
    /// Whether the standard output goes to the log file too.
    pub logs_output: bool,
}

/// A running process; dropping it kills it.
pub struct ChildProcess {
    command: ChildCommand,
    id: u32,
    child: Mutex<Child>,
}

impl ChildProcess {
    /// Starts the process. Its log goes to `{name}.log`, after what an earlier run wrote there.
    ///
    /// # Errors
    ///
    /// [`TestbedError::NoBinary`] or [`TestbedError::Io`].
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

    /// How it was started.
    pub fn command(&self) -> &ChildCommand {
        &self.command
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.id).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // A process that has ended needs no signal; it is not reaped before its owner drops.
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks it to end in order.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops it until [`ChildProcess::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on after [`ChildProcess::pause`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.lock().try_wait(), Ok(None))
    }

    /// Waits for its end; `None` if it still runs after `time`.
    pub fn wait_exit(&self, time: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + time;
        loop {
            if let Ok(Some(status)) = self.lock().try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(EXIT_POLL);
        }
    }

    /// Ends it at once.
    pub fn kill(&self) {
        let mut child = self.lock();
        // A process that has ended already needs no signal.
        let _ = child.kill();
        let _ = child.wait();
        reaper::remove(self.id);
    }

    /// End of its log.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read(log_path(&self.command)).unwrap_or_default();
        let start = text.len().saturating_sub(LOG_TAIL);
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

/// Builds all binaries of the workspace, for tests; cargo names itself in the environment.
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

/// Folder of the binaries: beside the current one, or above it for a test.
///
/// # Errors
///
/// [`TestbedError::Io`] if the path of the current binary is not known.
pub fn binary_folder() -> Result<PathBuf, TestbedError> {
    let current = std::env::current_exe();
    let current = current.map_err(|cause| TestbedError::io("path of this binary", cause))?;
    let folder = current.parent().unwrap_or(Path::new("."));
    let tests = folder.file_name().is_some_and(|name| name == "deps" || name == "examples");
    let folder = if tests { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.to_owned())
}
