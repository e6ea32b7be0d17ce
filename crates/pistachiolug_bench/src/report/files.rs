//! Result files of a run: `{name}.json`, `{name}.samples.jsonl`, `{name}.md` and `{name}.svg`.

use std::{
    fs,
    io::{self, BufWriter, Write},
    path::Path,
};

use super::{markdown, plot};
use crate::experiment::{result::Outcome, run::Run};

/// Writes all result files of a run into a folder, which is created if needed.
///
/// # Errors
/// Returns the first error of a file or plot.
pub fn write(folder: &Path, run: &Run) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let name = &run.outcome.document.name;
    let file = |extension: &str| folder.join(format!("{name}.{extension}"));
    fs::write(file("json"), serde_json::to_vec_pretty(&run.outcome)?)?;
    fs::write(file("md"), markdown::render(&run.outcome))?;
    let mut lines = BufWriter::new(fs::File::create(file("samples.jsonl"))?);
    for sample in &run.samples {
        serde_json::to_writer(&mut lines, sample)?;
        lines.write_all(b"\n")?;
    }
    lines.flush()?;
    plot::first_token(&file("svg"), &run.samples)
}

/// Reads the `{name}.json` file of a run.
///
/// # Errors
/// Returns the error of the file or of its content.
pub fn read(path: &Path) -> io::Result<Outcome> {
    Ok(serde_json::from_slice(&fs::read(path)?)?)
}
