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

// readAll returns the events of all frames in b.
func readAll(b []byte) (events []Event, err error) {
	r := NewReader(bytes.NewReader(b))
	for {
		if _, err := r.Batch(); errors.Is(err, io.EOF) {
			return events, nil
		} else if err != nil {
			return events, err
		}
		for {
			ev, more, err := r.Next()
			if err != nil {
				return events, err
			}
			if !more {
				break
			}
			events = append(events, ev)
		}
	}
}

const arrivalRecord = "1e 00000039 0003 5d3a91c4 0000 0000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 41c40000" +
	"3f200000 01 0011 00000000001c3a90 0e6f2b19"

func TestRead(t *testing.T) {
	cases := []struct {
		name, frame, wantErr string
		want                 []control.Event
	}{
		{name: "empty batch", frame: "00000000 00000001f568bf90 00000000"},
		{
			name: "example of the protocol documentation",
			frame: "00000069 00000001f568bf90 00000003" + arrivalRecord +
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
			name: "no customers, no propagated deadline, an unmarked retry, no cost hint",
			frame: "0000003e 0000000000000000 00000001 1e 00000039 0003 5d3a91c4 0001 0000 0000000000000000 0000000000000000 0000000000000000" +
				"41c40000 3f200000 00 0011 0000000000000000 00000000",
			want: []control.Event{{Kind: control.Arrived, RPC: 0x5d3a91c4, Method: 1, QueuedKB: 24.5, Caller: 17}},
		},
		{
			name: "cost hint without its valid flag is ignored",
			frame: "0000003e 0000000000000000 00000001 1e 00000039 0003 5d3a91c4 0001 0000 0000000000000000 0000000000000000 0000000000b71b00" +
				"41c40000 3f200000 06 0011 0000000000000000 00000000",
			want: []control.Event{{Kind: control.Arrived, RPC: 0x5d3a91c4, Method: 1, QueuedKB: 24.5, Caller: 17, Retry: true}},
		},
		{
			name:  "preempted run",
			frame: "00000014 0000000000000000 00000001 32 0000000f 0003 5d3a91c4 06 00000000011a49a0",
			want:  []control.Event{{Kind: control.Completed, RPC: 0x5d3a91c4, Outcome: control.OutcomeCancelled, Elapsed: 18.5}},
		},
		{
			name:  "unreachable dependency and dependency call whose connection was reset",
			frame: "00000028 0000000000000000 00000002 46 0000000f 0003 5d3a91c4 04 0000000000000000 46 0000000f 0003 5d3a91c4 05 0000000000000000",
			want:  []control.Event{{Kind: control.CallCompleted, RPC: 0x5d3a91c4, Outcome: control.OutcomeUnreachable}, {Kind: control.CallCompleted, RPC: 0x5d3a91c4, Outcome: control.OutcomeReset}},
		},
		{
			name:    "truncated field",
			frame:   "0000000d 0000000000000000 00000001 32 00000008 0003 5d3a91c4 01 00",
			wantErr: "truncated field: want 8 bytes, have 1",
		},
		{
			name:  "absent trailing fields are zero",
			frame: "0000000b 0000000000000000 00000001 32 00000006 0003 5d3a91c4",
			want:  []control.Event{{Kind: control.Completed, RPC: 0x5d3a91c4, Outcome: control.OutcomeError}},
		},
		{name: "truncated batch header", frame: "00000000 00", wantErr: "frame 1: truncated batch header: want 16 bytes, got 5"},
		{name: "truncated batch", frame: "ffffffff 0000000000000000 00000001 32", wantErr: "truncated batch: length field is 4294967295 bytes, got 1"},
		{name: "record longer than the batch", frame: "00000006 0000000000000000 00000001 5a 00000009 00", wantErr: "truncated record: length field is 9 bytes"},
		{name: "unknown event code", frame: "00000007 0000000000000000 00000001 63 00000002 0003", wantErr: "frame 1, record 1: unknown event code 99"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			events, err := readAll(unhex(t, c.frame))
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Fatalf("reading the frame: got error %v, want %q", err, c.wantErr)
				}
				return
			}
			if err != nil || len(events) != len(c.want) {
				t.Fatalf("reading the frame: got %d events, error %v", len(events), err)
			}
			for i := range events {
				if events[i].Event != c.want[i] {
					t.Errorf("event:\ngot  %+v\nwant %+v", events[i].Event, c.want[i])
				}
			}
		})
	}
}

func TestReply(t *testing.T) {
	var p Reply
	var out bytes.Buffer
	if _, err := p.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, 8)) {
		t.Fatalf("empty reply: got % x, error %v", out.Bytes(), err)
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
		t.Errorf("reply:\ngot  %x\nwant %x", out.Bytes(), want)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(unhex(f, "00000000 00000001f568bf90 00000000"))
	f.Add(unhex(f, "0000003e 00000001f568bf90 00000001"+arrivalRecord))
	f.Fuzz(func(t *testing.T, b []byte) {
		if events, err := readAll(b); err == nil && len(events) > len(b)/5 {
			t.Errorf("got %d events from %d bytes, but each record has at least 5", len(events), len(b))
		}
	})
}
