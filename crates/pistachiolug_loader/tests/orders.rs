//! What an agent may conclude from its engine's reports about load orders.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pistachiolug_loader::{
    engine::{Layers, Report},
    orders::{self, MAX_VERIFICATION_AGE, Orders},
    predecessor::Order,
};

const MODEL: &str = "penne";

fn report(version: Option<u64>, accepted_orders: u64, started_ms: u64) -> Report {
    Report {
        models: version
            .map(|version| (MODEL.to_owned(), version))
            .into_iter()
            .collect(),
        is_partial: false,
        busy: false,
        accepted_orders,
        started_ms,
    }
}

/// Returns the version whose load is unconfirmed.
fn unconfirmed(orders: &Orders) -> Option<u64> {
    orders.unconfirmed().and_then(|load| load.version)
}

/// Returns what is known of an engine that holds version 1 after it has accepted four orders, and of which the predecessor's
/// load was checked.
fn checked_engine() -> Orders {
    let mut orders = Orders::default();
    orders.observe(MODEL, &report(Some(1), 4, 7), Duration::ZERO);
    orders.confirm();
    orders
}

/// Returns what is known after an order for version 2 was sent at 1 s and not answered.
fn unanswered_order() -> Orders {
    let mut orders = checked_engine();
    let before = report(Some(1), 4, 7);
    orders.inherit(Order::None, Duration::ZERO);
    orders.send(2, Layers::All, &before, Duration::from_secs(1));
    orders
}

/// Guards against pieces of another version that are staged while the engine may still accept the order.
#[test]
fn no_other_version_is_staged_while_an_order_is_unanswered() {
    let mut orders = unanswered_order();

    orders.observe(MODEL, &report(Some(1), 4, 7), Duration::from_secs(3));

    assert!(orders.may_stage(2) && !orders.may_stage(3));
    let finish = |is_whole| orders.must_finish(Duration::from_secs(4), |_| is_whole);
    assert_eq!((finish(true), finish(false)), (Some(2), None));
}

/// Each repetition could put off the moment at which a version that can't be completed is given up.
#[test]
fn a_repeated_order_counts_from_the_first_one() {
    let mut orders = unanswered_order();

    orders.send(
        2,
        Layers::All,
        &report(Some(1), 4, 7),
        Duration::from_secs(9),
    );

    assert_eq!(
        orders.pending().unwrap().first_sent_at,
        Duration::from_secs(1)
    );
    assert_eq!(orders.must_finish(Duration::from_secs(9), |_| false), None);
}

/// Nobody knows when the engine accepted it, so the pieces have to be read again.
#[test]
fn a_load_by_an_unanswered_order_is_unconfirmed() {
    let mut orders = unanswered_order();

    orders.observe(MODEL, &report(Some(2), 5, 7), Duration::from_secs(3));

    assert_eq!((orders.pending(), unconfirmed(&orders)), (None, Some(2)));
    assert!(!orders.must_settle(3) && !orders.may_stage(3));
}

/// An engine that is busy loading reports no version.
#[test]
fn a_load_that_is_under_way_by_an_unanswered_order_is_unconfirmed() {
    let mut orders = unanswered_order();
    let busy = Report {
        busy: true,
        ..report(None, 5, 7)
    };

    orders.observe(MODEL, &busy, Duration::from_secs(3));

    assert_eq!(unconfirmed(&orders), Some(2));
}

/// The replacement has accepted an order that this agent knows for its predecessor's only.
#[test]
fn a_load_by_an_engine_that_was_replaced_is_unconfirmed() {
    let mut orders = unanswered_order();
    orders.accept(2, Layers::All, &report(Some(1), 4, 7), true);

    orders.observe(MODEL, &report(Some(2), 1, 8), Duration::from_secs(3));

    assert_eq!(unconfirmed(&orders), Some(2));
}

/// A restarted engine has nothing of the orders of its predecessor.
#[test]
fn a_restart_settles_an_unanswered_order() {
    let mut orders = unanswered_order();

    orders.observe(MODEL, &report(Some(1), 0, 8), Duration::from_secs(3));

    assert_eq!((orders.pending(), unconfirmed(&orders)), (None, None));
}

/// The case review/11: an agent that starts does not know whether the pieces were whole that its engine has taken.
#[test]
fn a_load_before_the_start_is_unconfirmed_until_it_is_checked() {
    let mut orders = Orders::default();

    orders.observe(MODEL, &report(Some(2), 5, 7), Duration::ZERO);
    orders.observe(MODEL, &report(Some(2), 5, 7), Duration::from_secs(20));
    let before = unconfirmed(&orders);
    orders.confirm();
    orders.observe(MODEL, &report(Some(2), 5, 7), Duration::from_secs(21));

    assert_eq!((before, unconfirmed(&orders)), (Some(2), None));
}

/// The engine was started with what it holds.
#[test]
fn an_engine_that_has_accepted_no_order_needs_no_check() {
    let mut orders = Orders::default();

    orders.observe(MODEL, &report(Some(1), 0, 7), Duration::ZERO);

    assert_eq!(unconfirmed(&orders), None);
}

/// An engine that is busy at the start reports its version when the load is done.
#[test]
fn a_load_that_is_under_way_at_the_start_is_unconfirmed() {
    let mut orders = Orders::default();
    let busy = Report {
        busy: true,
        ..report(None, 5, 7)
    };

    orders.observe(MODEL, &busy, Duration::ZERO);
    let is_known = orders.unconfirmed().is_some();
    orders.observe(MODEL, &report(Some(2), 5, 7), Duration::from_secs(1));

    assert_eq!((is_known, unconfirmed(&orders)), (true, Some(2)));
}

