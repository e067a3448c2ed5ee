package experiment

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

const (
	loopback         = "127.0.0.1:0" // any free port
	serverStartLimit = 5 * time.Second
	serverStopLimit  = time.Second
)

// inProcessServer is a server of this build in this process, on loopback. The daemon's own code assembles it.
type inProcessServer struct {
	rpcAddress string
	webAddress string
	gate       *gate.Gate
	pools      *pools.Backends
	daemon     *daemon.Server
}

// startServer starts a server in front of an engine, with an operator's file whose listen address is ignored.
func startServer(settings *startup.Config, engineAddress string, file *operator.File) (*inProcessServer, error) {
	return startServerAt(settings, engineAddress, file, nil, loopback, loopback)
}

// startServerAt is startServer at given addresses, with results cached in a token store if that is not nil. It returns
// once the engine has answered, or after a while without.
func startServerAt(settings *startup.Config, engineAddress string, file *operator.File, tokens gate.TokenStore, rpcAddress, webAddress string) (*inProcessServer, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if strings.HasSuffix(webAddress, ":0") { // an operator's file names its port
		var err error
		if webAddress, err = freeLoopbackAddress(); err != nil {
			return nil, err
		}
	}
	uwsgi := *file.UWSGI
	uwsgi.Listen = webAddress
	record := operator.Record{File: *file}
	record.File.UWSGI = &uwsgi
	ln, err := net.Listen("tcp", rpcAddress)
	if err != nil {
		return nil, err
	}
	config := daemon.Config{
		Process:  &startup.Process{Name: "lab", Engine: engineAddress, MemoryMB: 256, Sockets: 4096, Settings: settings},
		Operator: &record,
	}
	assembled, err := daemon.New(daemon.Options{
		Config: config, Listener: ln, Log: logger.WithField("node", "lab"), TokenStore: tokens,
	})
	if err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	s := &inProcessServer{
		rpcAddress: ln.Addr().String(),
		webAddress: assembled.WebAddress(),
		gate:       assembled.Gate,
		pools:      assembled.Pools(),
		daemon:     assembled,
	}
	began := time.Now()
	for !s.gate.Started() && time.Since(began) < serverStartLimit {
		time.Sleep(time.Millisecond)
	}
	return s, nil
}

// close ends the server once what is in flight has been answered, within a second.
func (s *inProcessServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), serverStopLimit)
	defer cancel()
	s.daemon.Shutdown(ctx)
	s.daemon.Close()
}

// freeLoopbackAddress is one that nothing listens on just now.
func freeLoopbackAddress() (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}
