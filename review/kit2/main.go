// Command review-2 plays the cases 6 to 10 of the review: it starts the project's programs as processes of their own, plays the
// stand-ins around them, and judges what clients, application servers and operators saw. See review/REPORT-2.md.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is the longest that a case may take; none takes half of it.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case couldn't run
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*stage) error{
	"new-bound":    newBound,
	"old-release":  oldRelease,
	"overtaken":    overtaken,
	"last-member":  lastMember,
	"halted-begin": haltedBegin,
}

func main() { os.Exit(run()) }

// run plays the case in the arguments (its name and the folder for record.txt) and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitFailed
	}
	s, err := newStage(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	limit := time.AfterFunc(timeLimit, func() { s.abandon("it took too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		s.abandon("it was told to stop")
	}()
	err = cases[os.Args[1]](s)
	limit.Stop()
	s.close()
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitFailed
	}
	verdict := [...]string{"the rule held", "the rule was broken", "the case couldn't run"}[code]
	if err != nil && code == exitFailed {
		verdict += ": " + err.Error()
	}
	s.note("verdict: %s", verdict)
	fmt.Println(verdict)
	if err := s.closeRecord(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}
