//! How old the board says that it is.

use super::Board;

#[test]
fn news_from_before_the_start_is_as_old_as_it_is() {
    let board = Board::new(8);
    assert_eq!(board.age_ms(), None);
    board.hear(60_000);
    assert!(board.age_ms() >= Some(60_000), "{:?}", board.age_ms());
    board.hear(0);
    assert!(board.age_ms() < Some(60_000));
}
