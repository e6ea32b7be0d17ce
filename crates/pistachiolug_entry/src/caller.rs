//! Identification of the caller of a request by its bearer key.

use std::sync::Arc;

use http::{HeaderMap, header};
use pistachiolug_lists::{customer::Customer, key, lists::Lists, plan::Plan};

/// Customer that sends a request, with its plan.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Customer to which the key belongs.
    pub customer: Arc<Customer>,
    /// Plan of the customer, which says what it may call.
    pub plan: Arc<Plan>,
}

/// Returns the caller of a request; `None` if the key is missing, unknown or revoked.
pub fn identify(lists: &Lists, headers: &HeaderMap) -> Option<Caller> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    let customer = lists.customer_of(&key::digest(key))?;
    let plan = lists.plan(&customer.plan)?;
    Some(Caller {
        customer: Arc::clone(customer),
        plan: Arc::clone(plan),
    })
}
