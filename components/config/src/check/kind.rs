//! Readers of TOML values by kind; each reports a value that is not of its kind.

use std::{net::SocketAddr, ops::RangeInclusive};

use toml::de::DeValue;

use super::{
    report::Report,
    section::{Found, Value},
};

/// Non-empty string.
pub(crate) fn text<'t>(
    report: &mut Report<'_>,
    key: &str,
    value: &'t Value<'t>,
) -> Option<&'t str> {
    let Some(text) = value.get_ref().as_str() else {
        report_wrong_type(report, key, value, "a string");
        return None;
    };
    if text.trim().is_empty() {
        report.add(key, &value.span(), "is empty", "expected a non-empty string");
        return None;
    }
    Some(text)
}

/// Name of ASCII letters, digits, `-`, `_` and `.`, so that it can be used in table keys, URLs and
/// log lines.
pub(crate) fn name<'t>(
    report: &mut Report<'_>,
    key: &str,
    value: &'t Value<'t>,
) -> Option<&'t str> {
    let name = text(report, key, value)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !name.chars().all(is_allowed) {
        let remedy = "expected ASCII letters, digits, \"-\", \"_\" and \".\"";
        report.add(key, &value.span(), "has characters that names do not allow", remedy);
        return None;
    }
    Some(name)
}

/// `true` or `false`.
pub(crate) fn boolean(report: &mut Report<'_>, key: &str, value: &Value<'_>) -> Option<bool> {
    let boolean = value.get_ref().as_bool();
    if boolean.is_none() {
        report_wrong_type(report, key, value, "true or false");
    }
    boolean
}

/// Integer in a range.
pub(crate) fn integer(
    range: RangeInclusive<i64>,
) -> impl Fn(&mut Report<'_>, &str, &Value<'_>) -> Option<i64> {
    move |report, key, value| {
        let Some(integer) = value.get_ref().as_integer() else {
            report_wrong_type(report, key, value, "a whole number");
            return None;
        };
        let number = i64::from_str_radix(integer.as_str(), integer.radix()).ok();
        if number.is_none_or(|number| !range.contains(&number)) {
            let remedy = if *range.end() == i64::MAX {
                format!("expected {} or more", range.start())
            } else {
                format!("expected {} to {}", range.start(), range.end())
            };
            report.add(key, &value.span(), "is out of range", remedy);
            return None;
        }
        number
    }
}

/// Finite number that satisfies `is_valid`, which `expected` describes.
pub(crate) fn number(
    expected: &'static str,
    is_valid: impl Fn(f64) -> bool,
) -> impl Fn(&mut Report<'_>, &str, &Value<'_>) -> Option<f64> {
    move |report, key, value| {
        let parsed = match value.get_ref() {
            DeValue::Integer(integer) => {
                i64::from_str_radix(integer.as_str(), integer.radix()).ok().map(|n| n as f64)
            }
            DeValue::Float(float) => float.as_str().parse().ok(),
            _ => {
                report_wrong_type(report, key, value, "a number");
                return None;
            }
        };
        let number = parsed.filter(|number: &f64| number.is_finite() && is_valid(*number));
        if number.is_none() {
            report.add(key, &value.span(), "is out of range", format!("expected {expected}"));
        }
        number
    }
}

/// One of the given strings.
pub(crate) fn one_of<'t>(
    allowed: &'static [&'static str],
) -> impl Fn(&mut Report<'_>, &str, &'t Value<'t>) -> Option<&'t str> {
    move |report, key, value| {
        let Some(word) = value.get_ref().as_str() else {
            report_wrong_type(report, key, value, "a string");
            return None;
        };
        if !allowed.contains(&word) {
            let remedy = format!("expected one of {}", allowed.join(", "));
            report.add(key, &value.span(), "is not a known value", remedy);
            return None;
        }
        Some(word)
    }
}

/// IP address and port to listen on; port 0 lets the system choose a port.
pub(crate) fn listen_address(
    report: &mut Report<'_>,
    key: &str,
    value: &Value<'_>,
) -> Option<SocketAddr> {
    let Some(text) = value.get_ref().as_str() else {
        report_wrong_type(report, key, value, "a string with an IP address and port");
        return None;
    };
    let address = text.parse().ok();
    if address.is_none() {
        let remedy = "expected an IP address and port such as \"10.0.0.7:8080\"";
        report.add(key, &value.span(), "is not an address", remedy);
    }
    address
}

/// IP address and port to connect to.
pub(crate) fn remote_address(
    report: &mut Report<'_>,
    key: &str,
    value: &Value<'_>,
) -> Option<SocketAddr> {
    let address = listen_address(report, key, value)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        let remedy = "expected the address and port of one machine";
        report.add(key, &value.span(), "cannot be connected to", remedy);
        return None;
    }
    Some(address)
}

/// List whose items are read by `item`.
pub(crate) fn list<'t, T>(
    item: impl Fn(&mut Report<'_>, &str, &'t Value<'t>) -> Option<T>,
) -> impl Fn(&mut Report<'_>, &str, &'t Value<'t>) -> Option<Vec<Found<T>>> {
    move |report, key, value| {
        let Some(array) = value.get_ref().as_array() else {
            report_wrong_type(report, key, value, "a list");
            return None;
        };
        let mut found = Vec::new();
        for (index, value) in array.iter().enumerate() {
            let key = format!("{key}[{index}]");
            if let Some(parsed) = item(report, &key, value) {
                found.push(Found { key, span: value.span(), value: parsed });
            }
        }
        Some(found)
    }
}

fn report_wrong_type(report: &mut Report<'_>, key: &str, value: &Value<'_>, expected: &str) {
    let problem = format!("is of type {}", value.get_ref().type_str());
    report.add(key, &value.span(), problem, format!("expected {expected}"));
}
