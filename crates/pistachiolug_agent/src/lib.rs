//! Agent: the process next to one backend server that admits its calls and loads the model versions it should serve.

pub mod calls;
pub mod crash;
pub mod incarnation;
pub mod metrics;
pub mod monitor;
pub mod peers;
pub mod process;
pub mod router;
pub mod weights;
