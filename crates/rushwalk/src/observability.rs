//! What a controller reports about itself: where its time goes, whether its event loop
//! keeps up, and for how long it did not serve as usual.

pub(crate) mod incidents;
pub(crate) mod rejections;
pub(crate) mod runtime_lag;
pub mod work_profile;
