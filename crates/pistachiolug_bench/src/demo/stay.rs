//! Example requests, printed while the deployment of the demonstration keeps running.

use std::io;

use pistachiolug_kernel::signal;

use super::{operator::Operator, print_step, print_text};
use crate::rig::{
    deployment::{Deployment, PAID_KEY, TRIAL_KEY},
    process::find_program,
};

/// Prints example requests and waits for a signal to stop.
///
/// # Errors
/// Returns the error of the signal handlers, or `NotFound` if the `pistachiolug` program has not been built.
pub async fn run(deployment: &Deployment, operator: &Operator) -> io::Result<()> {
    let program = find_program("pistachiolug")?;
    print_text(&requests(
        deployment,
        operator,
        &program.display().to_string(),
    ));
    print_step("stays up until Ctrl-C");
    signal::wait_for_stop().await
}

fn requests(deployment: &Deployment, operator: &Operator, program: &str) -> String {
    let settings = operator.settings.display();
    let (customers, plans) = (operator.customers.display(), operator.plans.display());
    let entry = deployment.entries.iter().find_map(|entry| entry.callers);
    let entry = entry.map_or_else(String::new, |entry| entry.to_string());
    let agent = deployment.agents.first().map(|agent| agent.internal);
    let agent = agent.map_or_else(String::new, |agent| agent.to_string());
    let chat =
        r#"{"model":"pasta","max_tokens":8,"messages":[{"role":"user","content":"ravioli?"}]"#;
    let post = "-H 'Content-Type: application/json' -i";
    [
        String::new(),
        "# an answer of the model, whole and as a stream".to_owned(),
        format!("curl {post} -H 'Authorization: Bearer {PAID_KEY}' -d '{chat}}}' http://{entry}/v1/chat/completions"),
        format!("curl {post} -N -H 'Authorization: Bearer {TRIAL_KEY}' -d '{chat},\"stream\":true}}' http://{entry}/v1/chat/completions"),
        "# a booking; send it again and it is answered from the first run".to_owned(),
        format!("curl {post} -H 'Authorization: Bearer {PAID_KEY}' -H 'Idempotency-Key: brunch-1' -d '{{\"kilos\":40}}' http://{entry}/services/booking/orders"),
        "# a key that nobody holds".to_owned(),
        format!("curl -i -H 'Authorization: Bearer nobody' http://{entry}/v1/models"),
        "# what operators see".to_owned(),
        format!("{program} status --settings {settings}"),
        format!("{program} lists --settings {settings}"),
        format!("{program} apply {customers} {plans} --settings {settings} --dry-run"),
        format!("{program} dump {agent} --settings {settings}"),
    ]
    .join("\n")
}
