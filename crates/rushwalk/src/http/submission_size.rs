//! Checks that everything which must be stored of a submitted job at once can be stored.

use crate::scheduling::largest_gang_assignment;
use crate::store::{LogWriter, Replica};
use rushwalk_protocol::jobs::{JobSpec, Shape};
use rushwalk_state::mutation::SubmitJob;
use rushwalk_state::{Mutation, UnixMillis};
use std::sync::Arc;

/// A job is too large for the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum SubmissionTooLarge {
    /// The job itself exceeds the size limit of a value.
    #[error("its lists are too long")]
    Lists,
    /// The assignment of all tasks of the gang exceeds the size limit of a value.
    #[error("a gang of {0} tasks is too large to start at the same time")]
    Gang(u32),
}

/// Checks that the store can hold a job and, if it is a gang, its assignment to the present shards.
/// A larger gang would wait for good: it is assigned by a single mutation.
///
/// # Errors
///
/// What exceeds the size limit of a value.
pub(super) fn check_size(
    spec: &JobSpec,
    log: &LogWriter,
    replica: &Replica,
) -> Result<(), SubmissionTooLarge> {
    let submit = Mutation::Submit(SubmitJob {
        spec: Arc::new(spec.clone()),
        accepted_ms: UnixMillis::MAX,
    });
    if !log.fits_value(&submit) {
        return Err(SubmissionTooLarge::Lists);
    }
    if spec.shape == Shape::Gang {
        let shards = replica.state().shards.keys().cloned().collect();
        if !log.fits_value(&largest_gang_assignment(spec, shards)) {
            return Err(SubmissionTooLarge::Gang(spec.tasks));
        }
    }
    Ok(())
}
