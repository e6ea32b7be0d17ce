//! `digest`: computes the digest that identifies a bearer key in the customers list.

use std::io;

use pistachiolug_lists::key;

use crate::{exit::Exit, output};

/// Reads a key from standard input and prints its digest. The key is not an argument, because process lists show
/// arguments.
pub fn run() -> Exit {
    let mut line = String::new();
    match io::stdin().read_line(&mut line) {
        Ok(_) if line.trim().is_empty() => {
            output::fail(Exit::Usage, "write the key to standard input")
        }
        Ok(_) => {
            output::print(&key::digest(line.trim()).to_string());
            Exit::Done
        }
        Err(error) => output::fail(Exit::Unavailable, &error.to_string()),
    }
}
