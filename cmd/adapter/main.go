// Command adapter connects package control to the simulator. It reads event batches from standard input and writes the
// resulting actions to standard output.
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

// readBufferSize is the size of the buffer for standard input, in bytes.
const readBufferSize = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve reads batches from in until it ends, and writes one reply per batch to out.
func serve(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(bufio.NewReaderSize(in, readBufferSize))
	controllers := map[uint16]*control.Controller{}
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
		if err := handleBatch(reader, now, controllers, &reply); err != nil {
			return err
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// handleBatch passes the events of one batch to the controllers of their instances and adds the resulting actions to
// reply.
func handleBatch(reader *simwire.Reader, now float64, controllers map[uint16]*control.Controller, reply *simwire.Reply) error {
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
			delete(controllers, ev.Instance)
			continue
		case simwire.InstanceOpened:
			controllers[ev.Instance] = control.New(ev.Config.Config)
		}
		controller := controllers[ev.Instance]
		if controller == nil {
			return fmt.Errorf("event for instance %d, which is not open", ev.Instance)
		}
		reply.Add(ev.Instance, controller.Handle(now, ev.Event))
	}
}
