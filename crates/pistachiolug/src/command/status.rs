//! `status`: instances, versions, transfers and queues.

use std::{collections::BTreeMap, io::IsTerminal, time::Duration};

use indicatif::{ProgressBar, ProgressStyle};
use pistachiolug_wire::instance::{Role, State};
use tokio::time::{Instant, sleep};

use crate::{
    args,
    exit::Exit,
    fleet::{self, Member, Transfer},
    operator::Operator,
    output,
};

/// Wait between two looks at a roll-out.
const POLL: Duration = Duration::from_millis(500);

/// State of a transfer whose version answers calls.
const SERVING: &str = "serving";

/// Runs the command.
pub fn run(flags: &args::Status) -> Exit {
    super::with_operator(flags.settings.as_deref(), async |operator| {
        if let Some(seconds) = flags.follow {
            return follow(&operator, Duration::from_secs(seconds)).await;
        }
        match fleet::read(&operator).await {
            Ok(members) if flags.json => output::print_json(&members),
            Ok(members) => {
                output::print(&text(&members));
                Exit::Done
            }
            Err(error) => output::fail(Exit::Unavailable, &error.to_string()),
        }
    })
}

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
    pub fn finished(&self) -> bool {
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
pub fn rollouts(members: &[Member]) -> BTreeMap<(String, String), Rollout> {
    let mut rollouts: BTreeMap<(String, String), Rollout> = BTreeMap::new();
    for transfer in members.iter().flat_map(Member::transfers) {
        let name = (transfer.model.clone(), transfer.version.clone());
        rollouts.entry(name).or_default().add(&transfer);
    }
    rollouts
}

fn text(members: &[Member]) -> String {
    let rows: Vec<Vec<String>> = members.iter().map(cells).collect();
    let titles = [
        "INSTANCE", "ROLE", "SERVICE", "PLACE", "PHASE", "LISTS", "QUEUED", "RUNNING", "VERSIONS",
    ];
    let mut lines = vec![output::table(&titles, &rows)];
    for ((model, version), rollout) in rollouts(members) {
        lines.push(line(&model, &version, &rollout));
    }
    lines.extend(members.iter().flat_map(findings));
    lines.join("\n")
}

/// Renders why versions are not served at an instance.
fn findings(member: &Member) -> Vec<String> {
    let transfers = member.transfers().into_iter();
    let found = transfers.filter(|transfer| !transfer.finding.is_empty());
    let name = &member.instance.name;
    found
        .map(|found| {
            let Transfer {
                model,
                version,
                state,
                finding,
                ..
            } = found;
            format!("{name}: {model} {version} {state}: {finding}")
        })
        .collect()
}

fn cells(member: &Member) -> Vec<String> {
    let instance = &member.instance;
    let shown = |number: Option<u64>| number.map_or_else(|| "-".to_owned(), |it| it.to_string());
    let running = member.number("/calls/load/running");
    let running = running.or_else(|| member.number("/calls/open"));
    let versions: Vec<String> = member
        .transfers()
        .iter()
        .map(|transfer| format!("{}={}:{}", transfer.model, transfer.version, transfer.state))
        .collect();
    vec![
        instance.name.clone(),
        role(instance.role).to_owned(),
        instance.service.clone(),
        format!("{}/{}", instance.place.region, instance.place.zone),
        phase(member),
        shown(member.revision()),
        shown(member.number("/calls/queued")),
        shown(running),
        versions.join(" "),
    ]
}

fn role(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Agent => "agent",
    }
}

/// Returns the process's own phase, or what the instance list says of one that does not answer.
fn phase(member: &Member) -> String {
    let listed = match member.instance.state {
        State::Live => "silent",
        State::Leaving => "leaving",
    };
    member.text("/phase").unwrap_or(listed).to_owned()
}

fn line(model: &str, version: &str, rollout: &Rollout) -> String {
    format!(
        "{model} {version}: serves on {} of {} instances, {} of {} bytes",
        rollout.serving, rollout.instances, rollout.done_bytes, rollout.total_bytes
    )
}

/// Shows roll-outs until all are finished.
async fn follow(operator: &Operator, within: Duration) -> Exit {
    let end = Instant::now() + within;
    let mut view = View::new(std::io::stderr().is_terminal());
    loop {
        let members = match fleet::read(operator).await {
            Ok(members) => members,
            Err(error) => return output::fail(Exit::Unavailable, &error.to_string()),
        };
        let rollouts = rollouts(&members);
        view.show(&rollouts);
        if !rollouts.is_empty() && rollouts.values().all(Rollout::finished) {
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

    fn show(&mut self, rollouts: &BTreeMap<(String, String), Rollout>) {
        if self.terminal {
            for (name, rollout) in rollouts {
                let bar = self.bars.entry(name.clone()).or_insert_with(|| bar(name));
                bar.set_length(rollout.total_bytes);
                bar.set_position(rollout.done_bytes);
                bar.set_message(format!("{}/{}", rollout.serving, rollout.instances));
            }
            return;
        }
        let lines = rollouts
            .iter()
            .map(|((model, version), rollout)| line(model, version, rollout));
        let lines: Vec<String> = lines.collect();
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
