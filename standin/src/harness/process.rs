//! One process of the project that a test started.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::wait::wait_for;

/// A process that ends with this value.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts a program; what it writes goes to the file `output`.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn start(program: &Path, arguments: &[&str], output: &Path) -> Self {
        Self::start_with(program, arguments, &[], output)
    }

    /// Starts a program with variables in its environment.
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

    /// What it has written.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// How it ended, if it did.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Ends it at once (SIGKILL).
    pub fn kill(&mut self) {
        self.send_signal(Signal::SIGKILL);
        // It was killed; how it ended does not matter.
        let _ = self.child.wait();
    }

    /// Stops it from running until [`Process::thaw`] (SIGSTOP).
    pub fn freeze(&mut self) {
        self.send_signal(Signal::SIGSTOP);
    }

    /// Lets it run again (SIGCONT).
    pub fn thaw(&mut self) {
        self.send_signal(Signal::SIGCONT);
    }

    /// Asks it to stop in order (SIGTERM).
    pub fn terminate(&mut self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// Tells it that its settings have changed (SIGHUP).
    pub fn hang_up(&self) {
        // A process that has ended takes no notice.
        let _ = kill(Pid::from_raw(self.child.id().cast_signed()), Signal::SIGHUP);
    }

    /// Waits until it has ended by itself.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("end of a process", async || self.exit_status()).await
    }

    fn send_signal(&mut self, signal: Signal) {
        if self.exit_status().is_some() {
            // Its id may belong to another process by now.
            return;
        }
        let pid = Pid::from_raw(self.child.id().cast_signed());
        // It may have ended just now, which is no error.
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
