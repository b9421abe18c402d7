//! The images that a machine's cache is expected to hold, the most recently used one last.
//!
//! The list is only a basis of predictions, so it may lack images that the cache holds.

use crate::records::CachedImage;
use rushwalk_protocol::jobs::JobSpec;

/// Upper limit of the size of a machine's list of images, in bytes. Without it the list grows with
/// every image that takes little or no space of the cache, and with it each snapshot.
const MAX_LIST_BYTES: usize = 4 << 10;

/// The size of an item in the list, without the name of the image, in bytes.
const ITEM_BYTES: usize = 16;

/// Adds a job's image as the most recently used one. Evicts the least recently used images while
/// the capacity of the cache or the limit of the list is exceeded, but never the new one.
pub(super) fn record_use(images: &mut Vec<CachedImage>, spec: &JobSpec, capacity_gb: f64) {
    images.retain(|image| *image.name != *spec.image);
    images.push(CachedImage {
        name: spec.image.as_str().into(),
        size_gb: spec.image_gb,
    });
    limit_length(images);
    while images.len() > 1 && images.iter().map(|image| image.size_gb).sum::<f64>() > capacity_gb {
        images.remove(0);
    }
}

/// Adds images that were used less recently than those of the list, as far as there is room.
pub(super) fn add_older(images: &mut Vec<CachedImage>, mut older: Vec<CachedImage>) {
    older.append(images);
    *images = older;
    limit_length(images);
}

/// Removes the least recently used images while the list exceeds [`MAX_LIST_BYTES`], but never the
/// last one.
pub(super) fn limit_length(images: &mut Vec<CachedImage>) {
    let mut bytes = 0;
    let fits = |image: &&CachedImage| {
        bytes += image.name.len() + ITEM_BYTES;
        bytes <= MAX_LIST_BYTES
    };
    let kept = images.iter().rev().take_while(fits).count().max(1);
    let excess = images.len().saturating_sub(kept);
    images.drain(..excess);
}
