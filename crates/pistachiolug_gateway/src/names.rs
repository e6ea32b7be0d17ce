//! Names of the headers that carry the system's own fields.

use http::HeaderName;

/// Header names of one deployment.
#[derive(Debug, Clone)]
pub struct Names {
    /// Identifies one attempt of a caller, in requests and answers.
    pub attempt: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline: HeaderName,
    /// Caller's key; never passed on.
    pub key: HeaderName,
    /// Workspace that holds the key; set for backend servers.
    pub workspace: HeaderName,
    /// Id of the only backend server that may run the request.
    pub expected_server: HeaderName,
    /// Only version of the weights that may run the request.
    pub expected_version: HeaderName,
    /// Rank among the requests that wait at a model engine.
    pub priority: HeaderName,
    /// Model that a request names.
    pub model: HeaderName,
    /// Tokens of the prompt and largest number of tokens of the answer, separated by a comma.
    pub tokens: HeaderName,
    /// Id of the last event that the sender has, for streams.
    pub last_event: HeaderName,
    /// Signature by which a backend server vouches for its answer.
    pub signature: HeaderName,
    /// Says that the backend server did not run the request.
    pub not_run: HeaderName,
}
