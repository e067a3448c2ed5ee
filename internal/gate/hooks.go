package gate

import (
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/startup"
)

// Log writes a log line. The event is a constant name of the form component.event_name; the detail is variable text and may
// be empty. Log may be called under the gate's lock, so it must neither block for long nor call the gate.
type Log func(event, detail string)

// Tracer observes all events of the controller and its decisions. Its methods are called under the gate's lock and must not
// block.
type Tracer interface {
	// Begin is called by Gate.Start with the configuration and the zero of the controller's clock.
	Begin(config *startup.Config, warmingUp bool, origin time.Time)
	// Event is called for each event; now is in ms of the controller's clock. The actions are valid only until Event returns.
	// tokenKey is empty unless the event is the arrival of a keyed RPC.
	Event(now float64, ev control.Event, actions []control.Action, tokenKey string)
}

// TokenStore records the state of idempotency tokens durably, so that a duplicate is recognised after a restart. All times
// are Unix ms.
type TokenStore interface {
	// Hash returns a hash of a body that is the same in every process.
	Hash(body []byte) uint64
	// Lookup returns how a duplicate that reached the machine at arrivedMs must be answered, and for ReplayResult the recorded
	// head and result. window is the method's deduplication window in ms. Lookup may read a disk and is called without the
	// gate's lock.
	Lookup(key string, bodyHash uint64, arrivedMs, window float64) (answer recovery.Resolution, head, result []byte)
	// Reserve reserves capacity for one RecordStart. If there is none, it returns the rejection. It must not block.
	Reserve() *recovery.Rejection
	// RecordStart records that a run is about to start. It must not block. It calls done later from another goroutine, with a
	// nil error once the record is durable.
	RecordStart(key string, bodyHash uint64, untilMs float64, done func(error))
	// RecordEnd records how a run ended. It must not block, and calls done as RecordStart does. Each RecordStart that succeeded
	// is followed by one RecordEnd.
	RecordEnd(key string, state recovery.State, bodyHash uint64, untilMs float64, head, result []byte, done func(error))
}

// QuotaChecker checks RPCs against this server's lease of their customer's quota, if servers share quotas.
type QuotaChecker interface {
	// CheckQuota counts one arrival and returns its quota status and, if it is over the quota, the time in ms after which
	// another RPC may be within the quota. It is called under the gate's lock and must neither block nor call the gate.
	CheckQuota(method, customer string, criticality float64) (status control.QuotaStatus, retryAfterMs float64)
}
