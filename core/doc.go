// Package core defines the types that the packages of the decision logic share:
// names, points in a group's log, endpoint statuses, result codes and log events.
//
// Neither this package nor its subpackages open sockets, start goroutines or read
// the clock; times and random numbers are passed in.
package core
