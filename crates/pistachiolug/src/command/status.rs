//! `status`: instances, versions, transfers and queues.

use std::time::Duration;

use pistachiolug_wire::instance::{Role, State};

use super::rollout;
use crate::{
    args,
    exit::Exit,
    fleet::{self, Member, Transfer},
    output,
};

/// Runs the command.
pub fn run(flags: &args::Status) -> Exit {
    super::with_operator(flags.settings.as_deref(), async |operator| {
        if let Some(seconds) = flags.follow {
            return rollout::follow(&operator, Duration::from_secs(seconds)).await;
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

fn text(members: &[Member]) -> String {
    let rows: Vec<Vec<String>> = members.iter().map(cells).collect();
    let titles = [
        "INSTANCE", "ROLE", "SERVICE", "PLACE", "PHASE", "LISTS", "QUEUED", "RUNNING", "VERSIONS",
    ];
    let mut lines = vec![output::table(&titles, &rows)];
    lines.extend(rollout::lines(&rollout::summarize(members)));
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
