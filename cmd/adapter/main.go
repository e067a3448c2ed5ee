// Command adapter runs the decisions of package control on the simulator's wire, on standard input and output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"sorrelvalve/control"
	"sorrelvalve/internal/simwire"
)

// readBufferSize is that of standard input, in bytes.
const readBufferSize = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers each batch of in with one reply on out, until in ends.
func serve(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(bufio.NewReaderSize(in, readBufferSize))
	instances := map[uint16]*control.Controller{}
	var reply simwire.Reply
	for {
		now, err := reader.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset()
		if err := answer(reader, now, instances, &reply); err != nil {
			return err
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// answer gives the events of one batch to their instances and adds their actions to the reply.
func answer(reader *simwire.Reader, now float64, instances map[uint16]*control.Controller, reply *simwire.Reply) error {
	for {
		ev, more, err := reader.Next()
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
		switch ev.Record {
		case simwire.InstanceExited:
			delete(instances, ev.Instance)
			continue
		case simwire.InstanceOpened:
			instances[ev.Instance] = control.New(ev.Config.Config)
		}
		controller := instances[ev.Instance]
		if controller == nil {
			return fmt.Errorf("event for instance %d: it was never opened", ev.Instance)
		}
		reply.Add(ev.Instance, controller.Handle(now, ev.Event))
	}
}
