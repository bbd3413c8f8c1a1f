// Package process holds tests that run entry instances as processes of their
// own.
package process
