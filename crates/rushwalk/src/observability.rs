//! What a controller measures about itself: the time spent on each kind of work, the lag of the
//! event loop, rejected requests, and the incidents during which it did not serve normally.

pub(crate) mod event_limiter;
pub(crate) mod incidents;
pub(crate) mod rejections;
pub(crate) mod runtime_lag;
pub mod work_profile;
pub(crate) mod worker_events;
