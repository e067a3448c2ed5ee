package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"sorrelvalve/control"
)

func unhex(t testing.TB, s string) []byte {
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// readAll reads every event of every frame in b.
func readAll(b []byte) (evs []Event, err error) {
	r := NewReader(bytes.NewReader(b))
	for {
		if _, err := r.Batch(); errors.Is(err, io.EOF) {
			return evs, nil
		} else if err != nil {
			return evs, err
		}
		for {
			ev, more, err := r.Next()
			if err != nil {
				return evs, err
			}
			if !more {
				break
			}
			evs = append(evs, ev)
		}
	}
}

const ask = "1e 00000039 0003 5d3a91c4 0000 0000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 41c40000" +
	"3f200000 01 0011 00000000001c3a90 0e6f2b19"

func TestRead(t *testing.T) {
	cases := []struct {
		name, frame, bad string
		want             []control.Event
	}{
		{name: "empty batch", frame: "00000000 00000001f568bf90 00000000"},
		{
			name: "the page's example",
			frame: "00000069 00000001f568bf90 00000003" + ask +
				"14 0000001b 0003 000000000000004d 04 3f1eb852404000003ed1eb8542f00000" +
				"5a 00000006 0005 0e6f2b19",
			want: []control.Event{
				{
					Kind: control.Arrived, RPC: 0x5d3a91c4, Subject: 0x91f03b7c55d20a64, Remaining: 240, CostHint: 12,
					QueuedKB: 24.5, Caller: 17, Age: 1.85, DuplicateOf: 0x0e6f2b19,
				},
				{Kind: control.TimerFired, Label: 77},
				{Kind: control.CallerGone, RPC: 0x0e6f2b19},
			},
		},
		{
			name: "no customers, no propagated deadline, an unmarked retry, no hint",
			frame: "0000003e 0000000000000000 00000001 1e 00000039 0003 5d3a91c4 0001 0000 0000000000000000 0000000000000000 0000000000000000" +
				"41c40000 3f200000 00 0011 0000000000000000 00000000",
			want: []control.Event{{Kind: control.Arrived, RPC: 0x5d3a91c4, Method: 1, QueuedKB: 24.5, Caller: 17}},
		},
		{
			name: "a hint that is not valid does not count",
			frame: "0000003e 0000000000000000 00000001 1e 00000039 0003 5d3a91c4 0001 0000 0000000000000000 0000000000000000 0000000000b71b00" +
				"41c40000 3f200000 06 0011 0000000000000000 00000000",
			want: []control.Event{{Kind: control.Arrived, RPC: 0x5d3a91c4, Method: 1, QueuedKB: 24.5, Caller: 17, Retry: true}},
		},
		{
			name:  "a run that was preempted",
			frame: "00000014 0000000000000000 00000001 32 0000000f 0003 5d3a91c4 06 00000000011a49a0",
			want:  []control.Event{{Kind: control.Completed, RPC: 0x5d3a91c4, Outcome: control.OutcomeCancelled, Elapsed: 18.5}},
		},
		{
			name:  "a dependency call that never ran, and one that was reset",
			frame: "00000028 0000000000000000 00000002 46 0000000f 0003 5d3a91c4 04 0000000000000000 46 0000000f 0003 5d3a91c4 05 0000000000000000",
			want:  []control.Event{{Kind: control.CallCompleted, RPC: 0x5d3a91c4, Outcome: control.OutcomeUnreachable}, {Kind: control.CallCompleted, RPC: 0x5d3a91c4, Outcome: control.OutcomeReset}},
		},
		{
			name:  "fields left out are zero",
			frame: "0000000d 0000000000000000 00000001 32 00000008 0003 5d3a91c4 01 00",
			bad:   "field of 8 bytes expected, 1 there",
		},
		{
			name:  "absent at the end",
			frame: "0000000b 0000000000000000 00000001 32 00000006 0003 5d3a91c4",
			want:  []control.Event{{Kind: control.Completed, RPC: 0x5d3a91c4, Outcome: control.OutcomeError}},
		},
		{name: "header cut off", frame: "00000000 00", bad: "frame 1: header of 16 bytes cut off after 5"},
		{name: "body cut off", frame: "ffffffff 0000000000000000 00000001 32", bad: "4294967295 bytes announced, 1 there"},
		{name: "record overruns", frame: "00000006 0000000000000000 00000001 5a 00000009 00", bad: "record of 9 bytes"},
		{name: "unknown code", frame: "00000007 0000000000000000 00000001 63 00000002 0003", bad: "an event code expected, 99"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			evs, err := readAll(unhex(t, c.frame))
			if c.bad != "" {
				if err == nil || !strings.Contains(err.Error(), c.bad) {
					t.Fatalf("error %v, want %q", err, c.bad)
				}
				return
			}
			if err != nil || len(evs) != len(c.want) {
				t.Fatalf("%d events, error %v", len(evs), err)
			}
			for i := range evs {
				if evs[i].Event != c.want[i] {
					t.Errorf("got %+v\nwant %+v", evs[i].Event, c.want[i])
				}
			}
		})
	}
}

func TestReply(t *testing.T) {
	var p Reply
	var out bytes.Buffer
	if _, err := p.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, 8)) {
		t.Fatalf("empty reply is % x, error %v", out.Bytes(), err)
	}
	out.Reset()
	p.Add(3, []control.Action{{Kind: control.Run, RPC: 0x5d3a91c4}, {Kind: control.SetTimer, Time: 0x213362490 / 1e6, Label: 77}})
	p.Add(5, []control.Action{{Kind: control.LogEvent, Message: "two servers known"}})
	p.Add(3, []control.Action{{Kind: control.Reject, RPC: 0x0e6f2b19, NoRetry: true, Time: 250}, {Kind: control.SetFeedback, Feedback: 0.25}})
	if _, err := p.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, "0000005b 00000005 0a 00000006 0003 5d3a91c4"+
		"82 00000012 0003 0000000213362490 000000000000004d"+
		"8c 00000015 0005 0011 74776f2073657276657273206b6e6f776e"+
		"14 0000000f 0003 0e6f2b19 01 000000000ee6b280 6e 00000006 0003 3e800000")
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(unhex(f, "00000000 00000001f568bf90 00000000"))
	f.Add(unhex(f, "0000003e 00000001f568bf90 00000001"+ask))
	f.Fuzz(func(t *testing.T, b []byte) {
		if evs, err := readAll(b); err == nil && len(evs) > len(b)/5 {
			t.Errorf("%d events out of %d bytes", len(evs), len(b))
		}
	})
}
