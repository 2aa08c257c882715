//! Child processes of tests.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::wait::wait_for;

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts a program with its standard output and standard error written to the file `output`.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn start(program: &Path, arguments: &[&str], output: &Path) -> Self {
        Self::start_with(program, arguments, &[], output)
    }

    /// Starts a program with additional environment variables.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn start_with(
        program: &Path,
        arguments: &[&str],
        variables: &[(&str, &str)],
        output: &Path,
    ) -> Self {
        let child = spawn(program, arguments, variables, output);
        Self {
            child: child.unwrap_or_else(|cause| panic!("{}: {cause}", program.display())),
            output: output.to_owned(),
        }
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the largest memory that the process has used so far, in units of 1,048,576 bytes.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn peak_memory_mib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.pid());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.expect("the process has memory");
        let kib = peak.trim().trim_end_matches(" kB").parse::<u64>();
        kib.expect("a number") / 1_024
    }

    /// Returns what the process has written to its output file so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        self.send_signal(Signal::SIGKILL);
        // The exit status of a killed process is not needed.
        let _ = self.child.wait();
    }

    /// Suspends the process until [`Process::thaw`] (SIGSTOP).
    pub fn freeze(&mut self) {
        self.send_signal(Signal::SIGSTOP);
    }

    /// Resumes the process (SIGCONT).
    pub fn thaw(&mut self) {
        self.send_signal(Signal::SIGCONT);
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&mut self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// Requests a reload of the settings (SIGHUP).
    pub fn hang_up(&self) {
        // A process that has ended needs no signal.
        let _ = kill(Pid::from_raw(self.child.id().cast_signed()), Signal::SIGHUP);
    }

    /// Waits until the process has ended by itself.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("end of a process", async || self.exit_status()).await
    }

    fn send_signal(&mut self, signal: Signal) {
        if self.exit_status().is_some() {
            // The process id may have been reassigned to another process.
            return;
        }
        let pid = Pid::from_raw(self.child.id().cast_signed());
        // The process may have ended since the check, which is no error.
        let _ = kill(pid, signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(
    program: &Path,
    arguments: &[&str],
    variables: &[(&str, &str)],
    output: &Path,
) -> io::Result<Child> {
    let stdout = File::create(output)?;
    let stderr = stdout.try_clone()?;
    Command::new(program)
        .args(arguments)
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(stderr)
        .spawn()
}
