//! Panics outside supervised services. The test is alone in its file, because the panic hook belongs to the whole
//! process.

use std::{thread, time::Duration};

use pistachiolug_kernel::kernel::Kernel;

/// A panic in a thread that nobody awaits must not leave the process running with a part missing. The panic message may
/// contain a caller's prompt, so it must not appear in the reported reason.
#[tokio::test]
async fn a_panic_on_any_thread_starts_the_ordered_shutdown() {
    let kernel = Kernel::start("entry-1");
    let worker = thread::spawn(|| panic!("prompt: how many ravioli?"));
    assert!(worker.join().is_err());

    let result = kernel.run(Duration::from_secs(60), || true).await;

    let reason = result.expect_err("the failure is reported").to_string();
    assert!(reason.starts_with("panic at "), "{reason}");
    assert!(
        !reason.contains("ravioli"),
        "the panic message is shown: {reason}"
    );
    let dump = kernel.dump.render();
    assert_eq!(dump["failure"], reason);
    assert_eq!(dump["phase"], "stopped");
}
