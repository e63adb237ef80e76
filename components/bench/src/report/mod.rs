//! Report of a run: Markdown page and SVG plot.

use std::{fmt::Write as _, fs, path::Path};

use eyre::{WrapErr, eyre};
use plotters::prelude::*;

use crate::{checker::PROMISES, journal::History, measure::Result as Measures};

/// Size of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (800, 400);

/// Markdown table of violations and measures, one column per policy.
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
    for (name, values) in measure_rows(result) {
        row(name, values.into_iter().map(format_value).collect());
    }
    text
}

fn format_value(value: Option<f64>) -> String {
    value.map_or_else(|| "–".to_owned(), |value| format!("{value:.3}"))
}

/// Rows of the table: name of the measure and its value per policy.
fn measure_rows(result: &Measures) -> Vec<(&'static str, Vec<Option<f64>>)> {
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

/// Ratio of each measure of the `baseline` policy to that of each other policy.
#[must_use]
pub fn ratios(result: &Measures, baseline: &str) -> String {
    let mut text = String::new();
    let names: Vec<_> = result.policies.keys().collect();
    let Some(baseline_index) = names.iter().position(|name| *name == baseline) else { return text };
    for (measure, values) in measure_rows(result) {
        for (index, name) in names.iter().enumerate().filter(|(index, _)| *index != baseline_index)
        {
            if let (Some(numerator), Some(denominator)) = (values[baseline_index], values[index])
                && denominator > 0.0
            {
                let ratio = numerator / denominator;
                let _ = writeln!(text, "- {measure}: {baseline} / {name} = {ratio:.3}");
            }
        }
    }
    text
}

/// Writes the report of a run into `folder`.
///
/// # Errors
/// Fails if the folder cannot be written.
pub fn write(
    folder: &Path,
    result: &Measures,
    histories: &[(String, History)],
    command: &str,
) -> eyre::Result<()> {
    fs::create_dir_all(folder)
        .wrap_err_with(|| format!("failed to create {}", folder.display()))?;
    plot_latency(&folder.join("latency.svg"), histories)
        .map_err(|error| eyre!("failed to plot latencies: {error}"))?;
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

/// Plots the latency of each successful customer request over its arrival time.
fn plot_latency(
    path: &Path,
    histories: &[(String, History)],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let series: Vec<(&String, Vec<(f64, f64)>)> =
        histories.iter().map(|(name, history)| (name, latency_points(history))).collect();
    let all = || series.iter().flat_map(|(_, points)| points);
    let right = all().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = all().map(|(_, y)| *y).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
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

fn latency_points(history: &History) -> Vec<(f64, f64)> {
    let mut calls: Vec<_> = history.calls.iter().filter(|call| call.succeeded()).collect();
    calls.sort_by_key(|call| call.scheduled_at);
    let Some(start) = calls.first().map(|call| call.scheduled_at) else { return Vec::new() };
    calls
        .iter()
        .map(|call| {
            let latency = call.ended_at.since(call.scheduled_at).as_secs_f64() * 1e3;
            (call.scheduled_at.since(start).as_secs_f64(), latency)
        })
        .collect()
}
