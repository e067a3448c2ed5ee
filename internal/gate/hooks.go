package gate

import (
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/startup"
)

// Log writes a log line. The event is a constant name of the form component.event_name; the detail, which may be empty, is
// what differs from line to line. It may be called under the gate's lock: it must neither block for long nor call the gate.
type Log func(event, detail string)

// Tracer observes all events of the controller and its decisions. It is called under the gate's lock: it must not block.
type Tracer interface {
	// Begin is called by Gate.Start with the controller's configuration and the zero of its clock.
	Begin(config *startup.Config, warmingUp bool, origin time.Time)
	// Event is called for each event; now is in ms of the controller's clock. The actions are valid until it returns. The
	// token key is empty but for the arrival of a keyed RPC.
	Event(now float64, ev control.Event, actions []control.Action, tokenKey string)
}

// TokenStore records the state of idempotency tokens durably, so that a duplicate that comes after a restart is recognised.
// All times are Unix ms.
type TokenStore interface {
	// Hash returns the hash of a body, the same in every process.
	Hash(body []byte) uint64
	// Lookup returns how a duplicate that reached the machine at arrivedMs is to be answered, with the recorded head and
	// result of ReplayResult. The window is that of the method, in ms. It may read a disk and is called without the gate's lock.
	Lookup(key string, bodyHash uint64, arrivedMs, window float64) (answer recovery.Resolution, head, result []byte)
	// Reserve reserves capacity for one run, to be used by one RecordStart, or returns why there is none. It must not block.
	Reserve() *recovery.Rejection
	// RecordStart records that a run is about to start. It must not block; done is called later from another goroutine, with
	// nil once the record is durable.
	RecordStart(key string, bodyHash uint64, untilMs float64, done func(error))
	// RecordEnd records how a run ended, under the same terms. Each RecordStart that succeeded has one RecordEnd.
	RecordEnd(key string, state recovery.State, bodyHash uint64, untilMs float64, head, result []byte, done func(error))
}

// QuotaChecker tells how an RPC stands to this server's lease of its customer's quota, where servers share quotas.
type QuotaChecker interface {
	// CheckQuota counts one arrival and returns its status and, if it is over the quota, the ms after which another may be
	// within it. It is called under the gate's lock: it must neither block nor call the gate.
	CheckQuota(method, customer string, criticality float64) (status control.QuotaStatus, retryAfterMs float64)
}
