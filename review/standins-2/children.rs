//! Processes of a case: the front and the runners.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::wait;

/// A process that ends with its owner.
pub struct Process(Child);

impl Process {
    /// Starts a process that is killed if this one ends without ending it.
    fn spawn(command: &mut Command) -> Self {
        unsafe extern "C" {
            fn prctl(option: i32, ...) -> i32;
        }
        const SET_PARENT_DEATH_SIGNAL: i32 = 1;
        const KILL: u64 = 9;
        let prepare = || {
            // SAFETY: the call changes nothing but a property of the new process.
            unsafe { prctl(SET_PARENT_DEATH_SIGNAL, KILL) };
            Ok(())
        };
        // SAFETY: `prepare` only makes a system call.
        let command = unsafe { command.pre_exec(prepare) };
        Self(command.spawn().expect("the program is built"))
    }

    /// Writes a line to its standard input.
    pub fn tell(&mut self, line: &str) {
        let input = self.0.stdin.as_mut().expect("runners have an input");
        writeln!(input, "{line}").expect("the process reads its input");
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        const HANGUP: i32 = 1;
        let id = i32::try_from(self.0.id()).expect("process ids fit into an i32");
        // SAFETY: the process is a child that was not waited for, so that its id is its own.
        assert!(unsafe { kill(id, HANGUP) } == 0, "the signal was not sent");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }

    /// Resident memory in kilobytes; 0 once the process has ended.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set").as_millis()
}

/// An address that no process uses, below the ports that the kernel gives to outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let own = std::process::id().wrapping_mul(97).wrapping_add(unix_ms() as u32 & 0xff);
        let number = own.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + (number % 20_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Opens the record for a process that appends to it.
pub fn append(record: &Path) -> File {
    OpenOptions::new().append(true).create(true).open(record).expect("the folder is writable")
}

/// A runner process.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    /// Time of its start.
    pub born: u128,
    pub process: Process,
}

impl Runner {
    /// Starts a runner of a kind, which writes to the record what it runs.
    pub fn start(kind: &str, id: &str, record: &Path) -> Self {
        Self::start_with(&[kind], id, record)
    }

    /// Starts a runner of a kind with options.
    pub fn start_with(kind: &[&str], id: &str, record: &Path) -> Self {
        let (address, born) = (free_address(), unix_ms());
        let program = std::env::current_exe().expect("the program is a file");
        let process = Process::spawn(
            Command::new(program)
                .args(kind)
                .args([id, &address.to_string()])
                .stdin(Stdio::piped())
                .stdout(Stdio::from(append(record))),
        );
        let runner = Self { id: id.to_owned(), address, born, process };
        let listens = || std::net::TcpStream::connect(address).is_ok();
        assert!(wait(Duration::from_secs(5), listens), "the runner does not listen");
        runner
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, state: &str, more: &str) -> String {
        self.entry_at(self.address, service, state, more)
    }

    /// Like [`Runner::entry`], with the address by which it is reached.
    pub fn entry_at(&self, address: SocketAddr, service: &str, state: &str, more: &str) -> String {
        let born = self.born;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":24,\"state\":\"{state}\",\"coldLeftMs\":0,\"seqNo\":0,\"born\":{born}{more}}}"
        )
    }
}

/// A front process.
pub struct Front {
    pub callers: SocketAddr,
    pub metrics: SocketAddr,
    pub process: Process,
    folder: PathBuf,
}

impl Front {
    /// Starts the program of the deploy file with settings like those of a small deployment.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        Self::start_on(name, store, 260)
    }

    /// Like [`Front::start`], on a machine with this much memory.
    pub fn start_on(name: &str, store: SocketAddr, memory_mb: u64) -> Self {
        let [callers, ready, directory, peers, metrics] = std::array::from_fn(|_| free_address());
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
        let settings = format!(
            "{{\"instance\":{{\"name\":\"{name}\",\"region\":\"r\",\"domain\":\"a\"}},\"bootstrap\":true,\
             \"listen\":{{\"callers\":\"{callers}\",\"ready\":\"{ready}\",\"directory\":\"{directory}\",\
             \"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\"store\":{{\"address\":\"{store}\"}},\
             \"machine\":{{\"cpu_share\":0.25,\"link_mbps\":1000,\"memory_mb\":{memory_mb},\"max_files\":4100}},\
             \"bounds\":{{\"grace_s\":8,\"contact_ms\":3000,\"answer_s\":5,\"retry_ratio\":0.2,\
             \"retry_window_s\":10,\"retry_slack\":54,\"lease_ms\":3000}}}}"
        );
        let file = folder.join("settings.jsonc");
        std::fs::write(&file, settings).expect("the folder is writable");
        let log = File::create(folder.join("front.log")).expect("the folder is writable");
        let process = Process::spawn(
            Command::new("target/release/agatestair-front")
                .env("AGATESTAIR_CONFIG", &file)
                .stdout(Stdio::null())
                .stderr(log),
        );
        Self { callers, metrics, process, folder }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.process.kill();
        drop(std::fs::remove_dir_all(&self.folder));
    }
}
