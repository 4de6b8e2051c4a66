//! Stand-ins for model engines, plain services, the configuration service and the VM list.
