//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start of the scenario.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &str) -> Result<Self, String> {
        let file =
            File::create(format!("{folder}/record.txt")).map_err(|error| error.to_string())?;
        Ok(Self { file: Arc::new(Mutex::new(file)), begun: Instant::now() })
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let time = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{time:9.3} s  {}", text.as_ref()).expect("the folder is writable");
    }
}
