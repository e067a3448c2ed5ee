package permitserver

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// No heartbeat may reach the log after it is closed: raft panics if it can't store a new term. The test closes a replica while
// four senders send it heartbeats of increasing terms.
func TestHeartbeatsWhileClosing(t *testing.T) {
	for range 20 {
		address := freeAddress(t)
		s, err := Start(Options{Name: "k0", Peers: []Peer{{"k0", address, freeAddress(t)}}, DataDir: t.TempDir(), Bootstrap: true, Log: discardLog()})
		if err != nil {
			t.Fatal(err)
		}
		stop := make(chan struct{})
		var senders sync.WaitGroup
		for range 4 {
			senders.Go(func() { sendRaftHeartbeats(t, address, stop) })
		}
		time.Sleep(20 * time.Millisecond)
		s.Close()
		close(stop)
		senders.Wait()
	}
}

// sendRaftHeartbeats sends heartbeats of increasing terms to a replica until stop is closed or the replica does not respond.
func sendRaftHeartbeats(t *testing.T, address string, stop <-chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	transport := raft.NewNetworkTransport(&streamLayer{Listener: ln, advertised: ln.Addr()}, 1, time.Second, nil)
	defer func() {
		if err := transport.Close(); err != nil {
			t.Error(err)
		}
	}()
	for term := uint64(100); ; term++ {
		select {
		case <-stop:
			return
		default:
		}
		heartbeat := &raft.AppendEntriesRequest{RPCHeader: raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("k1"), Addr: []byte(ln.Addr().String())}, Term: term}
		var response raft.AppendEntriesResponse
		if err := transport.AppendEntries("k0", raft.ServerAddress(address), heartbeat, &response); err != nil {
			return // the replica has closed
		}
	}
}
