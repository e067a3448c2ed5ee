package gate

import (
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/startup"
)

// Log takes the lines that the decisions and the gate have to say. The texts are constants; what differs from
// line to line is in the detail, if there is one.
type Log func(text, detail string)

// Tracer hears of all that the decisions are told and say, under the gate's lock: it must not block. The actions are
// valid until it returns. The token is the key of a tokened arrival, else "".
type Tracer interface {
	Begin(told *startup.Config, cold bool, origin time.Time)
	Event(now float64, ev control.Event, actions []control.Action, token string)
}

// TokenStore keeps what happened to tokens over restarts. Find may read a disk and is called without the gate's lock; the
// others are called under it and must not block. done is called later, from another goroutine.
type TokenStore interface {
	Hash(body []byte) uint64
	Lookup(key string, body uint64, door, window float64) (says recovery.Resolution, head, result []byte)
	Reserve() *recovery.Rejection // reserves room for one run; each is to be used by one Begin
	RecordStart(key string, body uint64, until float64, done func(error))
	RecordEnd(key string, state recovery.State, body uint64, until float64, head, result []byte, done func(error))
}

// QuotaChecker tells how an arrival stands to its server's part of its customer's quota, where servers share quotas, and in how
// many ms one that is over may be within. It is called under the gate's lock: it must neither block nor call the gate.
type QuotaChecker interface {
	CheckQuota(method, customer string, criticality float64) (stands control.QuotaStatus, again float64)
}
