//! Identifiers. Each wraps a reference-counted string, so that cloning doesn't copy the
//! text, and serializes as a plain string.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// Defines an identifier type that wraps a reference-counted string.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> $name {
                $name(text.into())
            }
        }

        impl From<Arc<str>> for $name {
            fn from(text: Arc<str>) -> $name {
                $name(text)
            }
        }

        impl From<$name> for Arc<str> {
            fn from(id: $name) -> Arc<str> {
                id.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

string_id! {
    /// The id of a job, chosen by the user who submits it.
    JobId
}

string_id! {
    /// The id of a machine: the name that the cloud assigned to it.
    MachineId
}

string_id! {
    /// The id of a shard, which is a group of machines in one zone. The first shard of a
    /// zone has the zone's name; the names of further shards add `#` and a number.
    ShardId
}

string_id! {
    /// The id of a rental request. It is the request's idempotency key: repeating a
    /// fulfilled request with the same id rents no further machines.
    RentalId
}

impl ShardId {
    /// The zone of the shard's machines: the part of the id before any `#`.
    pub fn zone(&self) -> &str {
        self.0.split_once('#').map_or(&*self.0, |(zone, _)| zone)
    }
}

/// The id of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's index in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses a task name of the form that [`Display`](fmt::Display) writes, such as
    /// `j-000412/3`. Returns `None` if the text doesn't have that form.
    pub fn parse(name: &str) -> Option<TaskId> {
        let (job, index) = name.split_once('/')?;
        Some(TaskId {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The id of one attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The task that the attempt runs.
    pub task: TaskId,
    /// The attempt's number: the store revision at which the task was assigned to a shard for
    /// this attempt, so that no two attempts of a task share a number.
    pub attempt: u64,
}
