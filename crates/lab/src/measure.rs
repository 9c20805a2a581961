//! Long measurements, run as commands of the program.
