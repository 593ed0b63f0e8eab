//! Tests of budgets whose leases and transfers compete.

use std::{sync::atomic::Ordering::Relaxed, thread::sleep, time::Duration};

use bytes::Bytes;
use fulmarweir_bounds::{BudgetExhausted, LeasedBuffer, MemoryBudget, TransferChannel};

const LIMIT: usize = 64 * 1024;
const SMALL: usize = 8 * 1024;
/// Longer than the age from which transfers may be cancelled.
const GRACE: Duration = Duration::from_millis(300);

#[test]
fn large_leases_leave_a_quarter_to_small_ones() {
    let budget = MemoryBudget::new(LIMIT, SMALL);
    let (mut large, mut other, mut small) = (budget.lease(), budget.lease(), budget.lease());
    assert_eq!(large.grow_to(LIMIT * 3 / 4), Ok(()));
    assert_eq!(other.grow_to(SMALL + 1), Err(BudgetExhausted));
    assert_eq!(small.grow_to(SMALL), Ok(()));
    assert_eq!(other.held(), 0, "a lease that was refused holds nothing");
    drop(large);
    assert_eq!(budget.used(), SMALL);
}

#[test]
fn a_budget_has_room_for_a_body_of_the_largest_size() {
    let budget = MemoryBudget::new(LIMIT, SMALL);
    budget.make_room_for(4 * LIMIT, 8 * LIMIT);
    assert_eq!(budget.lease().grow_to(4 * LIMIT), Ok(()));
    // A size that does not fit the memory of any machine.
    budget.make_room_for(usize::MAX, 16 * LIMIT);
    assert_eq!(budget.lease().grow_to(16 * LIMIT), Err(BudgetExhausted));
}

/// Load pattern: most transfers stop, one goes on.
#[test]
fn the_slowest_transfers_are_cancelled_once_half_is_used() {
    let budget = MemoryBudget::new(LIMIT, SMALL);
    let start = || {
        let channel = TransferChannel::default();
        let mut transfer = budget.start_transfer_on(channel.clone());
        transfer.grow_to(LIMIT / 4).unwrap();
        (channel, transfer)
    };
    let (slow, _slow_transfer) = start();
    let (fast, _fast_transfer) = start();
    sleep(GRACE);
    fast.moved.fetch_add(1_000, Relaxed);
    let (young, _young_transfer) = start();
    assert!(slow.cancelled.is_cancelled());
    assert!(!fast.cancelled.is_cancelled(), "cancelling one is enough");
    assert!(!young.cancelled.is_cancelled());
}

#[test]
fn frozen_bytes_keep_their_lease() {
    let budget = MemoryBudget::new(LIMIT, SMALL);
    let mut buffer = LeasedBuffer::new(budget.start_transfer());
    buffer.append(&[1; SMALL]).unwrap();
    let body: Bytes = buffer.freeze();
    let part = body.slice(1..2);
    drop(body);
    assert_eq!(budget.used(), SMALL);
    drop(part);
    assert_eq!(budget.used(), 0);
}

#[test]
fn memory_that_is_in_use_already_counts_beyond_the_limit() {
    let budget = MemoryBudget::new(LIMIT, SMALL);
    let channel = TransferChannel::default();
    let mut transfer = budget.start_transfer_on(channel.clone());
    transfer.grow_beyond_limit(LIMIT);
    let mut other = budget.start_transfer();
    other.grow_beyond_limit(LIMIT);
    assert_eq!(budget.used(), 2 * LIMIT);
    assert!(
        channel.cancelled.is_cancelled(),
        "the one that was there before"
    );
}
