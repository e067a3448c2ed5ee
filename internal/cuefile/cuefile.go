// Package cuefile compiles the operator's file from CUE (https://cuelang.org). It validates the file against the embedded
// schema, fills in the defaults and runs the checks that the daemon runs. Errors name the file, the line and the key.
//
// The package links CUE, which is large, so only the operator's tool imports it. It does not depend on how values are used.
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

// Schema returns the source text of the CUE schema.
func Schema() string { return schema }

// Error is one error in a file.
type Error struct {
	File string
	Line int    // 0 if unknown
	Key  string // path of the key; "" if the file could not be read
	Text string
}

// Error returns the file, the line, the key and the text. It omits an unknown line or key.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return location + ": " + e.Text
	}
	return location + ": " + e.Key + ": " + e.Text
}

// schemaFile is the file name of the embedded schema in the positions of CUE errors.
const schemaFile = "schema.cue"

// topLevel is a CUE struct with the top-level keys of the operator's file. The schema is open at the top level, so a misspelt
// key there would otherwise be ignored.
const topLevel = "close({version: _, hold?: _, limits?: _, trace?: _, store?: _, uwsgi?: _, fleet?: _, budgets?: _, routes?: _, pools?: _, methods?: _})"

// Compile reads the files at paths, unifies them into one file and checks it. known holds the names in the settings; with the
// zero value no names are checked. If only the checks fail, Compile returns the file together with the errors; if the file
// cannot be decoded, the returned file is nil.
func Compile(paths []string, known route.Catalog) (*operator.File, []*Error) {
	ctx := cuecontext.New()
	schemaValue := ctx.CompileString(schema, cue.Filename(schemaFile))
	if err := schemaValue.Err(); err != nil {
		return nil, convert(err, schemaFile)
	}
	input, errs := unify(ctx, paths)
	if errs != nil {
		return nil, errs
	}
	unified := schemaValue.Unify(input)
	if err := unified.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		return nil, convert(err, paths[0])
	}
	if err := unknownKey(ctx, input, paths[0]); err != nil {
		return nil, []*Error{err}
	}
	b, err := unified.MarshalJSON()
	if err != nil {
		return nil, convert(err, paths[0])
	}
	f := &operator.File{}
	if err := json.Unmarshal(b, f); err != nil {
		return nil, []*Error{{File: paths[0], Text: err.Error()}}
	}
	return f, check(f, known, unified, paths[0])
}

// unify reads the files and unifies them into one value, without the schema.
func unify(ctx *cue.Context, paths []string) (cue.Value, []*Error) {
	input := ctx.CompileString("{}")
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return cue.Value{}, []*Error{{File: path, Text: err.Error()}}
		}
		v := ctx.CompileBytes(b, cue.Filename(path))
		if err := v.Err(); err != nil {
			return cue.Value{}, convert(err, path)
		}
		input = input.Unify(v)
	}
	return input, nil
}

// unknownKey returns an error for the first top-level key of the input that is not a key of the operator's file, or nil.
func unknownKey(ctx *cue.Context, input cue.Value, path string) *Error {
	closed := ctx.CompileString(topLevel)
	fields, err := input.Fields()
	for err == nil && fields.Next() {
		if key := fields.Selector(); !closed.Allows(key) {
			return &Error{File: path, Line: fields.Value().Pos().Line(), Key: key.String(), Text: "unknown key of the operator's file"}
		}
	}
	return nil
}

// check runs the checks that the daemon runs, and adds to each error the position of its key.
func check(f *operator.File, known route.Catalog, unified cue.Value, path string) []*Error {
	var errs []*Error
	for _, fault := range operator.Check(f, known) {
		e := &Error{File: path, Key: fault.Path, Text: fault.Message}
		if pos := position(unified, fault.Path); pos.IsValid() {
			e.File = relative(pos.Filename())
			e.Line = pos.Line()
		}
		errs = append(errs, e)
	}
	return errs
}

// position returns the position of a key in the operator's files. If the key is not there, it returns the position of the
// nearest parent that is.
func position(unified cue.Value, path string) token.Pos {
	for path != "" {
		v := unified.LookupPath(cue.ParsePath(path))
		if v.Exists() {
			if pos := operatorPosition(v); pos.IsValid() {
				return pos
			}
		}
		path = parent(path)
	}
	return token.NoPos
}

// parent returns the path of the table or list that contains a key, or "" for a top-level key. The name of an entry is quoted
// and may contain dots.
func parent(path string) string {
	if strings.HasSuffix(path, `"`) {
		return path[:max(0, strings.Index(path, `."`))]
	}
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// inOperatorFile reports whether a position is valid and lies in an operator's file rather than in the schema.
func inOperatorFile(pos token.Pos) bool { return pos.IsValid() && pos.Filename() != schemaFile }

// operatorPosition returns the position of a value in an operator's file, or token.NoPos if it has none there.
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

// convert converts the errors of CUE. Each gets its position in an operator's file, if it has one; otherwise it names file.
func convert(err error, file string) []*Error {
	var converted []*Error
	for _, cueErr := range cueerrors.Errors(err) {
		e := &Error{File: file, Key: strings.Join(cueErr.Path(), ".")}
		format, args := cueErr.Msg()
		e.Text = fmt.Sprintf(format, args...)
		for _, pos := range append([]token.Pos{cueErr.Position()}, cueErr.InputPositions()...) {
			if inOperatorFile(pos) {
				e.File = relative(pos.Filename())
				e.Line = pos.Line()
				break
			}
		}
		converted = append(converted, e)
	}
	// If all alternatives of a disjunction fail, CUE adds a summary error without a position. The errors of the alternatives
	// are more specific, so the summary is dropped.
	return slices.DeleteFunc(converted, func(e *Error) bool {
		return e.Line == 0 && slices.ContainsFunc(converted, func(other *Error) bool { return other.Key == e.Key && other.Line > 0 })
	})
}

// relative returns an absolute path below the working directory as a relative one, and any other path unchanged.
func relative(path string) string {
	if workingDir, err := os.Getwd(); err == nil && filepath.IsAbs(path) {
		if r, err := filepath.Rel(workingDir, path); err == nil && !strings.HasPrefix(r, "..") {
			return r
		}
	}
	return path
}
