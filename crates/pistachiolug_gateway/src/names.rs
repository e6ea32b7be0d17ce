//! Names of the headers that carry the system's own fields.

use http::HeaderName;

/// Header names of one deployment.
#[derive(Debug, Clone)]
pub struct Names {
    /// Identifies one attempt of a caller, in requests and answers.
    pub attempt: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline: HeaderName,
    /// Caller's key; never forwarded.
    pub key: HeaderName,
    /// Name of the workspace that holds the key; sent to backend servers.
    pub workspace: HeaderName,
    /// Id of the only backend server that may run the request.
    pub expected_server: HeaderName,
    /// Only version of the weights that may run the request.
    pub expected_version: HeaderName,
    /// Priority among the requests that wait at a model engine; 0 is served first.
    pub priority: HeaderName,
    /// Name of the model that a request asks for.
    pub model: HeaderName,
    /// Tokens of the prompt and largest number of tokens of the answer, separated by a comma.
    pub tokens: HeaderName,
    /// Parts of the prompt in order, as `ID:TOKENS` separated by commas; the last one is the request's own.
    pub prefix: HeaderName,
    /// Id of the last event that the sender has, to resume a stream.
    pub last_event: HeaderName,
    /// Signature that marks an answer as written by a backend server.
    pub signature: HeaderName,
    /// Present if the backend server did not run the request.
    pub not_run: HeaderName,
    /// Present, and not `0`, if the backend server is draining.
    pub draining: HeaderName,
    /// Requests per second that the backend server takes from all entries together, if it limits them.
    pub limit: HeaderName,
    /// Further headers of the platform's servers that entries only pass on. Any other header of an answer is logged.
    pub passed_on: Vec<HeaderName>,
}
