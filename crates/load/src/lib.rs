//! Open-loop load and experiment tool that checks the promises.
