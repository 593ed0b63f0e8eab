//! Parsers of single values; each says what it expected when it fails.

use std::{borrow::Cow, fmt::Display, net::SocketAddr, ops::RangeInclusive, str::FromStr};

/// What a value parser expected.
#[derive(Debug)]
pub(crate) struct Expectation(pub(crate) Cow<'static, str>);

/// Result of parsing one value.
pub(crate) type Result<T> = std::result::Result<T, Expectation>;

/// An expectation with fixed wording.
pub(crate) const fn expected(text: &'static str) -> Expectation {
    Expectation(Cow::Borrowed(text))
}

/// A whole or decimal number inside `range`.
pub(crate) fn number<T>(value: &str, range: &RangeInclusive<T>) -> Result<T>
where
    T: Display + FromStr + PartialOrd,
{
    let number = value.parse().ok().filter(|number| range.contains(number));
    number.ok_or_else(|| {
        let text = format!("a number from {} to {}", range.start(), range.end());
        Expectation(text.into())
    })
}

/// `true` or `false`.
pub(crate) fn flag(value: &str) -> Result<bool> {
    value.parse().map_err(|_| expected("true or false"))
}

/// An IP address and a port.
pub(crate) fn address(value: &str) -> Result<SocketAddr> {
    value
        .parse()
        .map_err(|_| expected("IP:PORT, such as 127.0.0.1:7000 or [::1]:7000"))
}

/// An address that others can connect to.
pub(crate) fn reachable_address(value: &str) -> Result<SocketAddr> {
    let address = address(value)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(expected("IP:PORT with a concrete IP number and port"));
    }
    Ok(address)
}

/// One of the names of `base`.
pub(crate) fn name<T: FromStr>(value: &str) -> Result<T> {
    let wording = "1 to 64 of a-z 0-9 - _ . /, starting with a letter or digit";
    value.parse().map_err(|_| expected(wording))
}

/// Comma-separated items, each by `parse_item`; an empty value is an empty list.
pub(crate) fn list<T>(
    value: &str,
    items_max: usize,
    parse_item: impl Fn(&str) -> Result<T>,
) -> Result<Vec<T>> {
    if value.is_empty() {
        return Ok(Vec::new());
    }
    let items = value.split(',').map(str::trim);
    if items.clone().count() > items_max {
        let text = format!("at most {items_max} items");
        return Err(Expectation(text.into()));
    }
    items.map(parse_item).collect()
}
