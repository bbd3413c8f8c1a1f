package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"anviltack/core/patch"
	"anviltack/instance"
	"anviltack/settings"
)

type serveCmd struct {
	Settings string `arg:"" help:"Settings file: JSON with comments." type:"path"`
}

// Run serves callers until a signal ends the process.
func (c *serveCmd) Run(s *streams) error {
	checked, err := settings.Load(c.Settings)
	if err != nil {
		return &statusError{status: exitSettings, err: err}
	}
	log := logrus.New()
	log.SetOutput(s.err)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(checked.Level)
	if err != nil {
		return fmt.Errorf("cli: bad log level: %w", err)
	}
	log.SetLevel(level)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return instance.New(checked, instance.WithLog(log), instance.WithWatch(watch(checked))).Serve(ctx)
}

// watch follows the configuration at the platform.
func watch(s settings.Settings) instance.Watch {
	index := "0"
	return func(ctx context.Context, after uint64) (uint64, *patch.Config, error) {
		for {
			url := "http://" + s.Platform[0].String() + "/v1/kv/anviltack/config?wait=10s&index=" + index
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				return 0, nil, err
			}
			answer, err := http.DefaultClient.Do(r)
			if err != nil {
				return 0, nil, err
			}
			var entries []struct {
				Value       []byte
				ModifyIndex uint64
			}
			err = json.NewDecoder(answer.Body).Decode(&entries)
			_ = answer.Body.Close()
			if err != nil || len(entries) != 1 {
				return 0, nil, fmt.Errorf("cli: no configuration: %w", err)
			}
			index = strconv.FormatUint(entries[0].ModifyIndex, 10)
			var document struct {
				Version uint64
				Config  patch.Config
			}
			if err := json.Unmarshal(entries[0].Value, &document); err != nil {
				return 0, nil, fmt.Errorf("cli: bad configuration: %w", err)
			}
			if document.Version > after {
				return document.Version, &document.Config, nil
			}
		}
	}
}
