//! Tests of the age of the shared state.

use super::SharedState;

#[test]
fn ages_from_before_the_start_are_kept() {
    let state = SharedState::new(8);
    assert_eq!(state.age_ms(), None);
    state.mark_up_to_date(60_000);
    assert!(state.age_ms() >= Some(60_000), "{:?}", state.age_ms());
    state.mark_up_to_date(0);
    assert!(state.age_ms() < Some(60_000));
}
