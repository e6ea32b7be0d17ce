//! Definition of the command line; its comments are the help texts.

#![allow(missing_docs)]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Serves models and plain services to customers and spreads model weights.
    ///
    /// Exit codes: 0 done, 1 findings, 2 usage, 3 unavailable, 4 failed, 5 conflict, 6 timed out, 7 demo broken.
    ///
    /// Example: pistachiolug demo
    cmd pistachiolug {
        /// Runs an entry, which takes calls from callers.
        ///
        /// Example: pistachiolug entry examples/karoo/settings/entry.jsonc
        cmd entry {
            /// Settings file, JSON with comments.
            required settings: PathBuf
        }
        /// Runs an agent beside a backend server.
        ///
        /// Example: pistachiolug agent examples/karoo/settings/agent-assistant.jsonc
        cmd agent {
            /// Settings file, JSON with comments.
            required settings: PathBuf
        }
        /// Checks settings and lists; prints every finding with its place, reason and suggested fix.
        ///
        /// Example: pistachiolug check entry.jsonc customers.jsonc plans.jsonc
        cmd check {
            /// Settings or list files; customers and plans are checked against each other.
            repeated files: PathBuf
            /// Also tries to bind the addresses that the settings name.
            optional --live
            /// Prints the findings as JSON.
            optional --json
        }
        /// Puts the customers and plans lists in force, row by row.
        ///
        /// Rows that others have changed in the meantime are kept and reported. Keep the file lists.applied.json, which
        /// is written beside the customers list, in version control together with the lists.
        ///
        /// Example: pistachiolug apply customers.jsonc plans.jsonc --dry-run
        cmd apply {
            /// Customers list.
            required customers: PathBuf
            /// Plans list, with models and services.
            required plans: PathBuf
            /// Shows the differences of each row and writes nothing.
            optional --dry-run
            /// In a conflict, overwrites a row such as customers/delis with that of these lists.
            repeated --prefer row: String
            /// Name of the author for the history; $USER by default.
            optional --author author: String
            /// Waits up to this many seconds until the rows are in force everywhere.
            optional --wait wait: u64
            /// Operator's settings file; operator.jsonc by default.
            optional --settings settings: PathBuf
            /// Prints JSON.
            optional --json
        }
        /// Shows which revisions of the lists are in force, by region and zone.
        ///
        /// Example: pistachiolug lists --wait 8
        cmd lists {
            /// Operator's settings file; operator.jsonc by default.
            optional --settings settings: PathBuf
            /// Waits up to this many seconds until the accepted lists are in force everywhere.
            optional --wait wait: u64
            /// Expected revision; by default that of the newest row in the key-value service.
            optional --revision revision: u64
            /// Prints JSON.
            optional --json
        }
        /// Shows instances, versions, transfers and queues.
        ///
        /// Example: pistachiolug status --follow 600
        cmd status {
            /// Operator's settings file; operator.jsonc by default.
            optional --settings settings: PathBuf
            /// Follows roll-outs up to this many seconds until every instance serves its versions.
            optional --follow follow: u64
            /// Prints JSON.
            optional --json
        }
        /// Prints the state of a process as JSON.
        ///
        /// Example: pistachiolug dump 10.1.0.11:7100
        cmd dump {
            /// Internal address of the process.
            required address: SocketAddr
            /// Operator's settings file; operator.jsonc by default.
            optional --settings settings: PathBuf
        }
        /// Reads a bearer key from standard input and prints its digest for the customers list.
        ///
        /// Example: pistachiolug digest < key.txt
        cmd digest {}
        /// Starts a deployment on this machine, distributes a model, makes calls and prints which checks passed.
        ///
        /// Example: pistachiolug demo --stay
        cmd demo {
            /// Keeps the deployment running and prints requests to try.
            optional --stay
        }
    }
}
