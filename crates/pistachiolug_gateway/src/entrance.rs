//! Admission of a request: its route, workspace, body and deadline.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    call::Call,
    catalog::{Admitted, Catalog, Denial},
    head,
    reply::Reason,
    state::{State, engine},
};

/// Time before the deadline at which the entry answers by itself, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Takes a request that arrived, or returns why it is denied.
///
/// # Errors
/// The reason of the answer to the caller.
pub async fn admit(
    state: &Rc<State>,
    head: request::Parts,
    body: Incoming,
    id: &str,
    arrived: Instant,
) -> Result<Call, Reason> {
    let open = state.open();
    let catalog = state.catalog().ok_or(Reason::Starting)?;
    let admitted = look_up(&catalog, state, &head)?;
    let names = &state.options.names;
    let route = &admitted.route;
    let limit = head::deadline(&head.headers, names).unwrap_or(route.timeout);
    let deadline = arrived + limit.min(route.timeout).saturating_sub(ANSWER_MARGIN);
    let body = read_body(body, catalog.limits().body_bytes, deadline).await?;
    let fresh = state.is_fresh(&route.name, limit);
    let service = Arc::clone(route.draw(&mut rand::rng()));
    let model = engine(&catalog, &service)
        .and_then(|_| head::text(&head.headers, &names.model))
        .map(Arc::from);
    let tokens = head::tokens(&head.headers, names);
    state.earn(&service);
    Ok(Call {
        id: id.to_owned(),
        head,
        body,
        admitted,
        service,
        model,
        tokens,
        arrived,
        deadline,
        fresh,
        open,
    })
}

fn look_up(catalog: &Catalog, state: &State, head: &request::Parts) -> Result<Admitted, Reason> {
    let host = head::text(&head.headers, &header::HOST).or(head.uri.host());
    let key = head::text(&head.headers, &state.options.names.key);
    let admitted = catalog.admit(host.unwrap_or_default(), head.uri.path(), key);
    admitted.map_err(|denial| match denial {
        Denial::NoRoute => Reason::NoRoute,
        Denial::BadKey => Reason::BadKey,
    })
}

async fn read_body(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Reason> {
    match timeout_at(deadline, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Reason::BadBody),
    }
}
