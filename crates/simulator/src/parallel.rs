//! Runs work on several threads and shows a progress bar.

use indicatif::{ProgressBar, ProgressStyle};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// The result for the item at `index`.
struct IndexedResult<T> {
    index: usize,
    result: T,
}

/// Applies `work` to each item, on at most `max_threads` threads and at most one per processor.
/// The results are in the order of the items.
pub(crate) fn map<T: Send, I: Sync>(
    max_threads: usize,
    items: &[I],
    work: impl Fn(&I) -> T + Sync,
) -> Vec<T> {
    let threads = thread::available_parallelism().map_or(1, |threads| threads.get());
    let threads = threads.min(max_threads).min(items.len());
    let bar = progress_bar(items.len());
    let next_index = AtomicUsize::new(0);
    let results: Mutex<Vec<IndexedResult<T>>> = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next_index.fetch_add(1, Ordering::Relaxed);
                    let Some(item) = items.get(index) else {
                        return;
                    };
                    let result = work(item);
                    if let Ok(mut results) = results.lock() {
                        results.push(IndexedResult { index, result });
                    }
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|result| result.index);
    results.into_iter().map(|result| result.result).collect()
}

fn progress_bar(length: usize) -> ProgressBar {
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos} of {len}, {eta} left") {
        bar.set_style(style);
    }
    bar
}
