package command

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/permitserver"
)

type serveCommand struct {
	Name string   `required:"" help:"Of this replica, the same after a restart."`
	Peer []string `required:"" placeholder:"NAME=RAFT,HTTP" sep:"none" help:"One of all replicas, this one included: its name, where the other replicas reach it, where clients do. Given once for each."`
	Dir  string   `required:"" type:"path" help:"For the log and snapshots, on a disk that lasts."`
	Bind string   `help:"Where to listen for other replicas, if not where they reach this one."`
	New  bool     `help:"A new cluster: the folder may be empty."`
	Join bool     `help:"In place of another replica: the folder may be empty, and replace adds this one."`
}

// Run serves until SIGTERM, SIGINT or an error.
func (c serveCommand) Run() error {
	peers, err := parsePeers(c.Peer)
	if err != nil {
		return err
	}
	log := daemon.NewLog(os.Stderr).WithField("replica", c.Name)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	server, err := permitserver.Start(permitserver.Options{
		Name:      c.Name,
		Peers:     peers,
		Bind:      c.Bind,
		DataDir:   c.Dir,
		Bootstrap: c.New,
		Join:      c.Join,
		Log:       log,
	})
	if err != nil {
		return err
	}
	defer server.Close()
	listen := ""
	for _, p := range peers {
		if p.Name == c.Name {
			listen = p.HTTPAddr
		}
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	log.WithField("listen", listen).Info("permitserver.started")
	select {
	case <-stop:
		server.Close()
		if err := <-served; err != nil {
			log.WithError(err).Warn("permitserver.serve_failed")
		}
		return nil
	case err := <-served:
		return err
	}
}

// parsePeers reads the peers of the command line, each NAME=RAFT,HTTP.
func parsePeers(texts []string) (peers []permitserver.Peer, err error) {
	for _, text := range texts {
		name, addrs, hasName := strings.Cut(text, "=")
		raft, http, hasBoth := strings.Cut(addrs, ",")
		if !hasName || !hasBoth || name == "" {
			return nil, fmt.Errorf("--peer: NAME=RAFT,HTTP expected, %q there", text)
		}
		peers = append(peers, permitserver.Peer{Name: name, RaftAddr: raft, HTTPAddr: http})
	}
	return peers, nil
}
