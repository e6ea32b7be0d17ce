//! Child processes of the rig.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

/// Child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    invocation: Invocation,
}

/// Program, arguments, log file and environment of a process, kept for restarts.
#[derive(Debug, Clone)]
struct Invocation {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    variables: Vec<(&'static str, String)>,
}

impl Process {
    /// Starts a program with its output appended to a log file and the secret of the deployment in its environment.
    ///
    /// # Errors
    /// Returns the error of the start.
    pub fn start(program: &Path, args: &[String], log: &Path, secret: &str) -> io::Result<Self> {
        let variables = [("PISTACHIOLUG_SECRET", secret.to_owned())];
        Self::start_with(program, args, log, &variables)
    }

    /// Starts a program with its output appended to a log file and additional environment variables.
    ///
    /// # Errors
    /// Returns the error of the start.
    pub fn start_with(
        program: &Path,
        args: &[String],
        log: &Path,
        variables: &[(&'static str, String)],
    ) -> io::Result<Self> {
        let invocation = Invocation {
            program: program.to_owned(),
            args: args.to_owned(),
            log: log.to_owned(),
            variables: variables.to_vec(),
        };
        let child = invocation.spawn()?;
        Ok(Self { child, invocation })
    }

    /// Kills the process if it still runs and starts it again with the same arguments and environment.
    ///
    /// # Errors
    /// Returns the error of the start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill()?;
        self.child = self.invocation.spawn()?;
        Ok(())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`, to the process.
    ///
    /// # Errors
    /// Returns the error of the start of the `kill` program; its exit status is ignored.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()
            .map(drop)
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    /// Returns the error of the wait.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        // Fails only if the process has exited already.
        let _ = self.child.kill();
        self.child.wait()
    }

    /// Returns the exit status of the process, or `None` while it runs.
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
        // A destructor can't return the error.
        let _ = self.kill();
    }
}

/// Finds a program of this build in the folder of the running program or in the parent of that folder.
///
/// # Errors
/// `NotFound` if the program has not been built.
pub fn find_program(name: &str) -> io::Result<PathBuf> {
    let own_path = env::current_exe()?;
    let folders = own_path.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join(name));
    candidates.find(|path| path.is_file()).ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!("{name} is not built; run `cargo build --workspace`"),
        )
    })
}
