// Package golden tests whole sessions against golden files: scripts run callers
// against instances and simulated endpoints in one process, over loopback.
package golden
