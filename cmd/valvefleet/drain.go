package main

import (
	"context"

	"sorrelvalve/internal/fleet"
)

type removeCommand struct {
	Socket string `arg:"" type:"path" help:"Of any server that hears the fleet."`
	Name   string `arg:"" help:"Of the server that will not come back."`
	Why    string `required:"" help:"For the others' logs."`
}

// Run declares at a server that another one will not come back.
func (c removeCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return fleet.RequestRemoval(ctx, c.Socket, fleet.Removal{Name: c.Name, Operator: currentUser(), Reason: c.Why})
}

// operation is common to all commands that go by way of a server's socket to the permit servers.
type operation struct {
	Socket string `arg:"" type:"path" help:"Of any server of the fleet that knows the keepers."`
	Why    string `required:"" help:"It is recorded with who asked."`
}

// run sends the command.
func (o operation) run(kind fleet.DrainOperation, subject string) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	command := fleet.DrainCommand{Operation: kind, Subject: subject, Operator: currentUser(), Reason: o.Why}
	return fleet.RequestDrain(ctx, o.Socket, command)
}

type drainCommand struct {
	operation
	Subject string `arg:"" optional:"" help:"A server's name, or pool/member; without it, the server of the socket."`
}

type cancelCommand struct {
	operation
	Subject string `arg:"" optional:"" help:"A server's name, or pool/member; without it, the server of the socket."`
}

type haltCommand struct{ operation }

type resumeCommand struct{ operation }

// Run drains a server, or a member of a pool.
func (c drainCommand) Run() error { return c.run(fleet.OperationDrain, c.Subject) }

// Run cancels a drain.
func (c cancelCommand) Run() error { return c.run(fleet.OperationCancel, c.Subject) }

// Run halts all new disruption.
func (c haltCommand) Run() error { return c.run(fleet.OperationHalt, "") }

// Run ends a halt.
func (c resumeCommand) Run() error { return c.run(fleet.OperationResume, "") }
