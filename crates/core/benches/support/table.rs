//! Result table that the benches print in Markdown.

/// Table of values with their bounds; counts the bounds that are exceeded.
#[derive(Debug, Default)]
pub struct BoundTable {
    broken_count: usize,
}

impl BoundTable {
    /// Prints the notes that explain the values, then the header of the table.
    pub fn start(notes: &[&str]) -> Self {
        for note in notes {
            println!("{note}");
        }
        println!();
        println!("| name | value | bound | verdict | seed |");
        println!("|---|---|---|---|---|");
        Self::default()
    }

    /// Prints a row for information, without a bound.
    #[allow(clippy::unused_self, reason = "a row may follow only after the header")]
    pub fn note(&self, name: &str, value: &str, seed: u64) {
        println!("| {name} | {value} | | info | {seed} |");
    }

    /// Prints a row whose value must not exceed its bound.
    pub fn at_most(&mut self, name: &str, value: f64, bound: f64, seed: u64) {
        let verdict = if value <= bound { "ok" } else { "BROKEN" };
        self.broken_count += usize::from(value > bound);
        println!("| {name} | {value:.3} | <= {bound} | {verdict} | {seed} |");
    }

    /// Prints a row whose value must reach or exceed its bound.
    pub fn at_least(&mut self, name: &str, value: f64, bound: f64, seed: u64) {
        let verdict = if value >= bound { "ok" } else { "BROKEN" };
        self.broken_count += usize::from(value < bound);
        println!("| {name} | {value:.3} | >= {bound} | {verdict} | {seed} |");
    }

    /// Exits with status 1 if the value of a row violated its bound.
    pub fn finish(self) {
        if self.broken_count > 0 {
            eprintln!("{} bounds are broken", self.broken_count);
            std::process::exit(1);
        }
    }
}
