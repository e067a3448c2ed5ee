package daemon

import (
	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// Extension is what a command adds to the daemon. It is called once the other parts stand, before RPCs are admitted. The
// Addition may be nil.
type Extension func(p Parts) (ExtensionPart, error)

// ExtensionPart is a part that an Extension put beside the others.
type ExtensionPart interface {
	Set(f *operator.File) // puts a new operator's file in force
	Close()               // ends the part in bounded time; all RPCs have been answered
}

// Parts are what an Extension is given. Its functions are safe for concurrent use.
type Parts struct {
	Config Config
	Log    *logrus.Entry
	Build  string // the version of this build
	Gate   *gate.Gate
	Pools  *pools.Backends // those of the operator's file; nil without one
	// Phase tells which part of the warm-up is over, 1 when warm and 0 before an engine answers, and whether the server
	// drains.
	Phase func() (warmUp float64, draining bool)
	// RequestDrain has the server drain and end, as a signal to stop does, unless CancelDrain takes that back before its grace
	// is over. A signal to stop is obeyed at once in any case. code is what the process ends with, 0 for as usual.
	RequestDrain func(code int)
	CancelDrain  func() error
	// Release puts a version of the fleet's settings in force, as a whole or not at all, or the own file again if it is
	// nil. The version is laid over what only a start can change.
	Release func(r *operator.Record, origin string) error
	// SampleLoad is called repeatedly to sample the load of the last minutes.
	SampleLoad func()
}

// extend has the extension add its part.
func (x *Server) extend(o *Options) error {
	addition, err := o.Extension(Parts{
		Config:       o.Config,
		Log:          o.Log,
		Build:        BuildVersion(),
		Gate:         x.Gate,
		Pools:        x.Pools(),
		Phase:        x.lifecycle.phase,
		RequestDrain: x.requestLeave,
		CancelDrain:  x.cancelDrain,
		Release:      x.release,
		SampleLoad:   x.sampleLoad,
	})
	x.addition = addition
	if err != nil || addition == nil {
		return err
	}
	if x.operatorParts != nil && x.operatorParts.effectiveFile != nil { // a retained version went in force before the part stood
		addition.Set(x.operatorParts.effectiveFile)
	}
	x.closers = append(x.closers, addition.Close)
	return nil
}
