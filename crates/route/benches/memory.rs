//! Measures the memory allocated per decision and the size of an instance's state,
//! with 24 versions.
//!
//! `cargo bench -p route --bench memory`

mod site;

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicU64, Ordering},
};

use route::endpoint::Target;
use site::{SIZES, Site};

/// Allocator that counts the bytes and calls passed on to the system allocator.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicU64 = AtomicU64::new(0);
static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static FREED_BYTES: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        FREED_BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Number of decisions to average over.
const DECISIONS: u64 = 10_000;

fn main() {
    for endpoints in SIZES {
        let catalog = site::catalog(endpoints);
        let before = live_bytes();
        let site = Site::new(catalog, endpoints);
        let state_bytes = live_bytes() - before;
        let (allocated, calls) = (ALLOCATED_BYTES.load(Ordering::Relaxed), ALLOCATIONS.load(Ordering::Relaxed));
        for n in 0..DECISIONS {
            let choice = site.choose_model(usize::try_from(n).expect("at most 10,000"));
            let target = Target::Version(choice.start().version().clone());
            std::hint::black_box(site.choose_endpoint(&target, n));
        }
        println!(
            "{endpoints} endpoints: {} bytes in {} allocations per decision, all freed; {state_bytes} bytes of state for {} endpoints, {} versions",
            (ALLOCATED_BYTES.load(Ordering::Relaxed) - allocated) / DECISIONS,
            (ALLOCATIONS.load(Ordering::Relaxed) - calls) / DECISIONS,
            site.fleet.endpoints().count(),
            site.versions.len(),
        );
    }
}

fn live_bytes() -> u64 {
    ALLOCATED_BYTES.load(Ordering::Relaxed) - FREED_BYTES.load(Ordering::Relaxed)
}
