//! What the lists in force say of a call's customer and plan.

use pistachiolug_lists::lists::Lists;
use pistachiolug_routing::fair_queue::Class;
use pistachiolug_wire::{
    call::{Open, Work},
    fault::Code,
};

/// How a call is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Access {
    /// Class of its plan.
    pub(super) class: Class,
    /// Priority passed to the engine.
    pub(super) priority: u8,
    /// Customer's limit in tokens a minute; 0 means none.
    pub(super) rate: u64,
}

/// Class of calls whose plan this agent's lists do not know yet.
const NEWCOMER: Access = Access {
    class: Class {
        weight: 1,
        is_trial: true,
    },
    priority: 0,
    rate: 0,
};

/// Checks a call against the lists in force.
///
/// Where the entry decided by newer lists, what is missing here may be new and gets what the others leave.
///
/// # Errors
/// [`Code::InvalidKey`] for a customer that is gone, [`Code::NotInPlan`] for a plan that is gone, changed or lacks the
/// model or service.
pub(super) fn check(lists: &Lists, open: &Open) -> Result<Access, Code> {
    match judge(lists, open) {
        Err(_) if lists.revision() < open.lists_revision => Ok(NEWCOMER),
        judged => judged,
    }
}

fn judge(lists: &Lists, open: &Open) -> Result<Access, Code> {
    let customer = lists.customer(&open.customer).ok_or(Code::InvalidKey)?;
    let plan = lists.plan(&customer.plan).ok_or(Code::NotInPlan)?;
    let allowed = match &open.work {
        Work::Model(generation) => plan.models.contains(&generation.model),
        Work::Plain(_) => plan.services.contains(&open.service),
    };
    if plan.name != open.plan || !allowed {
        return Err(Code::NotInPlan);
    }
    let rate = match customer.tokens_per_minute {
        0 => plan.tokens_per_minute,
        own => own,
    };
    Ok(Access {
        class: Class {
            weight: plan.share.max(1),
            is_trial: plan.trial,
        },
        priority: plan.priority,
        rate,
    })
}
