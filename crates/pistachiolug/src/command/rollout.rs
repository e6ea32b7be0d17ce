//! Roll-outs of versions over all instances, and their progress.

use std::{collections::BTreeMap, io::IsTerminal, time::Duration};

use indicatif::{ProgressBar, ProgressStyle};
use tokio::time::{Instant, sleep};

use crate::{
    exit::Exit,
    fleet::{self, Member, Transfer},
    operator::Operator,
    output,
};

/// Wait between two looks at a roll-out.
const POLL: Duration = Duration::from_millis(500);

/// State of a transfer whose version answers calls.
const SERVING: &str = "serving";

/// Roll-outs by model and version.
pub type Rollouts = BTreeMap<(String, String), Rollout>;

/// Progress of one version over all instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Instances that serve the version.
    pub serving: usize,
    /// Instances that serve or will serve it.
    pub instances: usize,
    /// Bytes that are there, over all instances.
    pub done_bytes: u64,
    /// Bytes wanted, over all instances.
    pub total_bytes: u64,
}

impl Rollout {
    /// Tells whether every instance serves the version.
    pub fn is_finished(&self) -> bool {
        self.serving == self.instances
    }

    fn add(&mut self, transfer: &Transfer) {
        let serves = transfer.state == SERVING;
        self.instances += 1;
        self.serving += usize::from(serves);
        self.total_bytes += transfer.total_bytes;
        self.done_bytes += if serves {
            transfer.total_bytes
        } else {
            transfer.done_bytes.min(transfer.total_bytes)
        };
    }
}

/// Sums up all transfers by model and version.
pub fn summarize(members: &[Member]) -> Rollouts {
    let mut rollouts = Rollouts::new();
    for transfer in members.iter().flat_map(Member::transfers) {
        let name = (transfer.model.clone(), transfer.version.clone());
        rollouts.entry(name).or_default().add(&transfer);
    }
    rollouts
}

/// Renders a line per roll-out.
pub(super) fn lines(rollouts: &Rollouts) -> Vec<String> {
    let rows = rollouts.iter();
    rows.map(|((model, version), rollout)| line(model, version, rollout))
        .collect()
}

fn line(model: &str, version: &str, rollout: &Rollout) -> String {
    format!(
        "{model} {version}: serves on {} of {} instances, {} of {} bytes",
        rollout.serving, rollout.instances, rollout.done_bytes, rollout.total_bytes
    )
}

/// Shows roll-outs until all are finished.
pub(super) async fn follow(operator: &Operator, within: Duration) -> Exit {
    let end = Instant::now() + within;
    let mut view = View::new(std::io::stderr().is_terminal());
    loop {
        let members = match fleet::read(operator).await {
            Ok(members) => members,
            Err(error) => return output::fail(Exit::Unavailable, &error.to_string()),
        };
        let rollouts = summarize(&members);
        view.show(&rollouts);
        if !rollouts.is_empty() && rollouts.values().all(Rollout::is_finished) {
            return Exit::Done;
        }
        if Instant::now() >= end {
            return output::fail(Exit::TimedOut, "roll-out is not finished yet");
        }
        sleep(POLL).await;
    }
}

/// Shows progress: bars on a terminal, a line per change elsewhere.
struct View {
    terminal: bool,
    bars: BTreeMap<(String, String), ProgressBar>,
    last: Vec<String>,
}

impl View {
    fn new(terminal: bool) -> Self {
        Self {
            terminal,
            bars: BTreeMap::new(),
            last: Vec::new(),
        }
    }

    fn show(&mut self, rollouts: &Rollouts) {
        if self.terminal {
            for (name, rollout) in rollouts {
                let bar = self.bars.entry(name.clone()).or_insert_with(|| bar(name));
                bar.set_length(rollout.total_bytes);
                bar.set_position(rollout.done_bytes);
                bar.set_message(format!("{}/{}", rollout.serving, rollout.instances));
            }
            return;
        }
        let lines = lines(rollouts);
        if lines != self.last {
            output::print(&lines.join("\n"));
            self.last = lines;
        }
    }
}

fn bar((model, version): &(String, String)) -> ProgressBar {
    let bar = ProgressBar::new(0).with_prefix(format!("{model} {version}"));
    let template = "{prefix} [{bar:40}] {bytes}/{total_bytes} {bytes_per_sec} serves on {msg}";
    // A malformed template would leave the library's own style.
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}
