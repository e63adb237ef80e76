//! Structured log lines: one event with key=value pairs.

use std::fmt::{Display, Write};

/// Builder for one log line: `event=<name> key=value …`.
#[derive(Clone, Debug)]
pub struct Line(String);

impl Line {
    /// Starts the line of the event `name`.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(format!("event={name}"))
    }

    /// Appends a pair. Empty values and those with whitespace, quotes, `=` or control characters
    /// are quoted.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let value = value.to_string();
        self.0.push(' ');
        self.0.push_str(key);
        self.0.push('=');
        if value.is_empty() || value.chars().any(needs_quotes) {
            // Writing to a string cannot fail.
            let _ = write!(self.0, "{value:?}");
        } else {
            self.0.push_str(&value);
        }
        self
    }

    /// Appends a pair if there is a value.
    #[must_use]
    pub fn with_some(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.with(key, value),
            None => self,
        }
    }

    /// Logs the line at level info.
    pub fn info(self) {
        log::info!("{}", self.0);
    }

    /// Logs the line at level warn.
    pub fn warn(self) {
        log::warn!("{}", self.0);
    }

    /// Logs the line at level error.
    pub fn error(self) {
        log::error!("{}", self.0);
    }

    /// Logs the line at level debug.
    pub fn debug(self) {
        log::debug!("{}", self.0);
    }

    /// The line as built so far.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn needs_quotes(character: char) -> bool {
    character.is_whitespace() || character.is_control() || matches!(character, '"' | '=')
}

#[cfg(test)]
mod tests {
    use super::Line;

    /// Guards against log injection: a value that adds pairs or lines.
    #[test]
    fn can_quote_values() {
        let line = Line::new("route").with("worker", "a-1").with("reason", "x\ny=\"z\"");
        assert_eq!(line.as_str(), r#"event=route worker=a-1 reason="x\ny=\"z\"""#);
    }
}
