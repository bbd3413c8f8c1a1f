// Package process holds tests and benchmarks that run entry instances as separate
// processes on loopback.
package process
