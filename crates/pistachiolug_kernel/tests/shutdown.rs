//! Ordered shutdown, services by name, and what happens when a service fails.

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

const DRAIN: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Lists(u32);

fn readiness(kernel: &Kernel) -> u16 {
    let reply = kernel.admin().serve("/readyz").expect("path is served");
    reply.status().as_u16()
}

#[tokio::test]
async fn services_find_each_other_by_name_and_type() {
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

#[tokio::test]
async fn a_draining_process_is_not_ready_and_waits_for_its_calls() {
    let kernel = Kernel::default();
    assert_eq!(readiness(&kernel), 503, "not ready before it runs");
    let calls = Arc::new(AtomicBool::new(true));
    let running = {
        let (kernel, calls) = (kernel.clone(), Arc::clone(&calls));
        tokio::spawn(async move { kernel.run(DRAIN, || !calls.load(Ordering::Acquire)).await })
    };
    kernel.control().wait_for(Phase::Running).await;
    assert_eq!(readiness(&kernel), 200);

    kernel.control().advance(Phase::Draining);
    assert_eq!(readiness(&kernel), 503);
    assert_eq!(kernel.admin().serve("/healthz").unwrap().status(), 200);
    assert!(!running.is_finished(), "a call is still running");

    calls.store(false, Ordering::Release);
    let ended = running.await.expect("run does not panic");
    assert!(ended.is_ok());
    assert_eq!(kernel.control().phase(), Phase::Stopped);
}

#[tokio::test]
async fn the_drain_deadline_ends_the_wait() {
    let kernel = Kernel::default();
    kernel.control().advance(Phase::Draining);

    let ended = kernel.run(Duration::from_millis(1), || false).await;

    assert!(ended.is_ok());
}

#[tokio::test]
async fn a_service_that_panics_takes_the_process_down_in_order() {
    let kernel = Kernel::default();
    kernel.supervisor.spawn("weights", async {
        panic!("index out of bounds");
    });

    let ended = kernel.run(DRAIN, || true).await;

    let Err(Error::Failed { reason }) = ended else {
        panic!("the failure is reported, got {ended:?}");
    };
    assert_eq!(reason, "service `weights` panicked");
    assert_eq!(kernel.control().phase(), Phase::Stopped);
}

#[tokio::test]
async fn a_service_that_ends_early_counts_as_failed() {
    let kernel = Kernel::default();
    kernel.supervisor.spawn("lists", async {});

    let ended = kernel.run(DRAIN, || true).await;

    let reason = ended.expect_err("the failure is reported").to_string();
    assert_eq!(reason, "service `lists` ended early");
}

#[tokio::test(start_paused = true)]
async fn a_failed_process_does_not_wait_for_calls_that_never_end() {
    let hours = Duration::from_secs(7_200);
    let kernel = Kernel::default();
    kernel.supervisor.spawn("calls", async { panic!("lost") });
    let start = tokio::time::Instant::now();

    let ended = kernel.run(hours, || false).await;

    assert!(ended.is_err());
    assert!(start.elapsed() < hours, "time on the paused clock");
}
