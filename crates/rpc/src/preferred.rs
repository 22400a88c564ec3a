use crate::messages::Partition;

/// Whether one of the store machines in `live` is there to take what `gone` holds, as
/// after a replacement: with that it would hold no more than its part of all copies.
/// So it stays while the copies pass over one by one, and ends when work is spread
/// evenly over all machines.
pub fn has_replacement<'a>(all: &[Partition], gone: &str, live: impl Iterator<Item = &'a str>) -> bool {
    let held = |n: &str| all.iter().filter(|p| p.replicas.iter().any(|h| h == n)).count();
    let others: Vec<usize> = live.filter(|n| *n != gone).map(held).collect();
    let copies: usize = all.iter().map(|p| p.replicas.len()).sum();
    others.iter().min().is_some_and(|least| least + held(gone) <= copies.div_ceil(others.len()))
}
