package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// record encodes one event: its code, its instance and its other fields.
func record(code byte, instance uint16, fields ...byte) []byte {
	b := []byte{code, 0, 0, 0, 0, byte(instance >> 8), byte(instance)}
	b = append(b, fields...)
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-5))
	return b
}

func open(instance uint16, settings string) []byte {
	b := binary.BigEndian.AppendUint64(nil, 7)
	b = binary.BigEndian.AppendUint32(b, uint32(len(settings)))
	return record(10, instance, append(b, settings...)...)
}

func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, 1e9)
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

func TestServe(t *testing.T) {
	const settings = "classes.count=1\nfamily_info.ram_kb=1000\n"
	arrival := record(30, 3, 0, 0, 0, 9)
	cases := []struct {
		name    string
		frames  [][]byte
		actions []uint32 // number of actions in each reply
		wantErr string   // part of the error; empty for none
	}{
		{"end of input", nil, nil, ""},
		{"instance opened, then an RPC", [][]byte{frame(open(3, settings)), frame(arrival)}, []uint32{2, 1}, ""},
		{"open instance opened again", [][]byte{frame(open(3, settings), open(3, settings))}, []uint32{4}, ""},
		{"instance exited and opened again", [][]byte{frame(open(3, settings)), frame(record(40, 3), open(3, settings))}, []uint32{2, 2}, ""},
		{"RPC after the instance exited", [][]byte{frame(open(3, settings), record(40, 3)), frame(arrival)}, []uint32{2}, "event for instance 3, which is not open"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := serve(bytes.NewReader(bytes.Join(c.frames, nil)), &out)
			if c.wantErr == "" && err != nil || c.wantErr != "" && (err == nil || !strings.Contains(err.Error(), c.wantErr)) {
				t.Errorf("serve: got error %v, want %q", err, c.wantErr)
			}
			for i, count := range c.actions {
				header := out.Next(8)
				if len(header) < 8 || binary.BigEndian.Uint32(header[4:]) != count {
					t.Fatalf("header of reply %d: got % x, want %d actions", i, header, count)
				}
				out.Next(int(binary.BigEndian.Uint32(header)))
			}
			if out.Len() > 0 {
				t.Errorf("output has %d bytes after the expected replies", out.Len())
			}
		})
	}
}
