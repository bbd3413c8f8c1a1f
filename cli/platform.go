package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"anviltack/logs"
	"anviltack/platform"
)

type platformCmd struct {
	MetricsPort uint16 `default:"9464" help:"Port of metrics and of the state dump; 0 for none."`
	Settings    string `arg:"" optional:"" env:"ANVILTACK_NODE_FILE" help:"The platform's settings file." type:"path"`
}

// goMemoryLimitShare is the part of the platform's memory limit that is set as Go's
// soft memory limit, at which the garbage collector runs more often; the rest is for
// stacks, buffers and the kernel.
const goMemoryLimitShare = 0.5

// Run serves callers on the users' platform until a planned stop, which a signal
// starts, is complete.
func (c *platformCmd) Run(s *streams) error {
	loaded, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return &statusError{status: exitSettings, err: err}
	}
	loaded.SetMetricsPort(c.MetricsPort)
	if loaded.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryLimitShare * float64(loaded.MemoryMB) * (1 << 20)))
	}
	writer := logs.NewWriter(s.out)
	defer writer.Close()
	log := logrus.New()
	log.SetOutput(writer)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	go watchSignals(signals, log, c.Settings, stop)
	return platform.Run(context.Background(), loaded, log, stop)
}

// watchSignals starts the planned stop on SIGINT or SIGTERM; on SIGHUP it only
// validates the settings file.
func watchSignals(signals <-chan os.Signal, log *logrus.Logger, path string, stop chan<- struct{}) {
	for received := range signals {
		if received != syscall.SIGHUP {
			close(stop)
			return
		}
		if _, err := platform.LoadSettings(path); err != nil {
			log.WithError(err).Warn("could not read the changed settings; the previous ones stay in force")
			continue
		}
		log.Info("settings file is valid; changed addresses and limits take effect at the next start")
	}
}
