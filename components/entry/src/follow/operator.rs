//! Configuration and weight versions from the operator's table.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_ports::store::{Key, Row, Store};
use filbertsail_telemetry::event::Line;
use filbertsail_workspaces::Secret;
use tokio::{sync::mpsc, task::spawn_blocking};

use super::{Table, Update, WAIT, follow};
use crate::{
    access::Origin,
    config::{Config, KeyFaults},
    dialect::{Dialect, Directive, Malformed},
    shared::Shared,
};

/// Size from which a row is decoded beside the loop. Decoding takes about 10 ms a megabyte, and a
/// configuration with 10,000 workspaces has more than one.
const LARGE_ROW_BYTES: usize = 64 * 1024;
/// Faults of one configuration that are logged one by one.
const MAX_LOGGED_FAULTS: usize = 10;

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
    let (sender, mut updates) = mpsc::unbounded_channel();
    let state = shared.clone();
    let apply = async {
        while let Some(update) = updates.recv().await {
            let (rows, sent_at) = match update {
                Update::Snapshot(rows, sent_at) => (rows, Some(sent_at)),
                // A change was made at an unknown time before its delivery.
                Update::Changes(rows, _) => (rows, None),
            };
            for row in &rows {
                apply_operator_row::<D>(&state, row, sent_at).await;
            }
        }
    };
    let feed = follow(shared, store, table, move |update| {
        // The receiver lives as long as this task.
        let _ = sender.send(update);
    });
    tokio::join!(feed, apply);
}

/// Applies a row of the operator's table. `sent_at` is when the call was sent that read the row, if
/// it was read and not delivered as a change. Returns whether the row is a readable configuration.
pub async fn apply_operator_row<D: Dialect>(
    shared: &Shared,
    row: &Row,
    sent_at: Option<Instant>,
) -> bool {
    // The newest known configuration stays active when its row is deleted.
    let Some(value) = row.value.clone() else { return false };
    let key = Key { table: D::OPERATOR_TABLE, part: row.part.clone(), key: row.key.clone() };
    let origin = Origin { key, version: row.version };
    if shared.access.is_malformed(&origin) {
        return false;
    }
    if shared.access.origin().as_ref() != Some(&origin) {
        let secret = shared.access.secret().clone();
        let key = row.key.clone();
        let decoded = if value.len() < LARGE_ROW_BYTES {
            decode::<D>(&key, &value, &secret)
        } else {
            let decoded = spawn_blocking(move || decode::<D>(&key, &value, &secret)).await;
            decoded.unwrap_or_else(|error| Err(Malformed(error.to_string())))
        };
        let not_raised = match decoded {
            Ok((Directive::Config(config), faults)) => apply_config(shared, *config, &faults),
            Ok((Directive::Version { model, version }, _)) => {
                raise_version(shared, model, version);
                return false;
            }
            Ok((Directive::Other, _)) => return false,
            Err(error) => {
                Line::new("operator_row_malformed")
                    .with("key", &row.key)
                    .with("row_version", row.version)
                    .with("reason", error)
                    .error();
                shared.access.record_malformed(&origin);
                return false;
            }
        };
        if shared.access.record_origin(origin)
            && let Some((version, known)) = not_raised
        {
            Line::new("config_not_raised")
                .with("row_version", row.version)
                .with("version", version)
                .with("known", known)
                .error();
        }
    }
    // Recorded after the configuration, so that no proof is newer than what it is about. A row with
    // an older configuration changes nothing, which the row's version then stands for.
    if let Some(sent_at) = sent_at {
        shared.access.confirmed(sent_at);
    }
    true
}

fn decode<D: Dialect>(
    key: &str,
    value: &[u8],
    secret: &Secret,
) -> Result<(Directive, KeyFaults), Malformed> {
    let mut directive = D::decode_directive(key, value)?;
    let faults = match &mut directive {
        Directive::Config(config) => config.hash_keys(secret),
        _ => KeyFaults::default(),
    };
    Ok((directive, faults))
}

/// Applies a configuration if it has a higher version than the active one. Returns both versions if
/// it does not and yet differs.
fn apply_config(shared: &Shared, config: Config, faults: &KeyFaults) -> Option<(u64, u64)> {
    let mut not_raised = None;
    let is_applied = shared.config.send_if_modified(|current| {
        let known = current.as_ref().map(|config| config.version);
        // A process never applies an older configuration than before.
        if let Some(current) = current.as_ref().filter(|known| known.version >= config.version) {
            not_raised = (**current != config).then_some((config.version, current.version));
            return false;
        }
        Line::new("config_applied")
            .with("version", config.version)
            .with("before", known.unwrap_or(0))
            .with("routes", config.routes.len())
            .with("workspaces", config.directory.as_ref().map_or(0, |it| it.workspaces()))
            .with("keys", config.directory.as_ref().map_or(0, |it| it.keys()))
            .info();
        shared.metrics.set_config_version(config.version);
        *current = Some(Arc::new(config));
        true
    });
    if !is_applied {
        return not_raised;
    }
    for fault in faults.ambiguous.iter().take(MAX_LOGGED_FAULTS) {
        Line::new("key_ambiguous")
            .with("key", fault.key.fingerprint())
            .with("workspace", &fault.workspace)
            .with("count", faults.ambiguous.len())
            .error();
    }
    for name in faults.unusable.iter().take(MAX_LOGGED_FAULTS) {
        Line::new("workspace_unusable")
            .with("workspace", name)
            .with("reason", "the name cannot be sent in a header")
            .with("count", faults.unusable.len())
            .error();
    }
    for fault in faults.unmatchable.iter().take(MAX_LOGGED_FAULTS) {
        Line::new("key_unmatchable")
            .with("workspace", &fault.workspace)
            .with("key", fault.key.fingerprint())
            .with("reason", fault.reason)
            .with("count", faults.unmatchable.len())
            .error();
    }
    None
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
