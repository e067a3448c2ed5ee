package testbed

import (
	"io"
	"net"
	"testing"
	"time"
)

// closeAtEnd closes c when the test ends.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}

// sendTo sends one datagram.
func sendTo(t *testing.T, c *net.UDPConn, text string, to *net.UDPAddr) {
	t.Helper()
	if _, err := c.WriteToUDP([]byte(text), to); err != nil {
		t.Fatal(err)
	}
}

// A relay knows the sender, passes packets both ways, cuts one direction, and lets a stream that stood still go on.
func TestRelay(t *testing.T) {
	n, err := NewNetwork(1, "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	a, b := n.Endpoint("a"), n.Endpoint("b")
	ends := map[*Endpoint]*net.UDPConn{}
	for _, e := range []*Endpoint{a, b} {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(e.ListenIP), Port: e.Port})
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, c)
		if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		ends[e] = c
	}
	to, err := net.ResolveUDPAddr("udp", b.AdvertiseAddr())
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 100)
	sendTo(t, ends[a], "word", to)
	size, from, err := ends[b].ReadFromUDP(buf)
	if err != nil || string(buf[:size]) != "word" || from.String() != a.AdvertiseAddr() {
		t.Fatalf("%q from %v, %v", buf[:size], from, err)
	}
	n.UpdateRules("one way", []string{"a"}, []string{"b"}, func(r *Rule) { r.Cut = true })
	sendTo(t, ends[a], "lost", to)
	sendTo(t, ends[b], "back", from)
	if size, _, err := ends[a].ReadFromUDP(buf); err != nil || string(buf[:size]) != "back" {
		t.Fatalf("the other way: %q %v", buf[:size], err)
	}
	for end := time.Now().Add(20 * time.Second); n.Counts().Dropped == 0; time.Sleep(time.Millisecond) { // before the heal lets it through
		if time.Now().After(end) {
			t.Fatalf("%+v", n.Counts())
		}
	}
	ln, err := net.Listen("tcp", b.ListenAddr())
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, ln)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }() // echoes until the stream breaks
		}
	}()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(a.ListenIP)}}
	c, err := d.Dial("tcp", b.AdvertiseAddr())
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, c)
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	streams := n.counts.Streams
	n.mu.Unlock()
	if streams != 0 {
		t.Error("a stream went through a cut")
	}
	n.Heal()
	if _, err := io.ReadFull(c, buf[:4]); err != nil || string(buf[:4]) != "held" {
		t.Errorf("after the heal: %q %v", buf[:4], err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts.Dropped != 1 {
		t.Errorf("%+v", n.counts)
	}
}

func TestCheckerThatSawNothing(t *testing.T) {
	w := &Watch{}
	if _, err := w.SettledAt(0, time.Second, []string{"a"}, ExpectView("whole", 2)); err == nil {
		t.Error("a watch that saw nothing says that all is well")
	}
	w.observations = []Observation{{At: 1, Name: "a"}, {At: 2, Name: "a"}, {At: 3, Name: "a"}}
	if _, err := w.SettledAt(0, time.Second, []string{"a"}, ExpectView("whole", 2)); err == nil {
		t.Error("views that never were as wanted pass")
	}
}
