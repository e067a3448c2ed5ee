package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
)

// demoSettings are three methods in front of an engine of two cores.
const demoSettings = `{"classes":[
{"name":"account-view","aim":500000000,"give_up":1500000000,"worth":1,"late_worth":0.2},
{"name":"settings-save","aim":500000000,"give_up":1500000000,"worth":1},
{"name":"topup-buy","aim":500000000,"give_up":1500000000,"worth":3,"idempotency":"idempotency_key","window":60000000000}],
"family_info":{"callers":3,"cores":2,"ram_kb":1000000,"run_factor":4,"key_kb":1,"heeded":1000000000,"meters":["core_use","on_cores"]},
"client_habits":{"marks_retry":true},"limits":{"retry_after":true,"max_retry_after":1000000000},"tick":4000000,
"rules":{"answer_slack":80000000,"cold":3000000000,"drain_grace":500000000,"tip_multiple":8}}`

const (
	demoLoad        = 1.1 // of each server, over its engine's capacity
	demoCores       = 2
	demoWorkMs      = 20.0
	demoZones       = 3
	demoCallers     = 3
	demoLoadPeriod  = time.Second / 4
	demoDeadline    = 1500 * time.Millisecond
	demoSeedsPerRun = 1000 // distance between the seeds of two load periods
	purchaseMethod  = "topup-buy"
)

// ActionsHelp lists the actions that may be typed into a demonstration.
const ActionsHelp = `acts, each ended by Enter: split n0,n1|n2,n3   cut n0>*   loss *>* 0.2   delay *>* 200ms 100ms   mess *>* 0.05   heal
  stop n1   cont n1   kill n1   start n1   term n1   relay n1   (several names with commas, * for all)   quit`

// errQuit ends a demonstration.
var errQuit = errors.New("quit")

// Demo runs real processes with stand-in engines and callers on loopback, plays a fault script and typed actions, and prints
// every second whom each process finds alive and what became of each method's RPCs. It ends when ctx is done, when quit is typed
// or, without an input, with the script. in may be nil. Nothing is left behind.
func Demo(ctx context.Context, servers int, text string, serve Command, in io.Reader, out io.Writer) error {
	var names []string
	for i := range servers {
		names = append(names, fmt.Sprint("n", i))
	}
	steps, err := script.Parse(text, names)
	if err != nil {
		return fmt.Errorf("script: %w", err)
	}
	checker := standin.NewInvariantChecker(purchaseMethod)
	b, err := New(Options{
		Names: names, Seed: 1, Zone: func(i int) string { return string(rune('a' + i%demoZones)) },
		Cores: demoCores, SettingsJSON: demoSettings, Invariants: checker,
		ServeCommand: func() Command { return serve },
	})
	if err != nil {
		return err
	}
	defer b.Close()
	if err := b.StartAll(); err != nil {
		return err
	}
	d := &demo{bed: b, in: in, out: out, checker: checker, counts: &tally{}}
	return d.run(ctx, steps)
}

// demo is a running demonstration.
type demo struct {
	bed     *Bed
	in      io.Reader // nil for none
	out     io.Writer
	checker *standin.InvariantChecker
	counts  *tally
}

// run plays the steps and typed actions under load.
func (d *demo) run(ctx context.Context, steps script.Script) error {
	ctx, cancel := context.WithCancel(ctx)
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	typed, err := d.readLines(ctx)
	if err != nil {
		return err
	}
	played := make(chan error, 1)
	if len(steps) > 0 {
		go func() { played <- d.bed.Play(ctx, steps) }()
	}
	for i, name := range d.bed.Names {
		load.Go(func() { d.loadServer(ctx, name, int64(i+1)) })
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for second := 1; ; {
		select {
		case <-ctx.Done():
			return nil
		case err := <-played:
			if err != nil || d.in == nil {
				return err
			}
		case line := <-typed:
			if err := d.applyLine(line); errors.Is(err, errQuit) {
				return nil
			} else if err != nil {
				if _, err := fmt.Fprintln(d.out, err); err != nil {
					return err
				}
			}
		case <-ticker.C:
			if err := d.printSecond(ctx, second); err != nil {
				return err
			}
			second++
		}
	}
}

// readLines prints the help and returns the lines that are typed from then on; without an input there are none.
func (d *demo) readLines(ctx context.Context) (<-chan string, error) {
	typed := make(chan string)
	if d.in == nil {
		return typed, nil
	}
	if _, err := fmt.Fprintln(d.out, ActionsHelp); err != nil {
		return nil, err
	}
	go func() { // not waited for: nothing wakes a read of a terminal
		for lines := bufio.NewScanner(d.in); lines.Scan(); {
			select {
			case typed <- lines.Text():
			case <-ctx.Done():
				return
			}
		}
	}()
	return typed, nil
}

// applyLine carries out a typed action; errQuit ends the demonstration.
func (d *demo) applyLine(line string) error {
	line = strings.TrimSpace(line)
	if line == "quit" || line == "q" {
		return errQuit
	}
	steps, err := script.Parse("0s "+line, d.bed.Names)
	if err != nil {
		return err
	}
	for _, step := range steps {
		if err := d.bed.Apply(step); err != nil {
			return err
		}
	}
	return nil
}

// loadServer loads one server, a quarter of a second at a time.
func (d *demo) loadServer(ctx context.Context, name string, seed int64) {
	router := standin.NewRouter(d.bed.ListenAddr(name))
	defer router.Close()
	callers := map[string]standin.Caller{"msgpack": router}
	var running sync.WaitGroup
	defer running.Wait()
	for period := int64(0); ctx.Err() == nil; period++ {
		plan := standin.LoadPlan{
			Rate: demoLoad * demoCores * 1000 / demoWorkMs, Duration: demoLoadPeriod, Callers: demoCallers,
			Seed: seed + demoSeedsPerRun*period, Deadline: demoDeadline,
			Kinds: []standin.RequestKind{
				{Method: "account-view", Share: 0.5, MeanWorkMs: demoWorkMs},
				{Method: "settings-save", Share: 0.35, MeanWorkMs: demoWorkMs},
				{Method: purchaseMethod, Share: 0.15, MeanWorkMs: demoWorkMs, WithToken: true},
			},
		}
		running.Go(func() { d.counts.add(plan.Run(ctx, callers, d.checker)) })
		select {
		case <-ctx.Done():
		case <-time.After(plan.Duration):
		}
	}
}

// outcomeCounts are numbers of RPCs by outcome.
type outcomeCounts [standin.Lost + 1]int

// tally counts outcomes by method. Its methods may be called concurrently.
type tally struct {
	mu     sync.Mutex
	counts map[string]outcomeCounts
}

func (t *tally) add(samples []standin.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]outcomeCounts{}
	}
	for _, s := range samples {
		n := t.counts[s.Method]
		n[s.Outcome]++
		t.counts[s.Method] = n
	}
}

// take returns the counts since the last call.
func (t *tally) take() map[string]outcomeCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	t.counts = nil
	return counts
}

// sortedMethods returns the methods of some counts.
func sortedMethods(counts map[string]outcomeCounts) []string {
	methods := make([]string, 0, len(counts))
	for method := range counts {
		methods = append(methods, method)
	}
	slices.Sort(methods)
	return methods
}
