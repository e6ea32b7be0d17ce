//! `status`: shows instances, versions, transfers and queues.

use std::time::Duration;

use pistachiolug_wire::instance::{Role, State};

use super::rollout;
use crate::{
    args,
    exit::Exit,
    fleet::{self, Member, Transfer},
    output,
};

/// Shows the status once, or follows roll-outs if the flags say so.
pub fn run(flags: &args::Status) -> Exit {
    super::with_operator(flags.settings.as_deref(), async |operator| {
        if let Some(seconds) = flags.follow {
            return rollout::follow(&operator, Duration::from_secs(seconds)).await;
        }
        match fleet::read(&operator).await {
            Ok(members) if flags.json => output::print_json(&members),
            Ok(members) => {
                output::print(&render(&members));
                Exit::Done
            }
            Err(error) => output::fail(Exit::Unavailable, &error.to_string()),
        }
    })
}

/// Renders a table of the instances, then the roll-outs and the findings.
fn render(members: &[Member]) -> String {
    let rows: Vec<Vec<String>> = members.iter().map(render_row).collect();
    let titles = [
        "INSTANCE", "ROLE", "SERVICE", "PLACE", "PHASE", "LISTS", "QUEUED", "RUNNING", "VERSIONS",
    ];
    let mut lines = vec![output::table(&titles, &rows)];
    lines.extend(rollout::render_lines(&rollout::summarize(members)));
    lines.extend(members.iter().flat_map(render_findings));
    lines.join("\n")
}

/// Renders the reasons why an instance does not serve versions.
fn render_findings(member: &Member) -> Vec<String> {
    let transfers = member.transfers().into_iter();
    let failed = transfers.filter(|transfer| !transfer.finding.is_empty());
    let name = &member.instance.name;
    failed
        .map(|transfer| {
            let Transfer {
                model,
                version,
                state,
                finding,
                ..
            } = transfer;
            format!("{name}: {model} {version} {state}: {finding}")
        })
        .collect()
}

/// Renders the row of an instance.
fn render_row(member: &Member) -> Vec<String> {
    let instance = &member.instance;
    let number = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |it| it.to_string());
    let running = member.number("/calls/load/running");
    let running = running.or_else(|| member.number("/calls/open"));
    let versions: Vec<String> = member
        .transfers()
        .iter()
        .map(|transfer| format!("{}={}:{}", transfer.model, transfer.version, transfer.state))
        .collect();
    vec![
        instance.name.clone(),
        role_name(instance.role).to_owned(),
        instance.service.clone(),
        format!("{}/{}", instance.place.region, instance.place.zone),
        phase(member),
        number(member.revision()),
        number(member.number("/calls/queued")),
        number(running),
        versions.join(" "),
    ]
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Agent => "agent",
    }
}

/// Returns the phase that the process reports; if its state could not be read, what the instance list says about it.
fn phase(member: &Member) -> String {
    let listed = match member.instance.state {
        State::Live => "silent",
        State::Leaving => "leaving",
    };
    member.text("/phase").unwrap_or(listed).to_owned()
}
