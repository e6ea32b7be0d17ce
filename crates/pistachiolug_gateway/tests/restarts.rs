//! Bounds that hold for all entries together while entries start anew.

#![allow(clippy::unwrap_used)]

mod support;

use pistachiolug_gateway::config::Kind;

use support::{
    deployment::{Deployment, FAILING_BODY},
    options, request, run,
};

/// Requests in one life of the entries; enough to use up the budget.
const REQUESTS: usize = 150;

/// Guards against a retry budget that is spent again after each start, because an entry forgets what it has spent.
#[test]
fn entries_that_start_anew_do_not_spend_the_retry_budget_again() {
    run(async {
        let mut deployment = Deployment::start(Kind::Idempotent, 2, 3, 6).await;

        send_failing_requests(&deployment).await;
        deployment.restart_entries().await;
        send_failing_requests(&deployment).await;

        let requests = 2 * REQUESTS;
        let retries = deployment.arrivals(FAILING_BODY) - requests;
        let options = options();
        let budget = options.retry_share * requests as f64 + options.retry_slack;
        assert!(retries as f64 <= budget, "{retries} retries of {budget}");
        assert!(retries > 0);
    });
}

async fn send_failing_requests(deployment: &Deployment) {
    for number in 0..REQUESTS {
        let request = request(&format!("f{number}")).replace("plate", FAILING_BODY);
        deployment.call(number, &request).await;
    }
}
