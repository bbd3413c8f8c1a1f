package instance

import (
	"context"
	"fmt"
	"net"

	"anviltack/core"
)

// listener accepts callers.
type listener struct {
	instance *Instance
}

// Serve accepts callers until the context ends.
func (l *listener) Serve(ctx context.Context) error {
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
		go l.instance.serve(ctx, nc)
	}
}
