// Package cuefile compiles the operator's file from CUE (https://cuelang.org): it validates it against the embedded
// schema, fills in the defaults and runs the checks that the daemon runs. Errors name file, line and key.
//
// It links CUE, which is large, so only the operator's tool imports it. It does not know what a value is used for.
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

// Schema returns the text of the schema, in CUE.
func Schema() string { return schema }

// Error is one thing wrong with a file.
type Error struct {
	File string
	Line int    // 0 if unknown
	Key  string // path of the key; "" if the file could not be read
	Text string
}

// Error returns file, line, key and text, as far as they are known.
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

// schemaFile is the name under which errors mention the embedded schema.
const schemaFile = "schema.cue"

// topLevel names the keys of the operator's file. The schema is open at the top, and a key that is misspelt there must
// not be passed over.
const topLevel = "close({version: _, hold?: _, limits?: _, trace?: _, store?: _, uwsgi?: _, fleet?: _, budgets?: _, routes?: _, pools?: _, methods?: _})"

// Compile reads the files, which are unified, and checks them. known are the names of the settings; the zero value
// checks no names. A file is returned with the errors if it could be read whole.
func Compile(paths []string, known route.Catalog) (*operator.File, []*Error) {
	ctx := cuecontext.New()
	form := ctx.CompileString(schema, cue.Filename(schemaFile))
	if err := form.Err(); err != nil {
		return nil, convert(err, schemaFile)
	}
	text, errs := unify(ctx, paths)
	if errs != nil {
		return nil, errs
	}
	complete := form.Unify(text)
	if err := complete.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		return nil, convert(err, paths[0])
	}
	if err := unknownKey(ctx, text, paths[0]); err != nil {
		return nil, []*Error{err}
	}
	b, err := complete.MarshalJSON()
	if err != nil {
		return nil, convert(err, paths[0])
	}
	f := &operator.File{}
	if err := json.Unmarshal(b, f); err != nil {
		return nil, []*Error{{File: paths[0], Text: err.Error()}}
	}
	return f, check(f, known, complete, paths[0])
}

// unify reads the files into one value.
func unify(ctx *cue.Context, paths []string) (cue.Value, []*Error) {
	text := ctx.CompileString("{}")
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return cue.Value{}, []*Error{{File: path, Text: err.Error()}}
		}
		v := ctx.CompileBytes(b, cue.Filename(path))
		if err := v.Err(); err != nil {
			return cue.Value{}, convert(err, path)
		}
		text = text.Unify(v)
	}
	return text, nil
}

// unknownKey returns an error for the first key at the top of the text that the operator's file does not have.
func unknownKey(ctx *cue.Context, text cue.Value, path string) *Error {
	closed := ctx.CompileString(topLevel)
	fields, err := text.Fields()
	for err == nil && fields.Next() {
		if key := fields.Selector(); !closed.Allows(key) {
			return &Error{File: path, Line: fields.Value().Pos().Line(), Key: key.String(), Text: "no key of the operator's file"}
		}
	}
	return nil
}

// check runs the checks that the daemon runs, and finds for each error the line of its key.
func check(f *operator.File, known route.Catalog, complete cue.Value, path string) []*Error {
	var errs []*Error
	for _, fault := range operator.Check(f, known) {
		e := &Error{File: path, Key: fault.Path, Text: fault.Message}
		if pos := position(complete, fault.Path); pos.IsValid() {
			e.File = relative(pos.Filename())
			e.Line = pos.Line()
		}
		errs = append(errs, e)
	}
	return errs
}

// position returns where a key stands in the operator's own text, or the nearest key above it that does.
func position(complete cue.Value, path string) token.Pos {
	for path != "" {
		v := complete.LookupPath(cue.ParsePath(path))
		if v.Exists() {
			if pos := operatorPosition(v); pos.IsValid() {
				return pos
			}
		}
		path = parent(path)
	}
	return token.NoPos
}

// parent is the path of the table or list that a key stands in; "" at the top. An entry's name is quoted and may hold
// dots itself.
func parent(path string) string {
	if strings.HasSuffix(path, `"`) {
		return path[:max(0, strings.Index(path, `."`))]
	}
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// inOperatorFile tells whether a position is in a file of the operator's rather than in the schema.
func inOperatorFile(pos token.Pos) bool { return pos.IsValid() && pos.Filename() != schemaFile }

// operatorPosition returns the position of a value in a file of the operator's, if it has one.
func operatorPosition(v cue.Value) token.Pos {
	if pos := v.Pos(); inOperatorFile(pos) {
		return pos
	}
	op, parts := v.Expr()
	if op == cue.AndOp {
		for _, part := range parts {
			if pos := part.Pos(); inOperatorFile(pos) {
				return pos
			}
		}
	}
	return token.NoPos
}

// convert returns the errors of CUE, each with its place in the operator's file if it has one there.
func convert(err error, file string) []*Error {
	var all []*Error
	for _, x := range cueerrors.Errors(err) {
		e := &Error{File: file, Key: strings.Join(x.Path(), ".")}
		format, args := x.Msg()
		e.Text = fmt.Sprintf(format, args...)
		for _, pos := range append([]token.Pos{x.Position()}, x.InputPositions()...) {
			if inOperatorFile(pos) {
				e.File = relative(pos.Filename())
				e.Line = pos.Line()
				break
			}
		}
		all = append(all, e)
	}
	// CUE sums up alternatives that all fail in an error of its own, which has no position; each says more itself.
	return slices.DeleteFunc(all, func(e *Error) bool {
		return e.Line == 0 && slices.ContainsFunc(all, func(o *Error) bool { return o.Key == e.Key && o.Line > 0 })
	})
}

// relative returns a path below the working directory relative to it, and any other unchanged.
func relative(path string) string {
	if here, err := os.Getwd(); err == nil && filepath.IsAbs(path) {
		if r, err := filepath.Rel(here, path); err == nil && !strings.HasPrefix(r, "..") {
			return r
		}
	}
	return path
}
