//! Panics outside supervised services; alone in its file, because the hook is the process's.

use std::{thread, time::Duration};

use pistachiolug_kernel::kernel::Kernel;

#[tokio::test]
async fn a_panic_on_any_thread_takes_the_process_down_in_order() {
    let kernel = Kernel::start("entry-1");
    let worker = thread::spawn(|| panic!("prompt: how many ravioli?"));
    assert!(worker.join().is_err());

    let ended = kernel.run(Duration::from_secs(60), || true).await;

    let reason = ended.expect_err("the failure is reported").to_string();
    assert!(reason.starts_with("panic at "), "{reason}");
    assert!(!reason.contains("ravioli"), "the text stays out: {reason}");
    let dump = kernel.dump.render();
    assert_eq!(dump["failure"], reason);
    assert_eq!(dump["phase"], "stopped");
}
