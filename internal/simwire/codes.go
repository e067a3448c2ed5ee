package simwire

import "sorrelvalve/control"

// Event codes. The numbers and names are those of the simulator's protocol.
const (
	eventOpenInstance = 10
	eventWakeup       = 20
	eventAsk          = 30
	eventExit         = 40
	eventSettled      = 50
	eventNotice       = 60
	eventCalled       = 70
	eventAwaiting     = 80
	eventClientLeft   = 90
)

// Action codes. The numbers and names are those of the simulator's protocol.
const (
	actionProcess      = 10
	actionReject       = 20
	actionEndFailed    = 30
	actionAbortWork    = 40
	actionReachOut     = 50
	actionSkip         = 60
	actionRemember     = 70
	actionForget       = 80
	actionJoin         = 90
	actionReportHealth = 100
	actionStamp        = 110
	actionIdleLimit    = 120
	actionArm          = 130
	actionTrace        = 140
)

// actionCodes maps control.ActionKind to the action code.
var actionCodes = [...]byte{
	control.Run:            actionProcess,
	control.Reject:         actionReject,
	control.Abort:          actionEndFailed,
	control.Preempt:        actionAbortWork,
	control.Call:           actionReachOut,
	control.SkipCall:       actionSkip,
	control.CacheToken:     actionRemember,
	control.EvictToken:     actionForget,
	control.Join:           actionJoin,
	control.SetHealth:      actionReportHealth,
	control.SetFeedback:    actionStamp,
	control.SetIdleTimeout: actionIdleLimit,
	control.SetTimer:       actionArm,
	control.LogEvent:       actionTrace,
}

// Flag bits of eventAsk.
const (
	flagCostHint = 1 // the cost hint field is valid
	flagRetry    = 2 // the RPC is marked as a retry or a hedged request
)

// maxVerdict is the highest verdict of eventSettled and eventCalled. Verdicts equal the values of control.Outcome.
const maxVerdict = 7

// maxTraceBytes is the maximum length of the text of actionTrace.
const maxTraceBytes = 200

// Sizes in bytes.
const (
	batchHeaderSize  = 16 // length u32, clock u64, number of records u32
	replyHeaderSize  = 8  // length u32, number of records u32
	recordHeaderSize = 5  // code u8, length u32
)

// nsPerMs is the number of nanoseconds, the protocol's time unit, per millisecond, the time unit of package control.
const nsPerMs = 1e6
