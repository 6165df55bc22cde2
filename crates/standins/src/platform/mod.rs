//! Stand-in for the platform: transactional table, object store, weight store and instance list.

mod api;
mod instances;
mod table;
mod weights;

pub use api::{Platform, PlatformOptions, platform_handler};
pub use instances::Instances;
pub use weights::WeightStore;
