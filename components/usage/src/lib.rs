//! Decisions of usage reports, free of I/O.
//!
//! Load pattern: dozens to thousands of requests a second on up to 420 VMs, of up to 10,000
//! workspaces. Any VM may be killed or frozen, the clocks of a quarter of the VMs may be wrong by
//! seconds, and the store or the platform may be away across the end of a window. Each window is
//! reported once, and all reports of a window are equal.

pub mod counter;
pub mod offset;
pub mod pace;
pub mod report;
pub mod window;

pub use counter::Counter;
pub use offset::{Agreement, Proposal, Schedule};
pub use pace::Pace;
pub use report::Report;
pub use window::Window;
