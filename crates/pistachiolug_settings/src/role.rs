//! Match of a daemon's settings with its role.

use jsonc_parser::ast::Object;

use crate::{check::Check, daemon::Role};

/// Reports fields that the role lacks or does not have; without a role, either must fit.
pub(crate) fn check(check: &mut Check<'_>, object: &Object<'_>, role: Option<Role>) {
    let callers = object.get("callers").map(|property| property.range.start);
    let backend = object.get("backend").map(|property| property.range.start);
    let start = object.range.start;
    match (role, callers, backend) {
        (Some(Role::Entry), None, _) => {
            check.report(
                start,
                "callers",
                "is missing",
                "an entry takes callers; name their address",
            );
        }
        (Some(Role::Agent), _, None) => {
            check.report(
                start,
                "backend",
                "is missing",
                "an agent guards a backend server; name it",
            );
        }
        (None, None, None) => {
            let mend = "write `callers` for an entry or `backend` for an agent";
            check.report(start, "", "is neither an entry nor an agent", mend);
        }
        _ => {}
    }
    match (role, callers, backend) {
        (Some(Role::Entry), _, Some(at)) => {
            check.report(
                at,
                "backend",
                "does not belong to an entry",
                "remove it, or start `agent`",
            );
        }
        (Some(Role::Agent), Some(at), _) => {
            check.report(
                at,
                "callers",
                "does not belong to an agent",
                "remove it, or start `entry`",
            );
        }
        (None, Some(_), Some(at)) => {
            let mend = "keep `callers` for an entry or `backend` for an agent";
            check.report(at, "backend", "stands beside `callers`", mend);
        }
        _ => {}
    }
}
