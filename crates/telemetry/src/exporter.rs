//! The Prometheus exporter.

use derive_more::{Display, Error};
use metrics_exporter_prometheus::{
    Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

use crate::metric::{Kind, TABLE};
use crate::{metric, process};

/// The upper bounds of the buckets of histograms, in seconds.
const BUCKETS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0, 30.0, 60.0,
];

/// The metrics of this process, ready to be scraped.
#[derive(Debug, Clone)]
pub struct Exporter {
    handle: PrometheusHandle,
}

/// A failure to set up the collection of metrics.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("install the metrics' recorder: {detail}")]
pub struct Error {
    detail: String,
}

impl Exporter {
    /// Installs the global recorder and returns its exporter.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the process already has a recorder.
    pub fn install() -> Result<Self, Error> {
        let (recorder, exporter) = Self::recorder()?;
        metrics::set_global_recorder(recorder).map_err(failed)?;
        metric::describe();
        Ok(exporter)
    }

    /// Creates a recorder with its exporter, without installing it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the buckets of a histogram are invalid.
    pub fn recorder() -> Result<(PrometheusRecorder, Self), Error> {
        let mut builder = PrometheusBuilder::new();
        for metric in TABLE.iter().filter(|metric| metric.kind == Kind::Histogram) {
            let name = Matcher::Full(metric.name.to_owned());
            builder = builder
                .set_buckets_for_metric(name, BUCKETS)
                .map_err(failed)?;
        }
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Ok((recorder, Self { handle }))
    }

    /// Refreshes the metrics of the process and returns all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        process::refresh();
        self.handle.run_upkeep();
        self.handle.render()
    }
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error {
        detail: error.to_string(),
    }
}
