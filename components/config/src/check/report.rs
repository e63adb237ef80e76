//! Collects faults and finds their place in the text.

use std::ops::Range;

use super::Fault;

/// Longest excerpt of a value in characters.
const EXCERPT_CHARS: usize = 60;

/// Faults of one text.
pub(crate) struct Report<'t> {
    file: &'t str,
    text: &'t str,
    faults: Vec<Fault>,
    /// Parts of the text are not TOML, so absent keys and names prove nothing.
    partial: bool,
}

impl<'t> Report<'t> {
    pub(crate) fn new(file: &'t str, text: &'t str) -> Self {
        Self { file, text, faults: Vec::new(), partial: false }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Reports a value.
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

    /// Reports an absent key; `span` is the table that should have it.
    pub(crate) fn absent(
        &mut self,
        key: &str,
        span: &Range<usize>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        if !self.partial {
            self.push(key, span, "(absent)".to_owned(), problem.into(), remedy.into());
        }
    }

    /// Reports a name that the text defines nowhere.
    pub(crate) fn unresolved(
        &mut self,
        key: &str,
        span: &Range<usize>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        if !self.partial {
            self.add(key, span, problem, remedy);
        }
    }

    /// Reports an error of the TOML parser.
    pub(crate) fn syntax(&mut self, error: &toml::de::Error) {
        self.partial = true;
        let span = error.span().unwrap_or(0..0);
        let line = self.line_text(span.start);
        let problem = error.message().replace('\n', ", ");
        self.push("-", &span, line, problem, "expected valid TOML".to_owned());
    }

    /// Faults in the order of lines.
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
        let line = self.line(span.start);
        let (file, key) = (self.file.to_owned(), key.to_owned());
        self.faults.push(Fault { file, line, key, value, problem, remedy });
    }

    fn line(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().iter().take(offset);
        1 + before.filter(|byte| **byte == b'\n').count()
    }

    fn line_text(&self, offset: usize) -> String {
        let text = self.text.lines().nth(self.line(offset) - 1).unwrap_or_default();
        shorten(text.trim())
    }

    fn excerpt(&self, span: &Range<usize>) -> String {
        shorten(self.text.get(span.clone()).unwrap_or_default())
    }
}

fn shorten(text: &str) -> String {
    let first = text.lines().next().unwrap_or_default();
    let mut short: String = first.chars().take(EXCERPT_CHARS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}
