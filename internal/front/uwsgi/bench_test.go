package uwsgi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/startup"
	wire "sorrelvalve/internal/uwsgi"
)

// BenchmarkRPC measures the cost of each front with the same gate: consecutive RPCs on one kept connection over
// loopback, which run at once. With -cpu 1 the result is the RPC rate on one core, including the work of the peer.
func BenchmarkRPC(b *testing.B) {
	config, err := startup.Parse("classes.count=1\nclasses.0.name=view\nclasses.0.aim=9000000000\nfamily_info.cores=64\nfamily_info.ram_kb=1000000\nrules.tip_multiple=8\n")
	if err != nil {
		b.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("node", "n0")
	result := make([]byte, 512)
	run := func(_ gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		done(gate.Succeeded, 1, nil, result)
	}
	for _, protocol := range []string{"uwsgi", "msgpack"} {
		b.Run(protocol, func(b *testing.B) {
			g := gate.New(config, 64, func(string, string) {})
			g.Start(false, 0)
			table := front.NewConnTable(1024, g.IdleTimeout, log)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			open := mprpc.New(table, g, run, log).Open
			if protocol == "uwsgi" {
				open = New(table, g, run, file(), 7, log).Open
			}
			table.AddListener(ln.(*net.TCPListener), open)
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() {
				if err := conn.Close(); err != nil {
					b.Error(err)
				}
				ctx, end := context.WithTimeout(context.Background(), time.Second)
				defer end()
				table.Shutdown(ctx)
			}()
			in := bufio.NewReader(conn)
			body := make([]byte, 256)
			page := []byte(post("/view/7", string(body), "VALVE_KEEP", "1", "HTTP_HOST", "portal.example", "REMOTE_ADDR", "10.0.0.1",
				"SERVER_PROTOCOL", "HTTP/1.1", "HTTP_ACCEPT", "*/*", "HTTP_USER_AGENT", "Mozilla/5.0 (X11; Linux x86_64)"))
			var frame, answer []byte
			b.ReportAllocs()
			for n := uint64(1); b.Loop(); n++ {
				if protocol == "uwsgi" {
					if _, err := conn.Write(page); err != nil {
						b.Fatal(err)
					}
					size := 0
					for {
						line, err := in.ReadSlice('\n')
						if err != nil {
							b.Fatal(err)
						}
						if prefix := len("Content-Length: "); len(line) > prefix && string(line[:prefix]) == "Content-Length: " {
							size, _ = strconv.Atoi(string(line[prefix : len(line)-2]))
						}
						if len(line) == 2 {
							break
						}
					}
					if size != len(result) {
						b.Fatalf("body of the response has %d bytes", size)
					}
					if _, err := in.Discard(size); err != nil {
						b.Fatal(err)
					}
					continue
				}
				f := []string{"txn", fmt.Sprintf("%016x", n), "door", strconv.FormatInt(time.Now().UnixMilli(), 10), "lb", "4", "ram", "24.5"}
				frame = msgpack.AppendString(msgpack.AppendUint(append(msgpack.AppendArray(frame[:0], 4), 0), n), "view")
				frame = msgpack.AppendMap(msgpack.AppendArray(frame, 2), len(f)/2)
				for _, s := range f {
					frame = msgpack.AppendString(frame, s)
				}
				frame = append(msgpack.AppendBinHeader(frame, len(body)), body...)
				if _, err := conn.Write(frame); err != nil {
					b.Fatal(err)
				}
				for answer = answer[:0]; ; {
					c, err := in.ReadByte()
					if err != nil {
						b.Fatal(err)
					}
					more, _ := in.Peek(in.Buffered())
					answer = append(append(answer, c), more...)
					if _, err := in.Discard(len(more)); err != nil {
						b.Fatal(err)
					}
					p := msgpack.Parse(answer)
					if p.Skip(); p.Err() == nil {
						break
					}
				}
			}
		})
	}
}

// BenchmarkParseRequest measures the cost of parsing the block of variables and matching the routes.
func BenchmarkParseRequest(b *testing.B) {
	f := file()
	s := &Server{}
	s.Set(f)
	config := s.config.Load()
	block := post("/view/7", "", "HTTP_HOST", "portal.example", "REMOTE_ADDR", "10.0.0.1", "HTTP_USER_AGENT", "Mozilla/5.0 (X11; Linux x86_64)")[wire.HeaderSize:]
	var vars wire.Variables
	b.ReportAllocs()
	for b.Loop() {
		if err := vars.Parse(block, 64); err != nil {
			b.Fatal(err)
		}
		var m request
		m.Variables = &vars
		if err := config.parseRequest(&m); err != nil {
			b.Fatal(err)
		}
		if _, err := config.routes.Resolve(&m.Message); err != nil {
			b.Fatal(err)
		}
	}
}
