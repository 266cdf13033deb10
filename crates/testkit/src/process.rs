//! A child process: start, signals and exit.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Interval between checks for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts `binary` with stdout and stderr appended to the file `output`.
    ///
    /// # Errors
    /// When the binary can't be started.
    pub fn spawn(
        name: &str,
        binary: &Path,
        args: &[String],
        output: &Path,
    ) -> anyhow::Result<Self> {
        let file = File::options().create(true).append(true).open(output);
        let out = file.with_context(|| format!("can't open {}", output.display()))?;
        let err = out.try_clone().context("can't share the output file")?;
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .with_context(|| format!("can't start {}", binary.display()))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            output: output.to_owned(),
        })
    }

    /// Name of the process in the fleet.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The process's output so far.
    #[must_use]
    pub fn printed(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Exit status, if the process has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        // An error means that the process has exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGSTOP, which suspends the process until [`Process::thaw`].
    pub fn freeze(&mut self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Sends SIGCONT.
    pub fn thaw(&mut self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits up to `limit` for the exit of the process.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            if start.elapsed() > limit {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn signal(&mut self, signal: Signal) {
        // The pid of a child that was waited for may belong to another process.
        if self.ended().is_some() {
            return;
        }
        let pid = i32::try_from(self.child.id()).expect("a pid fits");
        // The child has not been waited for, so the pid is still its own.
        kill(Pid::from_raw(pid), signal).expect("a child can be signalled");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("---- {} printed:\n{}", self.name, self.printed());
        }
    }
}
