//! Checks of a call's customer and plan against the active lists.

use pistachiolug_lists::lists::Lists;
use pistachiolug_routing::fair_queue::Class;
use pistachiolug_wire::{
    call::{Open, Work},
    fault::Code,
};

/// Class, priority and rate limit of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Access {
    /// Scheduling class of the plan.
    pub(super) class: Class,
    /// Priority passed to the engine.
    pub(super) priority: u8,
    /// Rate limit of the customer in tokens per minute; 0 means no limit.
    pub(super) rate: u64,
}

/// Access granted to calls that the entry admitted under newer lists and that this agent's lists do not allow.
const UNKNOWN_PLAN: Access = Access {
    class: Class {
        weight: 1,
        is_trial: true,
    },
    priority: 0,
    rate: 0,
};

/// Checks a call against the active lists.
///
/// If the entry used newer lists, whatever these lists do not allow may be new, such as a customer or plan that is
/// missing here. The call is then served with the lowest weight, as a trial call and without a rate limit.
///
/// # Errors
/// [`Code::InvalidKey`] for a customer that no longer exists; [`Code::NotInPlan`] for a plan that no longer exists, is
/// no longer the customer's, or doesn't include the model or service.
pub(super) fn check(lists: &Lists, open: &Open) -> Result<Access, Code> {
    match check_current(lists, open) {
        Err(_) if lists.revision() < open.lists_revision => Ok(UNKNOWN_PLAN),
        access => access,
    }
}

fn check_current(lists: &Lists, open: &Open) -> Result<Access, Code> {
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
        customer_rate => customer_rate,
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
