//! Tests of the time that start times are compared with.

use super::LatestTime;

/// Guards against servers that count as started in the future after the router's clock stepped back.
#[test]
fn a_clock_that_steps_back_does_not_move_the_latest_time_back() {
    let mut time = LatestTime::default();
    assert_eq!(time.at(100_000, 1_000), 100_000);
    assert_eq!(time.at(41_000, 2_000), 101_000);
    assert_eq!(time.at(500_000, 3_000), 500_000);
}
