// Command valvectl is the operator's tool: it checks the operator's file (CUE), compiles it to the record that the daemon
// reads, compares records, and searches for better settings using a recorded trace. It links dependencies that are too large
// for the daemon; a running server does not need it.
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
	Check   checkCmd   `cmd:"" help:"Check an operator's file and report each error with file, line and key."`
	Compile compileCmd `cmd:"" help:"Check an operator's file and write the record that serve --operator reads."`
	Show    showCmd    `cmd:"" help:"Print the version, hash and a summary of a record."`
	Diff    diffCmd    `cmd:"" help:"Print the differences between two records, and which of them require a restart."`
	Schema  schemaCmd  `cmd:"" help:"Print the schema of the operator's file."`
	Plan    planCmd    `cmd:"" help:"Search for settings that would have served more of the traffic in a trace."`
}

// source holds the operator's files and the platform's configuration that they are checked against.
type source struct {
	Files    []string `arg:"" type:"existingfile" help:"Operator's file in CUE; several files are merged."`
	Settings string   `type:"existingfile" help:"Platform configuration with the methods and customers that the file may name. Without it, names are not checked."`
}

// read compiles the files. It prints each error to stderr and returns their number as an error.
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
		return nil, fmt.Errorf("operator's file: %d errors", len(faults))
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
	Out string `short:"o" required:"" type:"path" help:"Record to write; an existing one is replaced atomically."`
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
			fmt.Print("  (requires a restart)")
		}
		fmt.Println()
	}
	return nil
}

// needsRestart reports whether a change at path takes effect only after a restart.
func needsRestart(path configure.Path) bool {
	return slices.ContainsFunc(operator.RestartOnly, func(top configure.Path) bool {
		return len(path) >= len(top) && slices.Equal(path[:len(top)], top)
	})
}

// formatValue returns a value of a tree as JSON, or "nothing" if it is nil.
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

// summarize prints a one-line summary of a file.
func summarize(f *operator.File) {
	fmt.Printf("ok: version %s; %d routes, %d pools, %d methods served by pools; %d descriptors",
		f.Version, len(f.Routes), len(f.Pools), len(f.Methods), f.Descriptors())
	if f.UWSGI != nil {
		fmt.Printf("; uwsgi on %s", f.UWSGI.Listen)
	}
	fmt.Println()
}

func main() {
	ctx := kong.Parse(&command{}, kong.Name("valvectl"), kong.UsageOnError(),
		kong.Description("Checks, compiles and compares the operator's files of sorrelvalve."))
	ctx.FatalIfErrorf(ctx.Run())
}
