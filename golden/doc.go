// Package golden holds golden files of whole sessions: scripts that run callers
// against instances and stand-in endpoints in one process, over loopback.
package golden
