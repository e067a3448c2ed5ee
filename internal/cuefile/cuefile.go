// Package cuefile reads the operator's file in CUE: it holds it against the embedded schema, fills in the defaults and
// has it checked by the same code that the daemon runs. Errors name file, line and key. It links CUE, which is heavy, so
// only valvectl may import it, and it must never know what a value is used for.
package cuefile

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/token"

	"sorrelvalve/decision/route"
	"sorrelvalve/internal/operator"
)

//go:embed schema.cue
var schema string

// Schema is the text of the schema.
func Schema() string { return schema }

// Error is one fault in a file.
type Error struct {
	File      string
	Line      int // 0 if it stands nowhere
	Key, Text string
}

func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return where + ": " + e.Text
	}
	return where + ": " + e.Key + ": " + e.Text
}

// Compile reads the files, which are taken together, and checks them. known is what the settings know; the zero value
// checks no names.
func Compile(paths []string, known route.Catalog) (*operator.File, []*Error) {
	ctx := cuecontext.New()
	form := ctx.CompileString(schema, cue.Filename("schema.cue"))
	if err := form.Err(); err != nil {
		return nil, faults(err, "schema.cue")
	}
	own := ctx.CompileString("{}")
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, []*Error{{File: path, Text: err.Error()}}
		}
		v := ctx.CompileBytes(b, cue.Filename(path))
		if err := v.Err(); err != nil {
			return nil, faults(err, path)
		}
		own = own.Unify(v)
	}
	// Closed at the top as well: a key that is misspelt there must not be passed over.
	closed := ctx.CompileString("close({version: _, hold?: _, limits?: _, trace?: _, store?: _, uwsgi?: _, fleet?: _, budgets?: _, routes?: _, pools?: _, methods?: _})")
	whole := form.Unify(own)
	if err := whole.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		return nil, faults(err, paths[0])
	}
	fields, err := own.Fields()
	for err == nil && fields.Next() {
		if name := fields.Selector().String(); !closed.Allows(fields.Selector()) {
			return nil, []*Error{{File: paths[0], Line: fields.Value().Pos().Line(), Key: name, Text: "no key of the operator's file"}}
		}
	}
	b, err := whole.MarshalJSON()
	if err != nil {
		return nil, faults(err, paths[0])
	}
	f := &operator.File{}
	if err := json.Unmarshal(b, f); err != nil {
		return nil, []*Error{{File: paths[0], Text: err.Error()}}
	}
	var errs []*Error
	for _, x := range operator.Check(f, known) {
		e := &Error{File: paths[0], Key: x.Path, Text: x.Message}
		if pos := find(whole, x.Path); pos.IsValid() {
			e.File, e.Line = relative(pos.Filename()), pos.Line()
		}
		errs = append(errs, e)
	}
	return f, errs
}

// find is where a key stands in the operator's own text, or the nearest one above it that does.
func find(whole cue.Value, path string) token.Pos {
	for path != "" {
		v := whole.LookupPath(cue.ParsePath(path))
		if v.Exists() {
			if pos := own(v); pos.IsValid() {
				return pos
			}
		}
		if i := strings.LastIndexAny(path, ".["); i >= 0 && !strings.HasSuffix(path, `"`) {
			path = path[:i]
		} else if i := strings.Index(path, `."`); i >= 0 && strings.HasSuffix(path, `"`) {
			path = path[:i]
		} else {
			path = ""
		}
	}
	return token.NoPos
}

// own is the position of a value in a file of the operator's rather than in the schema.
func own(v cue.Value) token.Pos {
	if pos := v.Pos(); pos.IsValid() && pos.Filename() != "schema.cue" {
		return pos
	}
	op, parts := v.Expr()
	if op == cue.AndOp {
		for _, part := range parts {
			if pos := part.Pos(); pos.IsValid() && pos.Filename() != "schema.cue" {
				return pos
			}
		}
	}
	return token.NoPos
}

// faults are the errors of CUE with the place in the operator's file first, if one is there.
func faults(err error, file string) (all []*Error) {
	for _, x := range cueerrors.Errors(err) {
		e := &Error{File: file, Key: strings.Join(x.Path(), ".")}
		format, args := x.Msg()
		e.Text = fmt.Sprintf(format, args...)
		for _, pos := range append([]token.Pos{x.Position()}, x.InputPositions()...) {
			if pos.IsValid() && pos.Filename() != "schema.cue" {
				e.File, e.Line = relative(pos.Filename()), pos.Line()
				break
			}
		}
		all = append(all, e)
	}
	// CUE sums up alternatives that all fail in an error of its own, which stands nowhere; each tells more itself.
	return slices.DeleteFunc(all, func(e *Error) bool {
		return e.Line == 0 && slices.ContainsFunc(all, func(o *Error) bool { return o.Key == e.Key && o.Line > 0 })
	})
}

func relative(path string) string {
	if here, err := os.Getwd(); err == nil && filepath.IsAbs(path) {
		if r, err := filepath.Rel(here, path); err == nil && !strings.HasPrefix(r, "..") {
			return r
		}
	}
	return path
}
