//! Amounts of tokens and what they cost.

/// A count of tokens: of a budget, a grant, a charge or a run.
pub type Tokens = u64;

/// Price of the standard priority class: one budget token for one token run.
pub const PRICE_UNIT: u32 = 1_000;

/// Budget tokens drawn by `tokens` run at `price` thousandths, rounded up.
///
/// Saturates at [`Tokens::MAX`].
#[must_use]
pub fn cost(tokens: Tokens, price: u32) -> Tokens {
    let product = u128::from(tokens) * u128::from(price);
    let rounded = product.div_ceil(u128::from(PRICE_UNIT));
    Tokens::try_from(rounded).unwrap_or(Tokens::MAX)
}
