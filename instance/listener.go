package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

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
	return l.accept(ctx, socket)
}

// acceptRetryDelay is the delay before the next connection is accepted after one could not be.
const acceptRetryDelay = 100 * time.Millisecond

// accept accepts connections until the socket is closed. It does not return for another error,
// such as a lack of file descriptors: the context of all sessions would end.
func (l *listener) accept(ctx context.Context, socket net.Listener) error {
	for {
		nc, err := socket.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("instance: could not accept a caller: %w", err)
		}
		if err != nil {
			l.instance.event(core.EventService).WithError(err).Warn("could not accept a caller")
			sleep(ctx, acceptRetryDelay)
			continue
		}
		go l.instance.serveCaller(ctx, nc)
	}
}
