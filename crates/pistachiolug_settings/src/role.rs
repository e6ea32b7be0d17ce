//! Check that a daemon's settings match its role.

use jsonc_parser::ast::Object;

use crate::{check::Checker, daemon::Role};

/// Reports fields that the role needs but the settings lack, and fields that are not allowed for the role. Without a
/// role, the settings must be those of an entry or an agent.
pub(crate) fn check(checker: &mut Checker<'_>, object: &Object<'_>, role: Option<Role>) {
    let callers = object.get("callers").map(|property| property.range.start);
    let backend = object.get("backend").map(|property| property.range.start);
    let start = object.range.start;
    match (role, callers, backend) {
        (Some(Role::Entry), None, _) => {
            checker.report(
                start,
                "callers",
                "is missing",
                "an entry needs the address that callers connect to",
            );
        }
        (Some(Role::Agent), _, None) => {
            checker.report(
                start,
                "backend",
                "is missing",
                "an agent needs a backend server",
            );
        }
        (None, None, None) => {
            let fix = "write `callers` for an entry or `backend` for an agent";
            checker.report(start, "", "describes neither an entry nor an agent", fix);
        }
        _ => {}
    }
    match (role, callers, backend) {
        (Some(Role::Entry), _, Some(offset)) => {
            checker.report(
                offset,
                "backend",
                "is not allowed for an entry",
                "remove it, or run `pistachiolug agent`",
            );
        }
        (Some(Role::Agent), Some(offset), _) => {
            checker.report(
                offset,
                "callers",
                "is not allowed for an agent",
                "remove it, or run `pistachiolug entry`",
            );
        }
        (None, Some(_), Some(offset)) => {
            let fix = "keep `callers` for an entry or `backend` for an agent";
            checker.report(offset, "backend", "is set together with `callers`", fix);
        }
        _ => {}
    }
}
