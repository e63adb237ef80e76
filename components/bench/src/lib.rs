//! Load generator, fault scenarios, comparison with naive policies, and checker of the promises.

pub mod arrival;
pub mod balance;
pub mod capacity;
pub mod checker;
pub mod customer;
pub mod defect;
pub mod journal;
pub mod measure;
pub mod operator;
pub mod policy;
pub mod report;
pub mod run;
pub mod scenario;
pub mod testbed;
pub mod trainer;
