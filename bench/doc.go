// Package bench holds benchmarks of whole instances. Sizes are checked against
// the bounds of the stated targets; timings are only printed, those of statements
// as ratios to a direct connection in the same run.
package bench
