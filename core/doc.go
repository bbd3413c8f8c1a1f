// Package core holds the types that every decision package shares: names,
// positions in a group's log, endpoint statuses and result codes.
//
// Nothing in core or below it opens a socket, starts a goroutine or reads a
// clock; times and random numbers are passed in.
package core