/// What the predecessor has ordered is known only from the staged pieces.
#[test]
fn nothing_is_staged_before_it_is_known_what_the_predecessor_may_have_ordered() {
    let rows = [
        (Order::None, true, true),
        (Order::For(2), true, false),
        (Order::Unidentified, false, false),
    ];

    for (order, may_stage_2, may_stage_3) in rows {
        let mut orders = checked_engine();
        assert!(!orders.may_stage(2) && !orders.may_stage(3));
        orders.inherit(order, Duration::from_secs(1));

        let may_stage = (orders.may_stage(2), orders.may_stage(3));
        assert_eq!(may_stage, (may_stage_2, may_stage_3), "{order:?}");
    }
}

/// Without an end, unreadable manifests would keep an agent from all versions.
#[test]
fn an_order_of_the_predecessor_is_forgotten_in_the_end() {
    for order in [None, Some(Order::Unidentified)] {
        let mut orders = checked_engine();
        if let Some(order) = order {
            orders.inherit(order, Duration::from_secs(1));
        }

        orders.observe(MODEL, &report(Some(1), 4, 7), Duration::from_secs(15));

        assert!(orders.may_stage(3), "{order:?}");
    }
}

/// An engine that stands still carries out later what it received before.
#[test]
fn an_order_lives_on_while_the_engine_does_not_answer() {
    let mut orders = checked_engine();
    orders.inherit(Order::Unidentified, Duration::from_secs(1));

    orders.record_silence(Duration::from_secs(14));
    orders.observe(MODEL, &report(Some(1), 4, 7), Duration::from_secs(28));
    let before = orders.may_stage(3);
    orders.observe(MODEL, &report(Some(1), 4, 7), Duration::from_secs(29));

    assert_eq!((before, orders.may_stage(3)), (false, true));
}

/// The predecessor's order may still be accepted.
#[test]
fn a_version_that_was_staged_before_the_start_is_loaded_first() {
    let mut orders = checked_engine();

    orders.adopt(2, Duration::from_secs(1));

    assert!(orders.may_stage(2) && !orders.may_stage(3));
}

/// What this agent has staged and ordered itself is no remainder of a predecessor.
#[test]
fn a_version_that_is_staged_after_an_own_order_is_not_adopted() {
    let mut orders = unanswered_order();
    orders.accept(2, Layers::All, &report(Some(1), 4, 7), true);

    orders.adopt(3, Duration::from_secs(2));

    assert_eq!(orders.pending(), None);
}

/// Without an end, an engine that drops orders would keep its agent from all newer versions.
#[test]
fn an_unanswered_order_is_forgotten_in_the_end() {
    let mut orders = unanswered_order();

    orders.observe(MODEL, &report(Some(1), 4, 7), Duration::from_secs(16));

    assert!(orders.may_stage(3));
}

/// Guards against an earlier order that is forgotten because the engine rejects a repetition.
#[test]
fn a_rejected_repetition_leaves_the_first_order_pending() {
    let mut orders = unanswered_order();

    let before = orders.send(
        2,
        Layers::All,
        &report(Some(1), 4, 7),
        Duration::from_secs(2),
    );
    orders.reject(before);

    assert_eq!(orders.pending(), before);
    assert!(before.is_some());
}

/// Pieces may turn corrupt, and unanswered writes may be carried out, between verification and acceptance.
#[test]
fn pieces_are_whole_only_if_nothing_can_have_changed_since_their_verification() {
    let at = Duration::from_secs(20);
    let late = at + MAX_VERIFICATION_AGE + Duration::from_millis(1);
    let rows = [
        (at, at + MAX_VERIFICATION_AGE, None, true),
        (at, late, None, false),
        (at, at, Some(Duration::from_secs(19)), false),
        (at, at, Some(Duration::from_secs(4)), true),
    ];

    for (verified_at, accepted_at, unanswered_at, expected) in rows {
        let is_whole = orders::is_whole(verified_at, accepted_at, unanswered_at);

        assert_eq!(is_whole, expected, "{accepted_at:?} {unanswered_at:?}");
    }
}

/// The engine may accept a repetition as late as the first order, and forgets neither.
#[test]
fn a_repeated_order_stays_pending_for_as_long_as_the_first_one() {
    let mut orders = unanswered_order();

    orders.send(
        2,
        Layers::All,
        &report(Some(1), 4, 7),
        Duration::from_secs(14),
    );
    orders.observe(MODEL, &report(Some(1), 4, 7), Duration::from_millis(16_500));

    assert!(!orders.may_stage(3));
}

/// The engine reports no version while it loads, and is seen to load first.
#[test]
fn a_load_that_is_under_way_without_a_known_order_is_unconfirmed_once_it_is_done() {
    let mut orders = Orders::default();
    orders.observe(MODEL, &report(Some(1), 4, 7), Duration::ZERO);
    let busy = Report {
        busy: true,
        ..report(None, 5, 7)
    };

    orders.observe(MODEL, &busy, Duration::from_secs(1));
    orders.observe(MODEL, &report(Some(2), 5, 7), Duration::from_secs(2));

    assert_eq!(unconfirmed(&orders), Some(2));
}
