package simwire

import "sorrelvalve/control"

// Codes of the events, as the simulator numbers and names them.
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

// Codes of the actions, as the simulator numbers and names them.
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

// actionCodes are the codes by the kind of action.
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

// Bits of the flags of eventAsk.
const (
	flagCostHint = 1 // the cost hint is valid
	flagRetry    = 2 // a marked retry or a hedged request
)

// maxVerdict is the highest verdict of eventSettled and eventCalled. The verdicts are the values of control.Outcome.
const maxVerdict = 7

// maxTraceBytes bounds the text of actionTrace.
const maxTraceBytes = 200

// Sizes in bytes.
const (
	batchHeaderSize  = 16 // length u32, clock u64, number of records u32
	replyHeaderSize  = 8  // length u32, number of records u32
	recordHeaderSize = 5  // code u8, length u32
)

// nsPerMs converts the wire's unit of time to that of package control.
const nsPerMs = 1e6
