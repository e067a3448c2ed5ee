// Command adapter runs the decisions of package control on the simulator's wire, on standard input and output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"sorrelvalve/control"
	"sorrelvalve/internal/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers each batch of in with one reply on out, until in ends.
func serve(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(bufio.NewReaderSize(in, 1<<16))
	live := map[uint16]*control.Controller{}
	var reply simwire.Reply
	for {
		now, err := r.Batch()
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		reply.Reset()
		for {
			ev, more, err := r.Next()
			if err != nil {
				return err
			}
			if !more {
				break
			}
			switch ev.Record {
			case simwire.InstanceExited:
				delete(live, ev.Instance)
				continue
			case simwire.InstanceOpened:
				o := ev.Config
				live[ev.Instance] = control.New(o.Node, o.Fleet, o.Dependency, o.Limits, o.Methods, o.Customers)
			}
			c := live[ev.Instance]
			if c == nil {
				return fmt.Errorf("event for instance %d: it was never opened", ev.Instance)
			}
			reply.Add(ev.Instance, c.Handle(now, ev.Event))
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
	}
}
