//! Callers: who sends a request, by its bearer key.

use std::sync::Arc;

use http::{HeaderMap, header};
use pistachiolug_lists::{customer::Customer, key, lists::Lists, plan::Plan};

/// Caller that the lists know.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Customer.
    pub customer: Arc<Customer>,
    /// Customer's plan.
    pub plan: Arc<Plan>,
}

/// Finds the caller of a request, or `None` for a missing, unknown or revoked key.
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
