package main

import (
	"context"

	"sorrelvalve/internal/fleet"
)

type removeCommand struct {
	Socket string `arg:"" type:"path" help:"Status socket of any server that is connected to the fleet."`
	Name   string `arg:"" help:"Name of the server that will not come back."`
	Why    string `required:"" help:"Reason, written to the logs of the other servers."`
}

// Run asks a server to declare that another server will not come back.
func (c removeCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return fleet.RequestRemoval(ctx, c.Socket, fleet.Removal{Name: c.Name, Operator: currentUser(), Reason: c.Why})
}

// operation holds the arguments of commands that are forwarded to the permit servers through a server's status socket.
type operation struct {
	Socket string `arg:"" type:"path" help:"Status socket of any server in the fleet that is connected to the permit servers."`
	Why    string `required:"" help:"Reason, recorded together with the operator's name."`
}

// run sends the command to the server.
func (o operation) run(kind fleet.DrainOperation, subject string) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	command := fleet.DrainCommand{Operation: kind, Subject: subject, Operator: currentUser(), Reason: o.Why}
	return fleet.RequestDrain(ctx, o.Socket, command)
}

type drainCommand struct {
	operation
	Subject string `arg:"" optional:"" help:"Server name, or pool/member. Defaults to the server that owns the socket."`
}

type cancelCommand struct {
	operation
	Subject string `arg:"" optional:"" help:"Server name, or pool/member. Defaults to the server that owns the socket."`
}

type haltCommand struct{ operation }

type resumeCommand struct{ operation }

// Run drains a server or a member of a pool.
func (c drainCommand) Run() error { return c.run(fleet.OperationDrain, c.Subject) }

// Run cancels a drain.
func (c cancelCommand) Run() error { return c.run(fleet.OperationCancel, c.Subject) }

// Run halts the fleet: no new drain begins and a release in progress is paused.
func (c haltCommand) Run() error { return c.run(fleet.OperationHalt, "") }

// Run ends a halt.
func (c resumeCommand) Run() error { return c.run(fleet.OperationResume, "") }
