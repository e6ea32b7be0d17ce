//! Operator commands, one module for each.

use std::{future::Future, path::Path};

use crate::{
    exit::Exit,
    operator::{Error, Operator},
    output,
};

pub mod apply;
pub mod check;
pub mod demo;
pub mod digest;
pub mod dump;
pub mod lists;
pub mod rollout;
pub mod status;

/// Path of the operator's settings file if the command line gives none.
const DEFAULT_SETTINGS_PATH: &str = "operator.jsonc";

/// Connects to the deployment of the operator's settings and runs a command on it.
fn with_operator<F, R>(settings: Option<&Path>, run: F) -> Exit
where
    F: FnOnce(Operator) -> R,
    R: Future<Output = Exit>,
{
    let path = settings.unwrap_or(Path::new(DEFAULT_SETTINGS_PATH));
    let operator = match Operator::open(path) {
        Ok(operator) => operator,
        Err(Error::Settings { findings }) => return output::report_findings(&findings),
        Err(error) => return output::fail(Exit::Unavailable, &error.to_string()),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(operator)),
        Err(error) => output::fail(Exit::Unavailable, &error.to_string()),
    }
}
