//! Ordered shutdown after a signal or a failure, and look-up of services by name.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use pistachiolug_kernel::{
    kernel::{Error, Kernel},
    phase::Phase,
    registry,
};

const MAX_DRAIN: Duration = Duration::from_secs(60);

/// Handle of a service; the number tells two handles apart.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Lists(u32);

/// Returns the status code of the readiness path.
fn readiness(kernel: &Kernel) -> u16 {
    let reply = kernel.admin().serve("/readyz").expect("path is served");
    reply.status().as_u16()
}

/// A wrong name, a wrong type or a duplicate name must be an error at start, not a panic or another service's handle.
#[tokio::test]
async fn services_are_found_by_name_and_type() {
    let kernel = Kernel::default();
    kernel.register("lists", Lists(7)).expect("name is free");

    assert_eq!(kernel.find::<Lists>("lists"), Ok(Lists(7)));
    let taken = kernel.register("lists", Lists(8)).unwrap_err();
    assert!(matches!(taken, registry::Error::Taken { .. }));
    let missing = kernel.find::<Lists>("weights").unwrap_err();
    assert_eq!(missing.to_string(), "no service named `weights`");
    let wrong = kernel.find::<String>("lists").unwrap_err();
    assert!(matches!(wrong, registry::Error::WrongType { .. }));
    assert_eq!(kernel.services.names(), ["lists"]);
}

/// A process that exits while calls run cuts off their answers, and one that still looks ready gets new calls.
#[tokio::test]
async fn a_draining_process_is_not_ready_and_waits_for_its_calls() {
    let kernel = Kernel::default();
    assert_eq!(readiness(&kernel), 503, "not ready before it runs");
    let has_calls = Arc::new(AtomicBool::new(true));
    let run = {
        let (kernel, has_calls) = (kernel.clone(), Arc::clone(&has_calls));
        tokio::spawn(async move {
            kernel
                .run(MAX_DRAIN, || !has_calls.load(Ordering::Acquire))
                .await
        })
    };
    kernel.control().wait_for(Phase::Running).await;
    assert_eq!(readiness(&kernel), 200);

    kernel.control().advance(Phase::Draining);
    assert_eq!(readiness(&kernel), 503);
    assert_eq!(kernel.admin().serve("/healthz").unwrap().status(), 200);
    assert!(!run.is_finished(), "a call is still running");

    has_calls.store(false, Ordering::Release);
    let result = run.await.expect("run does not panic");
    assert!(result.is_ok());
    assert_eq!(kernel.control().phase(), Phase::Stopped);
}

/// A call that never ends must not keep the process from stopping.
#[tokio::test]
async fn a_drain_ends_at_its_deadline() {
    let kernel = Kernel::default();
    kernel.control().advance(Phase::Draining);

    let result = kernel.run(Duration::from_millis(1), || false).await;

    assert!(result.is_ok());
}

/// Without the shutdown, the process would continue without the service that panicked.
#[tokio::test]
async fn a_service_that_panics_starts_the_ordered_shutdown() {
    let kernel = Kernel::default();
    kernel.supervisor.spawn("weights", async {
        panic!("index out of bounds");
    });

    let result = kernel.run(MAX_DRAIN, || true).await;

    let Err(Error::Failed { reason }) = result else {
        panic!("the failure is reported, got {result:?}");
    };
    assert_eq!(reason, "service `weights` panicked");
    assert_eq!(kernel.control().phase(), Phase::Stopped);
}

/// A service that returns before the process drains is missing just as one that panicked.
#[tokio::test]
async fn a_service_that_ends_early_counts_as_failed() {
    let kernel = Kernel::default();
    kernel.supervisor.spawn("lists", async {});

    let result = kernel.run(MAX_DRAIN, || true).await;

    let reason = result.expect_err("the failure is reported").to_string();
    assert_eq!(reason, "service `lists` ended early");
}

/// A failed service may keep calls open forever, so the drain after a failure is limited even if the settings allow
/// hours.
#[tokio::test(start_paused = true)]
async fn a_drain_after_a_failure_is_shortened() {
    let max_drain = Duration::from_secs(7_200);
    let kernel = Kernel::default();
    kernel.supervisor.spawn("calls", async { panic!("lost") });
    let start = tokio::time::Instant::now();

    let result = kernel.run(max_drain, || false).await;

    assert!(result.is_err());
    assert!(start.elapsed() < max_drain, "drained for the whole time");
}
