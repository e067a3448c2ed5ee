package daemon

// This file owns how the listening address is taken. It must never wait past a signal to stop.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// portWait is how long an address may be held by another process: one that ends by SIGTERM has gone by its stop time
	// at the latest, and a server that is not ready in half a minute has failed.
	addressTimeout     = 25 * time.Second
	addressRetryPeriod = 20 * time.Millisecond // between two tries
)

// errStopped tells that a signal to stop came first.
var errStopSignal = errors.New("told to stop")

// listen takes the address. One that another process still holds, as an old copy that drains may, is waited for until a
// signal to stop comes, or portWait is over; waits is called once before that.
func listen(addr string, stop <-chan os.Signal, waits func()) (net.Listener, error) {
	over := time.NewTimer(addressTimeout)
	defer over.Stop()
	look := time.NewTicker(addressRetryPeriod)
	defer look.Stop()
	for first := true; ; first = false {
		ln, err := net.Listen("tcp", addr)
		switch {
		case err == nil:
			return ln, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, fmt.Errorf("listen: %w", err)
		case first:
			waits()
		}
		select {
		case <-look.C:
		case <-stop:
			return nil, errStopSignal
		case <-over.C:
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
}
