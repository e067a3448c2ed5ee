package fleet

import (
	"cmp"
	"context"
	"fmt"
	"net/url"
	"strings"

	"sorrelvalve/decision/permit"
)

// DrainOperation is an operation about drains that an operator requests. Its values are sent over the status socket.
type DrainOperation string

// The values of DrainOperation.
const (
	// OperationDrain drains a server, or a member of a pool at all servers, by permit.
	OperationDrain DrainOperation = "drain"
	// OperationCancel cancels a drain.
	OperationCancel DrainOperation = "back"
	// OperationHalt starts a manual halt: no new disruption may begin in the whole fleet.
	OperationHalt DrainOperation = "halt"
	// OperationResume ends a manual halt.
	OperationResume DrainOperation = "resume"
)

// DrainCommand is an operator's command about drains. Any server of the fleet accepts it.
type DrainCommand struct {
	Operation DrainOperation // "" for OperationDrain
	Subject   string         // a server's name or pool/member; "" for the server that receives the command
	Operator  string
	Reason    string
}

// The query parameters of requests to the status socket.
const (
	queryOperation = "what"
	querySubject   = "subject"
	queryName      = "name"
	queryOperator  = "who"
	queryReason    = "why"
)

// query encodes the command for the status socket.
func (c *DrainCommand) query() string {
	values := url.Values{}
	values.Set(queryOperation, string(c.Operation))
	values.Set(querySubject, c.Subject)
	values.Set(queryOperator, c.Operator)
	values.Set(queryReason, c.Reason)
	return values.Encode()
}

// parseDrainCommand parses a query that DrainCommand.query encoded. The operation defaults to OperationDrain, the subject to ownName.
func parseDrainCommand(values url.Values, ownName string) DrainCommand {
	return DrainCommand{
		Operation: DrainOperation(cmp.Or(values.Get(queryOperation), string(OperationDrain))),
		Subject:   cmp.Or(values.Get(querySubject), ownName),
		Operator:  values.Get(queryOperator),
		Reason:    values.Get(queryReason),
	}
}

// run executes the command: directly if it concerns this server, otherwise through the permit servers.
func (c *DrainCommand) run(ctx context.Context, drains *DrainCoordinator, ownName string) error {
	command := permit.Command{Subject: c.Subject, Actor: c.Operator, Reason: c.Reason}
	own := c.Subject == ownName
	switch c.Operation {
	case OperationDrain:
		if strings.Contains(c.Subject, "/") {
			return drains.DrainMember(ctx, c.Subject, c.Operator, c.Reason)
		}
		if own {
			return drains.Drain(ctx, c.Operator, c.Reason)
		}
		command.Kind = permit.RequestDrain
	case OperationCancel:
		if own && drains.isDraining() {
			return drains.Cancel(ctx, c.Operator)
		}
		command.Kind = permit.Recall
	case OperationHalt:
		command.Kind = permit.Halt
		command.Subject = ""
	case OperationResume:
		command.Kind = permit.Resume
		command.Subject = ""
	default:
		return fmt.Errorf("what: %w, %.20q there", errUnknownOperation, c.Operation)
	}
	return drains.Command(ctx, command)
}

// Removal is an operator's declaration that a server will not come back.
type Removal struct {
	Name     string // the server's name
	Operator string
	Reason   string
}

// query encodes the removal for the status socket.
func (r *Removal) query() string {
	values := url.Values{}
	values.Set(queryName, r.Name)
	values.Set(queryOperator, r.Operator)
	values.Set(queryReason, r.Reason)
	return values.Encode()
}

// parseRemovalQuery parses a query that Removal.query encoded.
func parseRemovalQuery(values url.Values) Removal {
	return Removal{Name: values.Get(queryName), Operator: values.Get(queryOperator), Reason: values.Get(queryReason)}
}
