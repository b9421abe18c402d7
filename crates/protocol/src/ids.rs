//! Identifiers. Each wraps a shared string, so that a clone costs no copy, and is written
//! as that string.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// Defines an identifier type around a shared string.
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
    /// A job, by the name that its user chose.
    JobId
}

string_id! {
    /// A machine, by the name that the cloud gave it.
    MachineId
}

string_id! {
    /// A shard of the machines: its zone, followed by `#` and a number for all but the
    /// first shard of a zone.
    ShardId
}

string_id! {
    /// A rental request, by its idempotency key: repeating a request under the same name
    /// rents nothing more.
    RentalId
}

impl ShardId {
    /// The zone in which the shard's machines are.
    pub fn zone(&self) -> &str {
        self.0.split_once('#').map_or(&*self.0, |(zone, _)| zone)
    }
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's index in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads a task's name, such as `j-000412/3`, which is what is displayed; `None` if the
    /// text is none.
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

/// One attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// The revision at which the attempt was assigned, so that no number repeats.
    pub attempt: u64,
}
