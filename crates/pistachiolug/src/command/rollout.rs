//! Progress of the roll-out of versions to all instances.

use std::{collections::BTreeMap, io::IsTerminal, time::Duration};

use indicatif::{ProgressBar, ProgressStyle};
use tokio::time::{Instant, sleep};

use crate::{
    exit::Exit,
    fleet::{self, Member, Transfer},
    operator::Operator,
    output,
};

/// Interval between two reads of the instances while following roll-outs.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// State of a transfer whose version serves calls.
const SERVING: &str = "serving";

/// Roll-outs by the names of model and version.
pub type Rollouts = BTreeMap<(String, String), Rollout>;

/// Progress of the roll-out of one version, added up over its instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Number of instances that serve the version.
    pub serving: usize,
    /// Number of instances that have a transfer of the version in any state.
    pub instances: usize,
    /// Number of bytes that the instances already have.
    pub done_bytes: u64,
    /// Number of bytes that the instances need.
    pub total_bytes: u64,
}

impl Rollout {
    /// Returns whether every instance serves the version.
    pub fn is_finished(&self) -> bool {
        self.serving == self.instances
    }

    /// Adds the transfer of one instance.
    fn add(&mut self, transfer: &Transfer) {
        let is_serving = transfer.state == SERVING;
        self.instances += 1;
        self.serving += usize::from(is_serving);
        self.total_bytes += transfer.total_bytes;
        self.done_bytes += if is_serving {
            transfer.total_bytes
        } else {
            transfer.done_bytes.min(transfer.total_bytes)
        };
    }
}

/// Adds up the transfers of all instances by model and version.
pub fn summarize(members: &[Member]) -> Rollouts {
    let mut rollouts = Rollouts::new();
    for transfer in members.iter().flat_map(Member::transfers) {
        let name = (transfer.model.clone(), transfer.version.clone());
        rollouts.entry(name).or_default().add(&transfer);
    }
    rollouts
}

/// Renders one line for each roll-out.
pub(super) fn render_lines(rollouts: &Rollouts) -> Vec<String> {
    let rows = rollouts.iter();
    rows.map(|((model, version), rollout)| render_line(model, version, rollout))
        .collect()
}

fn render_line(model: &str, version: &str, rollout: &Rollout) -> String {
    format!(
        "{model} {version}: serves on {} of {} instances, {} of {} bytes",
        rollout.serving, rollout.instances, rollout.done_bytes, rollout.total_bytes
    )
}

/// Shows the progress of roll-outs until all are finished, or fails with [`Exit::TimedOut`] after `max_wait`.
pub(super) async fn follow(operator: &Operator, max_wait: Duration) -> Exit {
    let deadline = Instant::now() + max_wait;
    let mut progress = Progress::new(std::io::stderr().is_terminal());
    loop {
        let members = match fleet::read(operator).await {
            Ok(members) => members,
            Err(error) => return output::fail(Exit::Unavailable, &error.to_string()),
        };
        let rollouts = summarize(&members);
        progress.show(&rollouts);
        if !rollouts.is_empty() && rollouts.values().all(Rollout::is_finished) {
            return Exit::Done;
        }
        if Instant::now() >= deadline {
            return output::fail(Exit::TimedOut, "roll-out is not finished yet");
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Display of the progress: bars on a terminal, otherwise the lines after each change.
struct Progress {
    is_terminal: bool,
    bars: BTreeMap<(String, String), ProgressBar>,
    /// Lines that were printed last.
    last_lines: Vec<String>,
}

impl Progress {
    fn new(is_terminal: bool) -> Self {
        Self {
            is_terminal,
            bars: BTreeMap::new(),
            last_lines: Vec::new(),
        }
    }

    fn show(&mut self, rollouts: &Rollouts) {
        if self.is_terminal {
            for (name, rollout) in rollouts {
                let bar = self
                    .bars
                    .entry(name.clone())
                    .or_insert_with(|| create_bar(name));
                bar.set_length(rollout.total_bytes);
                bar.set_position(rollout.done_bytes);
                bar.set_message(format!("{}/{}", rollout.serving, rollout.instances));
            }
            return;
        }
        let lines = render_lines(rollouts);
        if lines != self.last_lines {
            output::print(&lines.join("\n"));
            self.last_lines = lines;
        }
    }
}

/// Creates the bar of a roll-out.
fn create_bar((model, version): &(String, String)) -> ProgressBar {
    let bar = ProgressBar::new(0).with_prefix(format!("{model} {version}"));
    let template = "{prefix} [{bar:40}] {bytes}/{total_bytes} {bytes_per_sec} serves on {msg}";
    // If the template were malformed, the bar would keep the default style of the library.
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}
