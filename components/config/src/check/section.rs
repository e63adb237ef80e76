//! Reads a TOML table key by key and reports missing and unknown keys.

use std::ops::Range;

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::report::Report;

/// Value of the recovered TOML tree.
pub(crate) type Value<'t> = Spanned<DeValue<'t>>;

/// Value with its key path and its span in the text.
#[derive(Clone, Debug)]
pub(crate) struct Found<T> {
    pub(crate) key: String,
    pub(crate) span: Range<usize>,
    pub(crate) value: T,
}

/// TOML table with its path and the keys read so far.
pub(crate) struct Section<'t> {
    table: &'t DeTable<'t>,
    path: String,
    span: Range<usize>,
    read_keys: Vec<&'static str>,
}

impl<'t> Section<'t> {
    pub(crate) fn root(table: &'t DeTable<'t>) -> Self {
        Self { table, path: String::new(), span: 0..0, read_keys: Vec::new() }
    }

    /// Span of the table in the text.
    pub(crate) fn span(&self) -> &Range<usize> {
        &self.span
    }

    /// Span of the value under `key`, or of the table if the key is absent.
    pub(crate) fn span_of(&self, key: &str) -> Range<usize> {
        self.table.get(key).map_or_else(|| self.span.clone(), Spanned::span)
    }

    /// Key path of the table.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Full path of a key in this table.
    pub(crate) fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Whether the table contains `key`.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Reads an optional value.
    pub(crate) fn optional<T>(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
        read: impl FnOnce(&mut Report<'_>, &str, &'t Value<'t>) -> Option<T>,
    ) -> Option<Found<T>> {
        self.read_keys.push(key);
        let value = self.table.get(key)?;
        let path = self.key(key);
        let parsed = read(report, &path, value)?;
        Some(Found { key: path, span: value.span(), value: parsed })
    }

    /// Reads a required value; `remedy` describes what is expected.
    pub(crate) fn required<T>(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
        remedy: &str,
        read: impl FnOnce(&mut Report<'_>, &str, &'t Value<'t>) -> Option<T>,
    ) -> Option<Found<T>> {
        if !self.has(key) {
            report.absent(&self.key(key), &self.span, "is required", remedy);
        }
        self.optional(report, key, read)
    }

    /// Optional table under `key`.
    pub(crate) fn table(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
    ) -> Option<Section<'t>> {
        self.read_keys.push(key);
        let value = self.table.get(key)?;
        let path = self.key(key);
        let Some(table) = value.get_ref().as_table() else {
            report.add(&path, &value.span(), "is not a table", format!("expected [{path}]"));
            return None;
        };
        Some(Self { table, path, span: value.span(), read_keys: Vec::new() })
    }

    /// Required table under `key`.
    pub(crate) fn required_table(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
    ) -> Option<Section<'t>> {
        if !self.has(key) {
            let path = self.key(key);
            report.absent(&path, &self.span, "is required", format!("expected [{path}]"));
        }
        self.table(report, key)
    }

    /// Optional array of tables under `key`.
    pub(crate) fn tables(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
    ) -> Vec<Section<'t>> {
        self.read_keys.push(key);
        let Some(value) = self.table.get(key) else { return Vec::new() };
        let remedy = format!("expected [[{key}]]");
        let Some(array) = value.get_ref().as_array() else {
            report.add(key, &value.span(), "is not a list of tables", remedy);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in array.iter().enumerate() {
            let path = format!("{key}[{index}]");
            match item.get_ref().as_table() {
                Some(table) => {
                    sections.push(Self { table, path, span: item.span(), read_keys: Vec::new() });
                }
                None => report.add(&path, &item.span(), "is not a table", remedy.clone()),
            }
        }
        sections
    }

    /// Required array under `key` of at least one table.
    pub(crate) fn required_tables(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
    ) -> Vec<Section<'t>> {
        if !self.has(key) {
            report.absent(key, &self.span, "is required", format!("expected [[{key}]]"));
        }
        let sections = self.tables(report, key);
        let array = self.table.get(key).and_then(|value| value.get_ref().as_array());
        if array.is_some_and(|array| array.is_empty()) {
            report.add(key, &self.span_of(key), "is empty", format!("expected [[{key}]]"));
        }
        sections
    }

    /// Reports the keys that were not read.
    pub(crate) fn report_unknown_keys(self, report: &mut Report<'_>) {
        for (key, value) in self.table.iter() {
            let name = key.get_ref().as_ref();
            if !self.read_keys.contains(&name) {
                let remedy = format!("expected one of {}", self.read_keys.join(", "));
                report.add(&self.key(name), &value.span(), "is not a known key", remedy);
            }
        }
    }
}
