//! Load generator, randomised runs, scenarios and experiments.
