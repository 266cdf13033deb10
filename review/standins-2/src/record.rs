//! The record of a run: a line for everything that was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::Instant;

/// Lines with the time since the start of the scenario.
pub struct Record {
    file: File,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: File::create(path)?,
            start: Instant::now(),
        })
    }

    /// Writes a line, to the file and to standard output.
    pub fn note(&mut self, text: String) {
        let line = format!("{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        let _written = writeln!(self.file, "{line}");
    }

    /// Adds a file's lines below a title.
    pub fn append(&mut self, title: &str, path: &Path) {
        let _written = writeln!(self.file, "\n{title}");
        let lines = std::fs::read_to_string(path).unwrap_or_default();
        let _written = self.file.write_all(lines.as_bytes());
        let _written = writeln!(self.file);
    }
}
