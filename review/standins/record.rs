//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of one run; clones write the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    /// Opens `record.txt` in a folder.
    pub fn open(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), begun: Instant::now() })
    }

    /// Adds a line with the time since the start, in seconds.
    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Adds a line that also goes to the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
