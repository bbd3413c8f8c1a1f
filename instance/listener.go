package instance

import (
	"context"
	"fmt"
	"net"

	"anviltack/core"
)

// listener accepts connections of callers.
type listener struct {
	instance *Instance
}

// Serve accepts connections until the context ends. It starts to listen once a
// configuration is in force, because every caller would be unknown before.
func (l *listener) Serve(ctx context.Context) error {
	select {
	case <-l.instance.configured:
	case <-ctx.Done():
		return ctx.Err()
	}
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", l.instance.settings.Callers.String())
	if err != nil {
		return fmt.Errorf("instance: could not listen for callers: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	l.instance.event(core.EventListening).WithField("callers", l.instance.settings.Callers).Info("listening")
	for {
		nc, err := socket.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("instance: could not accept a caller: %w", err)
		}
		go l.instance.serveCaller(ctx, nc)
	}
}
