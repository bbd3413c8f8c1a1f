package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"anviltack/instance"
	"anviltack/io/consul"
	"anviltack/settings"
)

type serveCmd struct {
	Settings string `arg:"" help:"Settings file: JSON with comments." type:"path"`
}

// Run serves callers until a planned stop, which a signal starts, is complete.
func (c *serveCmd) Run(s *streams) error {
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return &statusError{status: exitSettings, err: err}
	}
	log := logrus.New()
	log.SetOutput(s.err)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(loaded.Level)
	if err != nil {
		return fmt.Errorf("cli: could not parse the log level: %w", err)
	}
	log.SetLevel(level)
	client := consul.New(loaded.Platform)
	running := instance.New(loaded, instance.WithLog(log), instance.WithPlatform(client.Store(), client.List()))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		for range signals {
			running.Drain()
		}
	}()
	return running.Serve(context.Background())
}
