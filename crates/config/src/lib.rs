//! Parsing and validation of process settings and of the operator's configuration.

mod configuration;
mod freshness;
mod homes;
mod index;
mod settings;
mod tenant;
pub use configuration::*;
pub use freshness::Freshness;
pub use homes::Homes;
pub use index::*;
pub use settings::*;
pub use tenant::{TENANT_KEY_LIMIT, TENANT_NAME_LIMIT, Tenant, TenantList};
