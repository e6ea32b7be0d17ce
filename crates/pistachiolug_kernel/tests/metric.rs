//! Bounded label sets of metrics.

use pistachiolug_kernel::{
    kernel::Kernel,
    metric::{Counters, Error, MAX_SERIES},
};

#[test]
fn values_from_outside_share_one_series() {
    let kernel = Kernel::default();
    let codes = &["answered", "not-run"];
    let counters = Counters::register(&kernel.metrics, "calls", "Calls.", "outcome", codes);
    let counters = counters.expect("name is free");

    counters.get("answered").inc();
    for customer in 0..1_000 {
        counters.get(&format!("customer-{customer}")).inc();
    }

    let series = kernel.metrics.gather()[0].get_metric().len();
    assert_eq!(series, 3);
    assert_eq!(counters.get("anything").get(), 1_000);
}

#[test]
fn unbounded_and_doubled_metrics_are_refused() {
    let kernel = Kernel::default();
    let many = vec!["value"; MAX_SERIES + 1];

    let unbounded = Counters::register(&kernel.metrics, "calls", "Calls.", "outcome", &many);
    let first = Counters::register(&kernel.metrics, "calls", "Calls.", "outcome", &["a"]);
    let second = Counters::register(&kernel.metrics, "calls", "Calls.", "outcome", &["a"]);

    assert!(matches!(unbounded, Err(Error::TooManySeries { .. })));
    assert!(first.is_ok());
    assert!(matches!(second, Err(Error::Library { .. })));
}
