//! Homes: the regions to which the messages of a route or a tenant are bound.

use std::collections::BTreeSet;

/// The regions in which something may be run, kept and cached: any, or those of a set, which
/// may be empty where two bounds have no region in common.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Homes {
    /// `None`: any region.
    regions: Option<BTreeSet<String>>,
}

impl Homes {
    /// What a route or a tenant with these `domains` asks for; an empty list binds nothing.
    pub fn of(domains: &[String]) -> Homes {
        let regions = (!domains.is_empty()).then(|| domains.iter().cloned().collect());
        Homes { regions }
    }

    /// What keeps both bounds.
    pub fn and(self, other: Homes) -> Homes {
        let regions = match (self.regions, other.regions) {
            (Some(one), Some(two)) => Some(one.intersection(&two).cloned().collect()),
            (one, two) => one.or(two),
        };
        Homes { regions }
    }

    /// Whether a region is allowed.
    pub fn allows(&self, region: &str) -> bool {
        self.regions.as_ref().is_none_or(|regions| regions.contains(region))
    }

    /// Whether not every region is allowed.
    pub fn is_bound(&self) -> bool {
        self.regions.is_some()
    }

    /// Whether no region is allowed.
    pub fn is_nowhere(&self) -> bool {
        self.regions.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// The regions of a bound, in their order; none where any is allowed.
    pub fn regions(&self) -> impl Iterator<Item = &str> {
        self.regions.iter().flatten().map(String::as_str)
    }
}

/// Checks a list of regions by itself.
pub(crate) fn check_domains(domains: &[String]) -> Result<(), String> {
    if domains.iter().any(String::is_empty) {
        return Err("domains: a region has no name".into());
    }
    Ok(())
}
