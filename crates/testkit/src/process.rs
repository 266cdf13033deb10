//! One child process: start, signals, end.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// How often an ending process is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// A child process; killed by its pid when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts `binary`; what it prints goes to the file `output`.
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

    /// Name in the fleet.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What the process has printed until now.
    #[must_use]
    pub fn printed(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) {
        // An error means that it has ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// SIGTERM.
    pub fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// SIGSTOP: the process stands still until [`Process::thaw`].
    pub fn freeze(&mut self) {
        self.signal(Signal::SIGSTOP);
    }

    /// SIGCONT.
    pub fn thaw(&mut self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits up to `limit` for the end of the process.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            if start.elapsed() > limit {
                return None;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    fn signal(&mut self, signal: Signal) {
        // A child that was waited for has given its pid back.
        if self.ended().is_some() {
            return;
        }
        let pid = i32::try_from(self.child.id()).expect("a pid fits");
        // The child has not been waited for, so its pid is its own.
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
