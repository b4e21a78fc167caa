package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Time limits of the servers. The idle limit is longer than that of the
// clients (90 s), so that a client does not use a connection that is closing.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 5 * time.Second
)

// serve answers on the listener until ctx ends, then runs prepare, ends the
// calls that still wait and closes all connections.
func serve(ctx context.Context, listener net.Listener, handler http.Handler, prepare func()) error {
	calls, endCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer endCalls()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return calls },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	prepare()
	endCalls()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(limit)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	if ended := <-failed; !errors.Is(ended, http.ErrServerClosed) {
		return ended
	}
	return err
}
