//! Names of tasks.

use std::fmt;

/// A task's name in its parts, such as `j-000412/3`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TaskName<'a> {
    /// The job's id.
    pub job: &'a str,
    /// The task's number in its job, from 0.
    pub index: u32,
}

impl<'a> TaskName<'a> {
    /// Reads a task's name; `None` if the text is none.
    pub fn parse(name: &'a str) -> Option<TaskName<'a>> {
        let (job, index) = name.split_once('/')?;
        let index = index.parse().ok()?;
        Some(TaskName { job, index })
    }
}

impl fmt::Display for TaskName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
