package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// addressTimeout is how long an address may be held by another process: one that ends by SIGTERM has gone by its
	// stop time at the latest, and a server that is not ready in half a minute has failed.
	addressTimeout = 25 * time.Second
	// addressRetryPeriod is the time between two attempts to take it.
	addressRetryPeriod = 20 * time.Millisecond
)

// errStopSignal tells that a signal to stop came first.
var errStopSignal = errors.New("told to stop")

// listen takes the address. One that another process still holds, as an old copy that drains may, is waited for until a
// signal to stop comes, which is errStopSignal, or addressTimeout is over; onWait is called once before that.
func listen(addr string, stop <-chan os.Signal, onWait func()) (net.Listener, error) {
	timeout := time.NewTimer(addressTimeout)
	defer timeout.Stop()
	retry := time.NewTicker(addressRetryPeriod)
	defer retry.Stop()
	for first := true; ; first = false {
		ln, err := net.Listen("tcp", addr)
		switch {
		case err == nil:
			return ln, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, fmt.Errorf("listen: %w", err)
		case first:
			onWait()
		}
		select {
		case <-retry.C:
		case <-stop:
			return nil, errStopSignal
		case <-timeout.C:
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
}
