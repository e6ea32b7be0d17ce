//! Operator of the demonstration: writes the settings and the two lists, and applies the lists.

use std::{
    fs, io,
    path::PathBuf,
    process::{Command, Stdio},
};

use pistachiolug_lists::key;
use pistachiolug_wire::digest::Digest;
use serde_json::{Value, json};

use crate::rig::{
    deployment::{Deployment, PAID_KEY, SECRET, TRIAL_KEY},
    process::find_program,
};

/// Longest wait until the lists are in force everywhere, in seconds.
const WAIT_S: &str = "60";

/// Paths of the files that the operator works with.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Settings of the commands for operators.
    pub settings: PathBuf,
    /// Customers list.
    pub customers: PathBuf,
    /// Plans list.
    pub plans: PathBuf,
}

impl Operator {
    /// Writes the operator's settings and the secret into the folder of the deployment.
    ///
    /// # Errors
    /// Returns the error of a file.
    pub fn new(deployment: &Deployment) -> io::Result<Self> {
        let folder = deployment.folder();
        let secret = folder.join("secret");
        fs::write(&secret, SECRET)?;
        let settings = json!({
            "key_value": format!("http://{}", deployment.kv),
            "instances": format!("http://{}", deployment.directory),
            "secret_file": secret,
        });
        let operator = Self {
            settings: folder.join("operator.jsonc"),
            customers: folder.join("customers.jsonc"),
            plans: folder.join("plans.jsonc"),
        };
        fs::write(&operator.settings, format!("{settings:#}\n"))?;
        Ok(operator)
    }

    /// Writes the lists, which ask for `replicas` replicas of a version of the model.
    ///
    /// # Errors
    /// Returns the error of a file.
    pub fn write_lists(&self, version: &str, manifest: Digest, replicas: usize) -> io::Result<()> {
        fs::write(&self.customers, format!("{:#}\n", customers()))?;
        let plans = plans(version, manifest, replicas);
        fs::write(&self.plans, format!("{plans:#}\n"))
    }

    /// Applies the lists with the `apply` command and waits until they are in force everywhere.
    ///
    /// # Errors
    /// Returns the standard error of the command if it fails.
    pub fn apply(&self) -> io::Result<()> {
        let output = Command::new(find_program("pistachiolug")?)
            .arg("apply")
            .args([&self.customers, &self.plans])
            .arg("--settings")
            .arg(&self.settings)
            .args(["--author", "demo", "--wait", WAIT_S])
            .stdin(Stdio::null())
            .output()?;
        if output.status.success() {
            return Ok(());
        }
        let report = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(io::Error::other(format!(
            "applying the lists failed: {report}"
        )))
    }
}

fn customers() -> Value {
    let customer = |name: &str, bearer: &str| json!({ "name": name, "plan": name, "keys": [key::digest(bearer).to_string()] });
    json!({ "customers": [customer("paid", PAID_KEY), customer("trial", TRIAL_KEY)] })
}

fn plans(version: &str, manifest: Digest, replicas: usize) -> Value {
    let plan = |name: &str, share: u32, trial: bool| {
        json!({
            "name": name, "share": share, "priority": u8::from(!trial), "trial": trial,
            "models": ["pasta"], "services": ["booking"],
        })
    };
    json!({
        "plans": [plan("paid", 3, false), plan("trial", 1, true)],
        "models": [{
            "name": "pasta", "service": "assistant", "version": version,
            "manifest": manifest.to_string(),
            "replicas": { "least": replicas, "most": replicas },
        }],
        "services": [{ "name": "booking", "idempotent": ["/stock"] }],
    })
}
