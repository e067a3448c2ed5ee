// Command valvectl is the operator's tool: it checks the operator's file (CUE), compiles it to the record that the daemon
// reads, compares records, and plans settings over a recorded trace. It links what is too large for the daemon, and no
// running server needs it.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kong"

	"sorrelvalve/decision/configure"
	"sorrelvalve/decision/route"
	"sorrelvalve/internal/cuefile"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

type command struct {
	Check   checkCmd   `cmd:"" help:"Read an operator's file and tell what is wrong with it, by file, line and key."`
	Compile compileCmd `cmd:"" help:"Check it and write the record that serve --operator reads."`
	Show    showCmd    `cmd:"" help:"Tell what a record is: version, hash and what it sets."`
	Diff    diffCmd    `cmd:"" help:"Tell what differs from one record to another, and what of it needs a new start."`
	Schema  schemaCmd  `cmd:"" help:"Print the schema of the operator's file."`
	Plan    planCmd    `cmd:"" help:"Search settings that would have served more over a trace."`
}

// source is the operator's file with the settings that it is checked against.
type source struct {
	Files    []string `arg:"" type:"existingfile" help:"The operator's file in CUE; several are taken together."`
	Settings string   `type:"existingfile" help:"The platform's configuration, whose methods and customers the file may name; without it names are not checked."`
}

func (s *source) read() (*operator.File, error) {
	var known route.Catalog
	if s.Settings != "" {
		p, err := startup.Load(func(key string) string {
			return map[string]string{"EDGE_CONFIG": s.Settings}[key]
		})
		if err != nil {
			return nil, err
		}
		known = operator.KnownNames(p.Settings)
	}
	f, faults := cuefile.Compile(s.Files, known)
	for _, e := range faults {
		fmt.Fprintln(os.Stderr, e)
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%d wrong", len(faults))
	}
	return f, nil
}

type checkCmd struct{ source }

func (c *checkCmd) Run() error {
	f, err := c.read()
	if err != nil {
		return err
	}
	summarize(f)
	return nil
}

type compileCmd struct {
	source
	Out string `short:"o" required:"" type:"path" help:"The record to write; it is replaced as a whole."`
}

func (c *compileCmd) Run() error {
	f, err := c.read()
	if err != nil {
		return err
	}
	b, err := operator.Marshal(f)
	if err != nil {
		return err
	}
	temporary := c.Out + ".new"
	if err := os.WriteFile(temporary, b, 0o644); err != nil {
		return err
	}
	if err := os.Rename(temporary, c.Out); err != nil {
		return err
	}
	r, err := operator.Parse(b)
	if err != nil {
		return err
	}
	fmt.Printf("%s: version %s, hash %.12s\n", c.Out, f.Version, r.Hash)
	return nil
}

type showCmd struct {
	Record string `arg:"" type:"existingfile"`
}

func (c *showCmd) Run() error {
	r, err := readRecord(c.Record)
	if err != nil {
		return err
	}
	fmt.Println("hash", r.Hash)
	summarize(&r.File)
	return nil
}

// readRecord decodes a record without checking it against settings.
func readRecord(path string) (*operator.Record, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r, err := operator.Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

type diffCmd struct {
	Was string `arg:"" type:"existingfile"`
	Is  string `arg:"" type:"existingfile"`
}

func (c *diffCmd) Run() error {
	var trees [2]configure.Tree
	for i, path := range []string{c.Was, c.Is} {
		r, err := readRecord(path)
		if err != nil {
			return err
		}
		if trees[i], err = operator.Tree(&r.File); err != nil {
			return err
		}
	}
	for _, change := range configure.Diff(trees[0], trees[1]) {
		fmt.Printf("%s: %s -> %s", change.Path, formatValue(change.Before), formatValue(change.After))
		if needsRestart(change.Path) {
			fmt.Print("  (needs a new start)")
		}
		fmt.Println()
	}
	return nil
}

// needsRestart tells whether a running process can't take a change at path.
func needsRestart(path configure.Path) bool {
	return slices.ContainsFunc(operator.RestartOnly, func(top configure.Path) bool {
		return len(path) >= len(top) && slices.Equal(path[:len(top)], top)
	})
}

// formatValue prints one value of a tree as JSON.
func formatValue(v any) string {
	if v == nil {
		return "nothing"
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

type schemaCmd struct{}

func (schemaCmd) Run() error { fmt.Print(cuefile.Schema()); return nil }

// summarize prints what a file sets, in one line.
func summarize(f *operator.File) {
	fmt.Printf("ok: version %s; %d routes, %d pools, %d methods beside the engine's; %d descriptors",
		f.Version, len(f.Routes), len(f.Pools), len(f.Methods), f.Descriptors())
	if f.UWSGI != nil {
		fmt.Printf("; uwsgi on %s", f.UWSGI.Listen)
	}
	fmt.Println()
}

func main() {
	ctx := kong.Parse(&command{}, kong.Name("valvectl"), kong.UsageOnError(),
		kong.Description("Checks and compiles the operator's file of sorrelvalve."))
	ctx.FatalIfErrorf(ctx.Run())
}
