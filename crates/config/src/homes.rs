//! Homes: the regions to which the messages of a route or a tenant are restricted.

use std::collections::BTreeSet;

/// The regions in which requests may be run, stored and cached: any region, or a set of regions.
/// The set is empty if two restrictions have no region in common.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Homes {
    /// `None`: any region.
    regions: Option<BTreeSet<String>>,
}

impl Homes {
    /// The restriction set by the `domains` of a route or a tenant; an empty list is no restriction.
    pub fn of(domains: &[String]) -> Homes {
        let regions = (!domains.is_empty()).then(|| domains.iter().cloned().collect());
        Homes { regions }
    }

    /// The intersection of both restrictions.
    pub fn and(self, other: Homes) -> Homes {
        let regions = match (self.regions, other.regions) {
            (Some(one), Some(two)) => Some(one.intersection(&two).cloned().collect()),
            (one, two) => one.or(two),
        };
        Homes { regions }
    }

    pub fn allows(&self, region: &str) -> bool {
        self.regions.as_ref().is_none_or(|regions| regions.contains(region))
    }

    /// Whether there is a restriction.
    pub fn is_bound(&self) -> bool {
        self.regions.is_some()
    }

    /// Whether no region is allowed.
    pub fn is_nowhere(&self) -> bool {
        self.regions.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// The allowed regions in sorted order; empty if any region is allowed.
    pub fn regions(&self) -> impl Iterator<Item = &str> {
        self.regions.iter().flatten().map(String::as_str)
    }
}

/// Checks that no region name is empty.
pub(crate) fn check_domains(domains: &[String]) -> Result<(), String> {
    if domains.iter().any(String::is_empty) {
        return Err("domains: a region has no name".into());
    }
    Ok(())
}
