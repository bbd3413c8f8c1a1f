// Package bench holds benchmarks of whole instances: counted figures are
// checked against bounds from the stated targets, timings are printed as ratios
// to a direct connection in the same run.
package bench
