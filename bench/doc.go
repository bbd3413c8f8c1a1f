// Package bench holds the benchmarks of whole instances: counted figures are
// gated against bounds from the stated targets, timings are printed as ratios to
// a direct connection in the same run.
package bench
