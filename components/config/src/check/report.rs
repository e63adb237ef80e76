//! Collects errors and locates them in the text.

use std::ops::Range;

use super::Fault;

/// Largest length of a value excerpt.
const MAX_EXCERPT_CHARS: usize = 60;

/// Errors of one configuration text.
pub(crate) struct Report<'t> {
    file: &'t str,
    text: &'t str,
    faults: Vec<Fault>,
    /// The text has syntax errors, so keys and names may only seem to be absent.
    is_partial: bool,
}

impl<'t> Report<'t> {
    pub(crate) fn new(file: &'t str, text: &'t str) -> Self {
        Self { file, text, faults: Vec::new(), is_partial: false }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Reports an invalid value.
    pub(crate) fn add(
        &mut self,
        key: &str,
        span: &Range<usize>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let value = self.excerpt(span);
        self.push(key, span, value, problem.into(), remedy.into());
    }

    /// Reports a missing key; `span` is the table that must contain it.
    pub(crate) fn absent(
        &mut self,
        key: &str,
        span: &Range<usize>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        if !self.is_partial {
            self.push(key, span, "(absent)".to_owned(), problem.into(), remedy.into());
        }
    }

    /// Reports a reference to a name that the text does not define.
    pub(crate) fn unresolved(
        &mut self,
        key: &str,
        span: &Range<usize>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        if !self.is_partial {
            self.add(key, span, problem, remedy);
        }
    }

    /// Reports a syntax error of the TOML parser.
    pub(crate) fn syntax(&mut self, error: &toml::de::Error) {
        self.is_partial = true;
        let span = error.span().unwrap_or(0..0);
        let line = self.line_text(span.start);
        let problem = error.message().replace('\n', ", ");
        self.push("-", &span, line, problem, "expected valid TOML".to_owned());
    }

    /// All errors, ordered by line.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        self.faults.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        self.faults
    }

    fn push(
        &mut self,
        key: &str,
        span: &Range<usize>,
        value: String,
        problem: String,
        remedy: String,
    ) {
        let line = self.line_number(span.start);
        let (file, key) = (self.file.to_owned(), key.to_owned());
        self.faults.push(Fault { file, line, key, value, problem, remedy });
    }

    fn line_number(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().iter().take(offset);
        1 + before.filter(|byte| **byte == b'\n').count()
    }

    fn line_text(&self, offset: usize) -> String {
        let text = self.text.lines().nth(self.line_number(offset) - 1).unwrap_or_default();
        shorten(text.trim())
    }

    fn excerpt(&self, span: &Range<usize>) -> String {
        shorten(self.text.get(span.clone()).unwrap_or_default())
    }
}

fn shorten(text: &str) -> String {
    let first = text.lines().next().unwrap_or_default();
    let mut short: String = first.chars().take(MAX_EXCERPT_CHARS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}
