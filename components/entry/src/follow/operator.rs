//! Configuration and weight versions from the operator's table.

use std::{sync::Arc, time::Duration};

use filbertsail_ports::store::{Row, Store};
use filbertsail_telemetry::event::Line;

use super::{Table, Update, WAIT, follow};
use crate::{
    config::Config,
    dialect::{Dialect, Directive},
    shared::Shared,
};

/// Follows the operator's table; never returns.
pub async fn operator<D: Dialect, S: Store>(shared: Shared, store: S) {
    let table = Table {
        name: D::OPERATOR_TABLE,
        parts: vec![String::new()],
        tracks_outages: true,
        busy_delay: Duration::ZERO,
        idle_delay: Duration::ZERO,
        wait: WAIT,
    };
    let state = shared.clone();
    follow(shared, store, table, move |update| {
        let (Update::Snapshot(rows) | Update::Changes(rows)) = update;
        for row in &rows {
            apply::<D>(&state, row);
        }
    })
    .await;
}

fn apply<D: Dialect>(shared: &Shared, row: &Row) {
    // The newest known configuration stays active when its row is deleted.
    let Some(value) = &row.value else { return };
    match D::decode_directive(&row.key, value) {
        Ok(Directive::Config(config)) => apply_config(shared, *config),
        Ok(Directive::Version { model, version }) => raise_version(shared, model, version),
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

fn apply_config(shared: &Shared, config: Config) {
    shared.config.send_if_modified(|current| {
        let known = current.as_ref().map(|config| config.version);
        // A process never applies an older configuration than before.
        if known.is_some_and(|known| known >= config.version) {
            return false;
        }
        Line::new("config_applied")
            .with("version", config.version)
            .with("before", known.unwrap_or(0))
            .with("routes", config.routes.len())
            .info();
        shared.metrics.set_config_version(config.version);
        *current = Some(Arc::new(config));
        true
    });
}

fn raise_version(shared: &Shared, model: String, version: u64) {
    shared.newest_versions.send_if_modified(|versions| {
        let known = versions.entry(model.clone()).or_default();
        if *known >= version {
            return false;
        }
        *known = version;
        Line::new("version_named").with("model", &model).with("version", version).info();
        true
    });
}
