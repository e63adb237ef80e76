//! Report folder: Markdown page and SVG plots.

use std::{fmt::Write as _, fs, path::Path};

use eyre::{WrapErr, eyre};
use plotters::prelude::*;

use crate::{checker::PROMISES, journal::Pages, measure::Result as Measures};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (800, 400);

/// Text table of violations and measures, one column per policy.
#[must_use]
pub fn table(result: &Measures) -> String {
    let mut text = String::new();
    let names: Vec<_> = result.policies.keys().collect();
    let mut row = |name: &str, values: Vec<String>| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "| {name} | {} |", values.join(" | "));
    };
    row("measure", names.iter().map(|name| (*name).clone()).collect());
    row("---", names.iter().map(|_| "---".to_owned()).collect());
    for promise in PROMISES {
        let count = |name: &&String| {
            result.policies[*name].violations.get(&promise.to_string()).copied().unwrap_or(0)
        };
        let counts = names.iter().map(|name| count(name).to_string()).collect();
        row(&format!("{promise} violations"), counts);
    }
    for (name, values) in measures(result) {
        row(name, values.into_iter().map(shown).collect());
    }
    text
}

fn shown(value: Option<f64>) -> String {
    value.map_or_else(|| "–".to_owned(), |value| format!("{value:.3}"))
}

/// Measures by name with a value per policy.
fn measures(result: &Measures) -> Vec<(&'static str, Vec<Option<f64>>)> {
    let all = |value: fn(&crate::measure::Measure) -> Option<f64>| {
        result.policies.values().map(value).collect()
    };
    vec![
        ("requests", all(|measure| Some(measure.requests as f64))),
        ("goodput per s", all(|measure| measure.goodput)),
        ("latency p50 ms", all(|measure| Some(measure.latency_ms?.p50))),
        ("latency p99 ms", all(|measure| Some(measure.latency_ms?.p99))),
        ("trainer idle share", all(|measure| measure.trainer_idle_share)),
        ("staleness p50", all(|measure| Some(measure.staleness?.p50))),
        ("staleness p95", all(|measure| Some(measure.staleness?.p95))),
        ("staleness max", all(|measure| Some(measure.staleness?.max))),
        ("extra tokens share", all(|measure| measure.extra_tokens_share)),
    ]
}

/// Ratios of each measure of the first policy named to those of the others.
#[must_use]
pub fn ratios(result: &Measures, first: &str) -> String {
    let mut text = String::new();
    let names: Vec<_> = result.policies.keys().collect();
    let Some(base) = names.iter().position(|name| *name == first) else { return text };
    for (measure, values) in measures(result) {
        for (index, name) in names.iter().enumerate().filter(|(index, _)| *index != base) {
            if let (Some(ours), Some(theirs)) = (values[base], values[index])
                && theirs > 0.0
            {
                let ratio = ours / theirs;
                let _ = writeln!(text, "- {measure}: {first} / {name} = {ratio:.3}");
            }
        }
    }
    text
}

/// Writes the report of a run.
///
/// # Errors
/// Fails if the folder cannot be written.
pub fn write(
    folder: &Path,
    result: &Measures,
    pages: &[(String, Pages)],
    command: &str,
) -> eyre::Result<()> {
    fs::create_dir_all(folder).wrap_err_with(|| format!("create {}", folder.display()))?;
    plot(&folder.join("latency.svg"), pages)
        .map_err(|error| eyre!("plot of latencies: {error}"))?;
    let page = format!(
        "# {} on {}\n\nSeed {}. Command: `{command}`\n\n{}\n{}\n![Latency](latency.svg)\n",
        result.scenario,
        result.deployment,
        result.seed,
        table(result),
        ratios(result, "production"),
    );
    fs::write(folder.join("report.md"), page)?;
    Ok(())
}

/// Latency of each successful customer request over the time of its arrival.
fn plot(
    path: &Path,
    pages: &[(String, Pages)],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let series: Vec<(&String, Vec<(f64, f64)>)> =
        pages.iter().map(|(name, pages)| (name, points(pages))).collect();
    let all = || series.iter().flat_map(|(_, points)| points);
    let right = all().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = all().map(|(_, y)| *y).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("arrival in s").y_desc("latency in ms").draw()?;
    for (index, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.clone(), &color))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn points(pages: &Pages) -> Vec<(f64, f64)> {
    let mut calls: Vec<_> = pages.calls.iter().filter(|call| call.succeeded()).collect();
    calls.sort_by_key(|call| call.due);
    let Some(start) = calls.first().map(|call| call.due) else { return Vec::new() };
    calls
        .iter()
        .map(|call| {
            let latency = call.end.since(call.due).as_secs_f64() * 1e3;
            (call.due.since(start).as_secs_f64(), latency)
        })
        .collect()
}
