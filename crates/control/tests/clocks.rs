//! Clocks that step: the fleet's time, and incarnations that began by a wrong clock.

use control::ClusterClock;
use rpc::{after, new_incarnation, possible};

const TRUE: u64 = 1_790_000_000_000;

/// A fleet whose steady clock starts at 0 when the time is `TRUE`.
fn told(g: &mut ClusterClock, now: u64, clocks: usize, off: usize, by: i64) {
    for n in 0..clocks {
        let step = if n < off { by } else { 0 };
        // Clocks differ a little in any case.
        let skew = n as i64 % 7 - 3;
        g.hear(&format!("store-{n}"), (TRUE as i64 + now as i64 + step + skew) as u64, now);
    }
}

fn off(g: &ClusterClock, now: u64) -> i64 {
    g.time(now).expect("a time") as i64 - (TRUE + now) as i64
}

#[test]
fn a_third_of_the_clocks_stepping_does_not_move_the_time() {
    for by in [-2400, 2400, -86_400_000, 86_400_000] {
        let mut g = ClusterClock::new(50, 2000);
        // All come back at once in the middle of the step: its leader has no memory.
        told(&mut g, 1000, 60, 20, by);
        g.settle(31, 1000);
        assert!(off(&g, 1000).abs() <= 10, "step of {by}: {}", off(&g, 1000));
        // The step ends; nothing moves.
        let before = off(&g, 1500);
        told(&mut g, 1500, 60, 0, 0);
        g.settle(31, 1500);
        assert_eq!(before, off(&g, 1500));
    }
}

#[test]
fn too_few_clocks_make_no_time() {
    let mut g = ClusterClock::new(50, 2000);
    told(&mut g, 100, 3, 3, 5000);
    g.settle(31, 100);
    assert_eq!(g.time(100), None, "three that came first do not decide for sixty");
    told(&mut g, 200, 40, 3, 5000);
    g.settle(31, 200);
    assert!(off(&g, 200).abs() <= 10);
    // A wrong one is mended once the others are heard; old words do not count.
    let mut g = ClusterClock::new(50, 2000);
    told(&mut g, 100, 2, 2, 5000);
    g.settle(1, 100);
    assert!(off(&g, 100) > 4000);
    told(&mut g, 300, 9, 2, 5000);
    g.settle(1, 300);
    assert!(off(&g, 300).abs() <= 10);
    g.settle(1, 9000);
    assert!(off(&g, 9000).abs() <= 10, "goes on by the steady clock when nobody tells any more");
}

#[test]
fn a_incarnation_orders_rightly_whatever_the_clock_did() {
    let (a, b) = (new_incarnation(), new_incarnation());
    assert!(possible(a) && possible(b));
    assert_ne!(a, b, "two starts in one millisecond are two incarnations");
    // One that began while the clock was ahead is followed by one that is told so.
    let ahead = a + (86_400_000 << 20);
    assert!(after(ahead) > ahead && possible(after(ahead)));
    assert!(!possible(u64::MAX), "an incarnation that cannot be is none");
}
