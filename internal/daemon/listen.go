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
	// addressTimeout is how long listen waits for an address held by another process: a process that received SIGTERM
	// exits within its stop timeout, and a server that is not ready within half a minute is considered failed.
	addressTimeout = 25 * time.Second
	// addressRetryPeriod is the time between two attempts to listen.
	addressRetryPeriod = 20 * time.Millisecond
)

// errStopSignal is returned by listen if a signal to stop ends the wait.
var errStopSignal = errors.New("received a signal to stop")

// listen listens on addr. If another process holds the address, such as a previous instance that is draining, listen calls
// onWait once and retries for addressTimeout. It returns errStopSignal if a signal to stop arrives meanwhile.
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
