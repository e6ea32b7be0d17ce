//! Bounded sets of label values of metrics.

use pistachiolug_kernel::{
    kernel::Kernel,
    metric::{Counters, Error, MAX_SERIES},
};

/// Label values from outside, such as customer names, must not create a series each: their number has no limit.
#[test]
fn unregistered_label_values_share_one_series() {
    let kernel = Kernel::default();
    let outcomes = &["answered", "not-run"];
    let counters = Counters::register(&kernel.metrics, "calls", "Calls.", "outcome", outcomes);
    let counters = counters.expect("name is free");

    counters.get("answered").inc();
    for customer in 0..1_000 {
        counters.get(&format!("customer-{customer}")).inc();
    }

    let series_count = kernel.metrics.gather()[0].get_metric().len();
    assert_eq!(series_count, 3);
    assert_eq!(counters.get("anything").get(), 1_000);
}

/// A metric with too many series, or with a name that is already registered, must fail at start.
#[test]
fn metrics_with_too_many_series_or_a_taken_name_are_rejected() {
    let kernel = Kernel::default();
    let too_many = vec!["value"; MAX_SERIES + 1];

    let rejected = Counters::register(&kernel.metrics, "calls", "Calls.", "outcome", &too_many);
    let first = Counters::register(&kernel.metrics, "calls", "Calls.", "outcome", &["a"]);
    let second = Counters::register(&kernel.metrics, "calls", "Calls.", "outcome", &["a"]);

    assert!(matches!(rejected, Err(Error::TooManySeries { .. })));
    assert!(first.is_ok());
    assert!(matches!(second, Err(Error::Library { .. })));
}
