package testbed

// This file owns the demonstration: real processes with stand-in engines and callers on loopback, what each hears and what
// became of each method, told every second, and faults by typed acts or a script. It leaves nothing behind.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
)

// demoSettings are three methods before an engine of two cores.
const demoSettings = `{"classes":[
{"name":"account-view","aim":500000000,"give_up":1500000000,"worth":1,"late_worth":0.2},
{"name":"settings-save","aim":500000000,"give_up":1500000000,"worth":1},
{"name":"topup-buy","aim":500000000,"give_up":1500000000,"worth":3,"idempotency":"idempotency_key","window":60000000000}],
"family_info":{"callers":3,"cores":2,"ram_kb":1000000,"run_factor":4,"key_kb":1,"heeded":1000000000,"meters":["core_use","on_cores"]},
"client_habits":{"marks_retry":true},"limits":{"retry_after":true,"max_retry_after":1000000000},"tick":4000000,
"rules":{"answer_slack":80000000,"cold":3000000000,"drain_grace":500000000,"tip_multiple":8}}`

// demoLoad is what callers ask of each server, as a share of what its engine can do.
const demoLoad = 1.1

// Acts tells what may be typed.
const ActionsHelp = `acts, each ended by Enter: split n0,n1|n2,n3   cut n0>*   loss *>* 0.2   delay *>* 200ms 100ms   mess *>* 0.05   heal
  stop n1   cont n1   kill n1   start n1   term n1   relay n1   (several names with commas, * for all)   quit`

// Demo runs one until ctx ends, quit is typed or, if it has a script, that is over; in may be nil.
func Demo(ctx context.Context, servers int, text string, serve Command, in io.Reader, out io.Writer) error {
	var names []string
	for i := range servers {
		names = append(names, fmt.Sprint("n", i))
	}
	acts, err := script.Parse(text, names)
	if err != nil {
		return fmt.Errorf("script: %w", err)
	}
	rules := standin.NewInvariantChecker("topup-buy")
	b, err := New(Options{Names: names, Seed: 1, Zone: func(i int) string { return string(rune('a' + i%3)) }, Cores: 2, SettingsJSON: demoSettings, Invariants: rules,
		ServeCommand: func() Command { return serve }})
	if err != nil {
		return err
	}
	defer b.Close()
	if err := b.StartAll(); err != nil {
		return err
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	typed := make(chan string)
	if in != nil {
		fmt.Fprintln(out, ActionsHelp)
		go func() { // it ends with the program: nothing wakes a read of a terminal
			for lines := bufio.NewScanner(in); lines.Scan(); {
				select {
				case typed <- lines.Text():
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	played := make(chan error, 1)
	if len(acts) > 0 {
		go func() { played <- b.Play(ctx, acts) }()
	}
	var load sync.WaitGroup
	defer load.Wait()
	defer end()
	counts := &tally{}
	for i, name := range names {
		load.Go(func() { ask(ctx, b, name, int64(i+1), rules, counts) })
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for second := 1; ; {
		select {
		case <-ctx.Done():
			return nil
		case err := <-played:
			if err != nil || in == nil {
				return err
			}
		case line := <-typed:
			line = strings.TrimSpace(line)
			if line == "quit" || line == "q" {
				return nil
			}
			s, err := script.Parse("0s "+line, names)
			for _, x := range s {
				if err == nil {
					err = b.Apply(x)
				}
			}
			if err != nil {
				fmt.Fprintln(out, err)
			}
		case <-tick.C:
			b.tell(ctx, out, second, counts)
			second++
		}
	}
}

// tally counts outcomes by method for a second.
type tally struct {
	mu  sync.Mutex
	all map[string][standin.Lost + 1]int
}

func (t *tally) add(samples []standin.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = map[string][standin.Lost + 1]int{}
	}
	for _, s := range samples {
		n := t.all[s.Method]
		n[s.Outcome]++
		t.all[s.Method] = n
	}
}

func (t *tally) take() map[string][standin.Lost + 1]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.all
	t.all = nil
	return was
}

// ask loads one server, a quarter of a second at a time.
func ask(ctx context.Context, b *Bed, name string, seed int64, rules *standin.InvariantChecker, counts *tally) {
	router := standin.NewRouter(b.ListenAddr(name))
	defer router.Close()
	const work = 20.0 // ms of one of two cores
	var late sync.WaitGroup
	defer late.Wait()
	for n := int64(0); ctx.Err() == nil; n++ {
		p := standin.LoadPlan{Rate: demoLoad * 2 * 1000 / work, Duration: time.Second / 4, Callers: 3, Seed: seed + 1000*n, Deadline: 1500 * time.Millisecond, Kinds: []standin.RequestKind{
			{Method: "account-view", Share: 0.5, MeanWorkMs: work}, {Method: "settings-save", Share: 0.35, MeanWorkMs: work}, {Method: "topup-buy", Share: 0.15, MeanWorkMs: work, WithToken: true}}}
		late.Go(func() { counts.add(p.Run(ctx, map[string]standin.Caller{"msgpack": router}, rules)) })
		select {
		case <-ctx.Done():
		case <-time.After(p.Duration):
		}
	}
}

// tell prints who hears whom and what became of each method in the last second.
func (b *Bed) tell(ctx context.Context, out io.Writer, second int, counts *tally) {
	var sockets []string
	for _, name := range b.Names {
		if b.Processes.Running(name) {
			sockets = append(sockets, b.Socket(name))
		}
	}
	views, _ := fleet.FetchStatuses(ctx, sockets, 500*time.Millisecond)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\nsecond %d\tphase\thears\t%s\n", second, strings.Join(b.Names, "\t"))
	for _, name := range b.Names {
		i := slices.IndexFunc(views, func(v fleet.Status) bool { return v.Name == name })
		if i < 0 {
			fmt.Fprintf(w, "%s\t-\tdoes not answer\n", name)
			continue
		}
		v := views[i]
		cells := make([]string, len(b.Names))
		for k, other := range b.Names {
			cells[k] = "?"
			for _, p := range v.Peers {
				switch {
				case p.Name != other:
				case p.Departed != "":
					cells[k] = p.Departed
				case p.FlapDamped:
					cells[k] = "flaps"
				case p.Reachable:
					cells[k] = map[string]string{"both ways": "yes", "one way": "in", "through others": "via"}[p.Contact]
				default:
					cells[k] = "no"
				}
			}
			if other == name {
				cells[k] = "self"
			}
		}
		state := fmt.Sprintf("%s %d/%d", v.Connectivity, v.Reachable, v.Members)
		if v.InGracePeriod {
			state = "listens"
		}
		fmt.Fprintf(w, "%s\t%s %.0f%%\t%s\t%s\n", name, v.Phase, 100*v.WarmupProgress, state, strings.Join(cells, "\t"))
	}
	w.Flush()
	n := counts.take()
	methods := make([]string, 0, len(n))
	for m := range n {
		methods = append(methods, m)
	}
	slices.Sort(methods)
	for _, m := range methods {
		fmt.Fprintf(w, "%s\tok %d\tpushed back %d\taborted %d\tno answer %d\n", m, n[m][standin.OK], n[m][standin.Rejected], n[m][standin.Aborted]+n[m][standin.Invalid], n[m][standin.Lost])
	}
	w.Flush()
}
