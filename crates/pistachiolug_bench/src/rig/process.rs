//! One child process.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

/// Child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    command: Invocation,
}

/// How a process was started, so that it can be started again.
#[derive(Debug, Clone)]
struct Invocation {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    variables: Vec<(&'static str, String)>,
}

impl Process {
    /// Starts a program with its output in a log file and the deployment's secret in its environment.
    ///
    /// # Errors
    /// Returns the error of the start.
    pub fn start(program: &Path, args: &[String], log: &Path, secret: &str) -> io::Result<Self> {
        let variables = [("PISTACHIOLUG_SECRET", secret.to_owned())];
        Self::start_with(program, args, log, &variables)
    }

    /// Starts a program with its output in a log file and these variables in its environment.
    ///
    /// # Errors
    /// Returns the error of the start.
    pub fn start_with(
        program: &Path,
        args: &[String],
        log: &Path,
        variables: &[(&'static str, String)],
    ) -> io::Result<Self> {
        let command = Invocation {
            program: program.to_owned(),
            args: args.to_owned(),
            log: log.to_owned(),
            variables: variables.to_vec(),
        };
        let child = command.spawn()?;
        Ok(Self { child, command })
    }

    /// Ends the process if it still runs and starts it again with the same arguments.
    ///
    /// # Errors
    /// Returns the error of the start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill()?;
        self.child = self.command.spawn()?;
        Ok(())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    /// Returns the error of the `kill` program.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()
            .map(drop)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// Returns the error of the wait.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        // Fails only when the process has ended, which is what is wanted.
        let _ = self.child.kill();
        self.child.wait()
    }

    /// Tells how the process ended, or `None` while it runs.
    ///
    /// # Errors
    /// Returns the error of the wait.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Invocation {
    fn spawn(&self) -> io::Result<Child> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        Command::new(&self.program)
            .args(&self.args)
            .envs(self.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Nothing is left to do about an error here.
        let _ = self.kill();
    }
}

/// Finds a program of this build beside the running one or in its parent folder.
///
/// # Errors
/// `NotFound` when it has not been built.
pub fn find_program(name: &str) -> io::Result<PathBuf> {
    let here = env::current_exe()?;
    let folders = here.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join(name));
    candidates.find(|path| path.is_file()).ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!("{name} is not built; run `cargo build --workspace`"),
        )
    })
}
