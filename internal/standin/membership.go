package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const maxReportSize = 1 << 10

// StartMembershipService starts a membership service on a loopback address that accepts every report. stop ends it.
func StartMembershipService() (addr string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go acceptReports(c)
		}
	}()
	stop = func() { _ = listener.Close() } // only fails if it is closed already
	return listener.Addr().String(), stop, nil
}

// acceptReports answers each HTTP request of a connection with 204.
func acceptReports(c net.Conn) {
	defer func() { _ = c.Close() }() // the peer may have closed it
	if c.SetDeadline(time.Now().Add(connectionTimeout)) != nil {
		return
	}
	in := bufio.NewReader(c)
	length := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimSpace(line) != "" {
			_, _ = fmt.Sscanf(strings.ToLower(line), "content-length: %d", &length) // other headers don't match
			continue
		}
		if _, err := in.Discard(min(length, maxReportSize)); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
			return
		}
	}
}
