package daemon

import (
	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// Extension creates the part that a command adds to the daemon. It is called after the other parts have been created and
// before RPCs are admitted. The returned part may be nil.
type Extension func(p Parts) (ExtensionPart, error)

// ExtensionPart is the part created by an Extension.
type ExtensionPart interface {
	Set(f *operator.File) // applies a new operator's file
	Close()               // ends the part in bounded time, after all RPCs have been answered
}

// Parts are the parts and functions of the daemon that an Extension may use. The functions are safe for concurrent use.
type Parts struct {
	Config Config
	Log    *logrus.Entry
	Build  string // the version of this build
	Gate   *gate.Gate
	Pools  *pools.Backends // of the operator's file; nil without one
	// Phase returns the completed fraction of the warm-up, which is 1 when warm and 0 before an engine responds, and whether
	// the server is draining.
	Phase func() (warmUp float64, draining bool)
	// RequestDrain has the server drain and exit, as a signal to stop does, unless CancelDrain cancels the drain during its
	// grace. A later signal to stop always drains the server. code is the exit code of the process; 0 is a normal exit.
	RequestDrain func(code int)
	CancelDrain  func() error
	// Release atomically applies a version of the fleet's settings or, if r is nil, the server's own file again. Keys that
	// require a restart and that the version does not set keep the values of the own file.
	Release func(r *operator.Record, origin string) error
	// SampleLoad samples the recent load; it must be called periodically.
	SampleLoad func()
}

// extend creates the part of the extension.
func (s *Server) extend(o *Options) error {
	part, err := o.Extension(Parts{
		Config:       o.Config,
		Log:          o.Log,
		Build:        BuildVersion(),
		Gate:         s.Gate,
		Pools:        s.Pools(),
		Phase:        s.lifecycle.phase,
		RequestDrain: s.requestDrain,
		CancelDrain:  s.cancelDrain,
		Release:      s.release,
		SampleLoad:   s.sampleLoad,
	})
	s.extensionPart = part
	if err != nil || part == nil {
		return err
	}
	if s.operatorParts != nil && s.operatorParts.effectiveFile != nil { // a stored version was applied before the part existed
		part.Set(s.operatorParts.effectiveFile)
	}
	s.closers = append(s.closers, part.Close)
	return nil
}
