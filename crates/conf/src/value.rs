//! Parsers of single values. Each returns the expected form as its error.

use std::{borrow::Cow, fmt::Display, net::SocketAddr, ops::RangeInclusive, str::FromStr};

/// Error of a value parser: a description of the values that it accepts.
#[derive(Debug)]
pub(crate) struct Expectation(pub(crate) Cow<'static, str>);

/// Result of parsing one value.
pub(crate) type Result<T> = std::result::Result<T, Expectation>;

/// Creates an [`Expectation`] from a constant text.
pub(crate) const fn expected(text: &'static str) -> Expectation {
    Expectation(Cow::Borrowed(text))
}

/// Parses a number of type `T` that lies in `range`.
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

/// Parses `true` or `false`.
pub(crate) fn boolean(value: &str) -> Result<bool> {
    value.parse().map_err(|_| expected("true or false"))
}

/// Parses an IP address and a port.
pub(crate) fn address(value: &str) -> Result<SocketAddr> {
    value
        .parse()
        .map_err(|_| expected("IP:PORT, such as 127.0.0.1:7000 or [::1]:7000"))
}

/// Parses an IP address and a port that other processes can connect to: neither may be
/// unspecified.
pub(crate) fn reachable_address(value: &str) -> Result<SocketAddr> {
    let address = address(value)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err(expected("IP:PORT with a concrete IP number and port"));
    }
    Ok(address)
}

/// Parses one of the name types of `fulmarweir_base`, such as `VmName`.
pub(crate) fn name<T: FromStr>(value: &str) -> Result<T> {
    let text = "1 to 64 of a-z 0-9 - _ . /, starting with a letter or digit";
    value.parse().map_err(|_| expected(text))
}

/// Parses at most `items_max` comma-separated items with `parse_item`. An empty value is an empty
/// list.
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
