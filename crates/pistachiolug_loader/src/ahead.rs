//! Fetches newer versions into memory while the engine is brought to an older one, so that the origin and the links are
//! used in that time too.

use std::time::Duration;

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::sleep;

use crate::{
    engine::{Engine, Error, Origin},
    state::Target,
    transfer::Transfer,
};

/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Fetches versions ahead of the one that is loaded next, until the process ends. A fetch goes on when its version becomes
/// the one that is loaded next.
pub async fn run<E: Engine, O: Origin>(transfer: Transfer<E, O>) {
    let state = &transfer.state;
    let mut active: Vec<u64> = Vec::new();
    let mut fetches = FuturesUnordered::new();
    loop {
        tokio::select! {
            target = state.wait_for_ahead(&active) => {
                active.push(target.version);
                fetches.push(keep_fetching(&transfer, target));
            }
            Some(version) = fetches.next() => active.retain(|other| *other != version),
        }
    }
}

/// Fetches a version for as long as it is planned, and returns it.
async fn keep_fetching<E: Engine, O: Origin>(transfer: &Transfer<E, O>, target: Target) -> u64 {
    let state = &transfer.state;
    let fetch = async {
        if let Err(error) = fetch(transfer, &target).await {
            log::info!(model = target.model.as_str(), version = target.version, error:%; "version not fetched ahead");
            sleep(RETRY_DELAY).await;
        } else {
            state.wait_until_not_ahead(&target).await;
        }
    };
    tokio::select! {
        () = fetch => {}
        () = state.wait_until_unplanned(&target) => {}
    }
    target.version
}

async fn fetch<E: Engine, O: Origin>(
    transfer: &Transfer<E, O>,
    target: &Target,
) -> Result<(), Error> {
    let staged = transfer.staged_version(target).await?;
    // The record may change the plan: the version may be further along than the one that is loaded next.
    let plan = transfer.state.update_plan();
    if plan.is_some_and(|plan| plan.is_fetched(target.version)) {
        return transfer.fetch_missing(target, &staged).await;
    }
    Ok(())
}
