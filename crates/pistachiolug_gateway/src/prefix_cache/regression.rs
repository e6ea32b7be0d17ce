//! Linear regression with exponential forgetting: how much of the reading time of held prefixes is saved.

/// Factor of the weight of all samples with each new one; half of the weight is in the last 690.
const FORGETTING: f64 = 0.999;

/// Smallest number of samples, with forgetting, from which anything follows.
const MIN_SAMPLES: f64 = 32.0;

/// Share of the variance of the held part that must not follow from the length of the prompt; otherwise the two effects
/// can't be told apart.
const MIN_INDEPENDENT_SHARE: f64 = 1e-3;

/// Variance in ms² below which a quantity counts as constant.
const MIN_VARIANCE: f64 = 1e-6;

/// One measured time to a first event. All fields are milliseconds at the speed that the configuration states.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    /// Reading time of the part that the server may hold.
    pub(super) held: f64,
    /// Reading time of the whole prompt.
    pub(super) prompt: f64,
    /// Time by which the event came sooner than expected without a held part.
    pub(super) sooner: f64,
}

/// Estimate with its standard error.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    pub(super) value: f64,
    pub(super) standard_error: f64,
}

/// Regression of the time by which events come sooner on the held part and on the whole prompt.
///
/// The prompt is a term of its own because an engine that reads faster than stated would otherwise look like one that keeps
/// prefixes.
#[derive(Debug, Clone, Default)]
pub(super) struct Regression {
    /// Sum of the weights, and of their squares.
    weight: f64,
    weight_squares: f64,
    /// Weight of the samples with a measurable held part.
    measurable: f64,
    /// Weighted means of held part, prompt and saved time.
    means: [f64; 3],
    /// Weighted sums of the products of deviations from the means; symmetric.
    products: [[f64; 3]; 3],
}

/// Indices of the quantities.
const HELD: usize = 0;
const PROMPT: usize = 1;
const SOONER: usize = 2;

impl Regression {
    /// Adds a sample.
    ///
    /// # Arguments
    /// `min_measurable_ms` is the size of the held part from which the sample counts as one with a measurable saving.
    pub(super) fn add(&mut self, sample: &Sample, min_measurable_ms: f64) {
        let values = [sample.held, sample.prompt, sample.sooner];
        self.weight = self.weight * FORGETTING + 1.0;
        self.weight_squares = self.weight_squares * FORGETTING * FORGETTING + 1.0;
        let is_measurable = sample.held >= min_measurable_ms;
        self.measurable = self.measurable * FORGETTING + f64::from(u8::from(is_measurable));
        let before = self.means;
        for (mean, value) in self.means.iter_mut().zip(values) {
            *mean += (value - *mean) / self.weight;
        }
        for (row, products) in self.products.iter_mut().enumerate() {
            for (column, product) in products.iter_mut().enumerate() {
                let deviation = (values[row] - before[row]) * (values[column] - self.means[column]);
                *product = *product * FORGETTING + deviation;
            }
        }
    }

    /// Returns the number of samples with a measurable held part, with forgetting.
    pub(super) fn measurable(&self) -> f64 {
        self.measurable
    }

    /// Returns the share of the reading time of held parts that is saved; `None` if too little is known.
    pub(super) fn share(&self) -> Option<Estimate> {
        let samples = self.weight * self.weight / self.weight_squares;
        // Without samples the number is not a number.
        if samples.is_nan() || samples < MIN_SAMPLES {
            return None;
        }
        let (variance, covariance) = self.independent();
        let held_variance = self.products[HELD][HELD];
        if variance <= self.weight * MIN_VARIANCE
            || variance < held_variance * MIN_INDEPENDENT_SHARE
        {
            return None;
        }
        let value = covariance / variance;
        let explained = self.prompt_slope() * self.products[PROMPT][SOONER] + value * covariance;
        let residual = (self.products[SOONER][SOONER] - explained).max(0.0);
        let residual_variance = residual / self.weight * samples / (samples - 3.0);
        let weight = self.weight_squares / self.weight;
        Some(Estimate {
            value,
            standard_error: (residual_variance * weight / variance).sqrt(),
        })
    }

    /// Returns the time that was saved for one sample, without what follows from the length of its prompt and from the
    /// usual deviation, and the usual share; `None` if too little is known.
    pub(super) fn saved_ms(&self, sample: &Sample) -> Option<(f64, f64)> {
        let share = self.share()?.value;
        let slope = self.prompt_slope() - share * self.held_slope();
        let usual_ms = self.means[SOONER] - share * self.means[HELD];
        let by_prompt_ms = slope * (sample.prompt - self.means[PROMPT]);
        Some((sample.sooner - usual_ms - by_prompt_ms, share))
    }

    /// Returns the variance of the held part that does not follow from the prompt's length, and its covariance with the saved
    /// time, both as weighted sums.
    fn independent(&self) -> (f64, f64) {
        let products = &self.products;
        let slope = self.held_slope();
        (
            products[HELD][HELD] - slope * products[HELD][PROMPT],
            products[HELD][SOONER] - slope * products[PROMPT][SOONER],
        )
    }

    /// Returns the slope of the held part by the prompt.
    fn held_slope(&self) -> f64 {
        self.slope_by_prompt(HELD)
    }

    /// Returns the slope of the saved time by the prompt alone.
    fn prompt_slope(&self) -> f64 {
        self.slope_by_prompt(SOONER)
    }

    fn slope_by_prompt(&self, quantity: usize) -> f64 {
        let variance = self.products[PROMPT][PROMPT];
        if variance <= self.weight * MIN_VARIANCE {
            return 0.0;
        }
        self.products[PROMPT][quantity] / variance
    }
}
