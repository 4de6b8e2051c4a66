//! One entry VM's decision logic, composed of scheduler and cluster.
