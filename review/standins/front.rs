//! Starts the project's program as the deploy file says, with settings of a small deployment.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::children;
use crate::client::Client;

/// Command of the role in the deploy file.
const COMMAND: &str = "target/release/agatestair-front";

/// Memory that a process may use, in megabytes.
const MEMORY_MB: u64 = 260;

/// Longest time until a process is ready.
const START: Duration = Duration::from_secs(10);

/// A process of the system, ended on drop.
pub struct Front {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: String,
    errors: String,
    child: Child,
}

impl Front {
    /// Starts a process and waits until it is ready.
    pub fn start(name: &str, store: SocketAddr) -> Result<Self, String> {
        // All ports are reserved at the same time, so that they differ.
        let reserved: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free")).collect();
        let [callers, ready, directory, peers, metrics] = std::array::from_fn(|index| {
            reserved[index].local_addr().expect("the listener is bound")
        });
        drop(reserved);
        let folder = std::env::temp_dir();
        let file = format!("{}/{name}-{}", folder.display(), callers.port());
        let settings = format!("{file}.jsonc");
        let text = format!(
            r#"{{
  "instance": {{ "name": "{name}", "region": "r", "domain": "a" }},
  "bootstrap": true,
  "listen": {{
    "callers": "{callers}", "ready": "{ready}", "directory": "{directory}",
    "peers": "{peers}", "metrics": "{metrics}"
  }},
  "store": {{ "address": "{store}" }},
  "machine": {{ "cpu_share": 0.25, "link_mbps": 1000.0, "memory_mb": {MEMORY_MB}, "max_files": 4100 }},
  "bounds": {{
    "grace_s": 8, "contact_ms": 3000, "answer_s": 5,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58
  }}
}}"#
        );
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let errors = format!("{file}.err");
        let child = spawn(&settings, &errors)?;
        let front = Self { name: name.to_owned(), callers, ready, settings, errors, child };
        front.wait_ready()?;
        Ok(front)
    }

    /// Asks the process to stop, as the platform does.
    pub fn terminate(&mut self) -> Result<(), String> {
        // `kill` is part of every shell.
        let command = format!("kill -TERM {}", self.child.id());
        match Command::new("sh").args(["-c", &command]).status() {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("cannot send SIGTERM: {other:?}")),
        }
    }

    /// Ends the process at once.
    fn kill(&mut self) {
        children::end(&mut self.child);
    }

    /// Number of lines on standard error that hold a text.
    pub fn errors_with(&self, text: &str) -> usize {
        let errors = std::fs::read_to_string(&self.errors).unwrap_or_default();
        errors.lines().filter(|line| line.contains(text)).count()
    }

    fn wait_ready(&self) -> Result<(), String> {
        let begun = Instant::now();
        while begun.elapsed() < START {
            let client = Client { address: self.ready, ..Client::default() };
            if client.get("/api/ready").is_ok_and(|response| response.status == 200) {
                return Ok(());
            }
            sleep(Duration::from_millis(20));
        }
        Err(format!("{} is not ready", self.name))
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
        drop(std::fs::remove_file(&self.settings));
        drop(std::fs::remove_file(&self.errors));
    }
}

fn spawn(settings: &str, errors: &str) -> Result<Child, String> {
    let errors = File::create(errors).map_err(|error| error.to_string())?;
    let child = Command::new(COMMAND)
        .env("AGATESTAIR_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(errors)
        .spawn();
    child
        .inspect(children::note)
        .map_err(|error| format!("{COMMAND}: {error}; run the build of the deploy file"))
}
