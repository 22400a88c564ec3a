use crate::messages::Partition;

/// Returns whether one of the store machines in `live` can take over the replicas of `gone`, as a
/// replacement machine would: with them it would hold no more than an even share of all replicas.
/// The result stays true while the replicas move over one by one, and becomes false when the
/// replicas are spread evenly over all machines.
pub fn has_replacement<'a>(all: &[Partition], gone: &str, live: impl Iterator<Item = &'a str>) -> bool {
    let replicas_on = |node: &str| all.iter().filter(|p| p.replicas.iter().any(|replica| replica == node)).count();
    let others: Vec<usize> = live.filter(|node| *node != gone).map(replicas_on).collect();
    let total: usize = all.iter().map(|p| p.replicas.len()).sum();
    others.iter().min().is_some_and(|least| least + replicas_on(gone) <= total.div_ceil(others.len()))
}
