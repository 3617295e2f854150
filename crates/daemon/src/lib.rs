//! The auburnsaddle daemon.
