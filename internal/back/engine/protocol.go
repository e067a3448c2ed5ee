package engine

import "encoding/json"

// The commands sent to the engine.
const (
	commandAttach = "ATTACH"
	commandRun    = "RUN"
	commandStat   = "STAT"
)

// The types of lines sent by the engine.
const (
	noticeHello  = "HELLO"
	noticeStats  = "STATS"
	noticeNo     = "NO"
	noticeDone   = "DONE"
	noticeRemark = "NOTE"
)

// The values of notice.Status.
const (
	statusBooting     = "booting"     // HELLO: a cold start
	statusSuccess     = "success"     // DONE
	statusInterrupted = "interrupted" // DONE
	statusNothing     = "nothing"     // DONE: the run was not started
)

// command is a line sent to the engine.
type command struct {
	Type   string  `json:"t"`
	Number *uint64 `json:"no,omitempty"` // ATTACH: number of the last notice read
	RunID  string  `json:"rid,omitempty"`
	Method string  `json:"route,omitempty"`
	Body   *string `json:"b64,omitempty"`
	Mark   string  `json:"mark,omitempty"` // STAT: repeated in the answer
}

// notice is a line sent by the engine.
type notice struct {
	Type   string    `json:"t"`
	Number uint64    `json:"no"` // 0 if the line is not numbered
	RunID  string    `json:"rid"`
	Status string    `json:"status"`
	TimeMs float64   `json:"time_ms"`
	Body   string    `json:"b64"`
	Mark   string    `json:"mark"`
	Gauges []float64 `json:"v"`
}

func encodeLine(c command) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers can always be marshalled
	}
	return append(b, '\n')
}
