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
	Name string   `required:"" help:"Name of this replica. It must not change on a restart."`
	Peer []string `required:"" placeholder:"NAME=RAFT,HTTP" sep:"none" help:"A replica: its name, its address for other replicas and its address for clients. Repeat for each replica, including this one."`
	Dir  string   `required:"" type:"path" help:"Directory for the log and snapshots, on a persistent disk."`
	Bind string   `help:"Address to listen on for other replicas, if it differs from the one in --peer."`
	New  bool     `help:"Start a new cluster: the directory may be empty."`
	Join bool     `help:"Start in place of another replica: the directory may be empty. The replace command adds this replica."`
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

// parsePeers parses the --peer flags, each of the form NAME=RAFT,HTTP.
func parsePeers(texts []string) (peers []permitserver.Peer, err error) {
	for _, text := range texts {
		name, addrs, hasName := strings.Cut(text, "=")
		raft, http, hasBoth := strings.Cut(addrs, ",")
		if !hasName || !hasBoth || name == "" {
			return nil, fmt.Errorf("--peer: expected NAME=RAFT,HTTP, got %q", text)
		}
		peers = append(peers, permitserver.Peer{Name: name, RaftAddr: raft, HTTPAddr: http})
	}
	return peers, nil
}
