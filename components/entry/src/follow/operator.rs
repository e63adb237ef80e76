//! Configuration and weight versions, as the operator and the trainers write them.

use std::{sync::Arc, time::Duration};

use filbertsail_ports::store::{Row, Store};
use filbertsail_telemetry::event::Line;

use super::{News, Table, WAIT, follow};
use crate::{
    config::Config,
    dialect::{Dialect, Directive},
    shared::Shared,
};

/// Follows the operator's table for good.
pub async fn operator<D: Dialect, S: Store>(shared: Shared, store: S) {
    let table = Table {
        name: D::OPERATOR_TABLE,
        parts: vec![String::new()],
        watches_link: true,
        pause: Duration::ZERO,
        idle_pause: Duration::ZERO,
        wait: WAIT,
    };
    let target = shared.clone();
    follow(shared, store, table, move |news| {
        let (News::Snapshot(rows) | News::Changes(rows)) = news;
        for row in &rows {
            apply::<D>(&target, row);
        }
    })
    .await;
}

fn apply<D: Dialect>(shared: &Shared, row: &Row) {
    // The newest configuration known stays in force when its row vanishes.
    let Some(value) = &row.value else { return };
    match D::directive(&row.key, value) {
        Ok(Directive::Config(config)) => configure(shared, *config),
        Ok(Directive::Version { model, version }) => name_version(shared, model, version),
        Ok(Directive::Other) => {}
        Err(error) => {
            Line::new("operator_row_malformed")
                .with("key", &row.key)
                .with("row_version", row.version)
                .with("reason", error)
                .error();
        }
    }
}

fn configure(shared: &Shared, config: Config) {
    shared.config.send_if_modified(|current| {
        let known = current.as_ref().map(|config| config.version);
        // A process never goes back to an older configuration.
        if known.is_some_and(|known| known >= config.version) {
            return false;
        }
        Line::new("config_applied")
            .with("version", config.version)
            .with("before", known.unwrap_or(0))
            .with("routes", config.routes.len())
            .info();
        shared.metrics.config(config.version);
        *current = Some(Arc::new(config));
        true
    });
}

fn name_version(shared: &Shared, model: String, version: u64) {
    shared.versions.send_if_modified(|versions| {
        let known = versions.entry(model.clone()).or_default();
        if *known >= version {
            return false;
        }
        *known = version;
        Line::new("version_named").with("model", &model).with("version", version).info();
        true
    });
}
