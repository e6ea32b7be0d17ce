//! Starts of the processes of a deployment.

use std::{fs, io, net::SocketAddr};

use pistachiolug_wire::instance::State;
use serde_json::json;

use super::{
    deployment::{Daemon, Deployment, SECRET, Size},
    port,
    process::{Process, find_program},
};

impl Deployment {
    pub(super) fn start_platform(&mut self, size: &Size) -> io::Result<()> {
        let rate = size.origin_rate.to_string();
        let kv = self.start_standin("kv", self.kv, &[])?;
        let directory = self.start_standin("directory", self.directory, &[])?;
        let origin = self.start_standin("origin", self.origin, &["--rate".to_owned(), rate])?;
        self.platform.extend([kv, directory, origin]);
        Ok(())
    }

    fn start_standin(
        &self,
        role: &str,
        address: SocketAddr,
        extra_args: &[String],
    ) -> io::Result<Process> {
        let mut args = vec![
            "standin".to_owned(),
            role.to_owned(),
            "--listen".to_owned(),
            address.to_string(),
        ];
        args.extend_from_slice(extra_args);
        let log = self.folder.join(format!("{role}-{}.log", address.port()));
        Process::start(&find_program("pistachiolug-bench")?, &args, &log, SECRET)
    }

    pub(super) fn start_agent(
        &self,
        name: &str,
        service: &str,
        backend_role: &str,
        backend_args: &[String],
    ) -> io::Result<Daemon> {
        let internal = port::reserve()?;
        let backend = port::reserve()?;
        let backend_process = self.start_standin(backend_role, backend, backend_args)?;
        let kind = if backend_role == "engine" {
            "model"
        } else {
            "plain"
        };
        let mut settings = self.settings(name, internal);
        settings["backend"] = json!({
            "service": service,
            "kind": kind,
            "address": format!("http://{backend}"),
            "slots": self.slots,
        });
        Ok(Daemon {
            name: name.to_owned(),
            internal,
            callers: None,
            backend: Some(backend),
            service: service.to_owned(),
            state: State::Live,
            process: self.start_daemon("agent", name, &settings)?,
            backend_process: Some(backend_process),
        })
    }

    pub(super) fn start_entry(&self, name: &str) -> io::Result<Daemon> {
        let internal = port::reserve()?;
        let callers = port::reserve()?;
        let mut settings = self.settings(name, internal);
        settings["callers"] = json!(callers);
        Ok(Daemon {
            name: name.to_owned(),
            internal,
            callers: Some(callers),
            backend: None,
            service: String::new(),
            state: State::Live,
            process: self.start_daemon("entry", name, &settings)?,
            backend_process: None,
        })
    }

    fn settings(&self, name: &str, internal: SocketAddr) -> serde_json::Value {
        json!({
            "instance": name,
            "region": "gauteng",
            "zone": "midrand",
            "internal": internal,
            "platform": {
                "key_value": format!("http://{}", self.kv),
                "instances": format!("http://{}", self.directory),
                "origin": format!("http://{}", self.origin),
            },
        })
    }

    fn start_daemon(
        &self,
        role: &str,
        name: &str,
        settings: &serde_json::Value,
    ) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let args = [role.to_owned(), path.display().to_string()];
        Process::start(&find_program("pistachiolug")?, &args, &log, SECRET)
    }
}
