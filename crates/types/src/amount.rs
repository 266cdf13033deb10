//! Token counts and the budget tokens that they cost.

/// Number of tokens in a budget, a grant, a charge or a request.
pub type Tokens = u64;

/// Price of the standard priority class, in thousandths of a budget token per processed token:
/// one for one.
pub const PRICE_UNIT: u32 = 1_000;

/// Budget tokens charged for `tokens` processed tokens at `price` thousandths each, rounded up.
///
/// Saturates at [`Tokens::MAX`].
#[must_use]
pub fn cost(tokens: Tokens, price: u32) -> Tokens {
    let product = u128::from(tokens) * u128::from(price);
    let rounded = product.div_ceil(u128::from(PRICE_UNIT));
    Tokens::try_from(rounded).unwrap_or(Tokens::MAX)
}
