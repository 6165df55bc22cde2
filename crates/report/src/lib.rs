//! Service-level burn report per plan and service.
