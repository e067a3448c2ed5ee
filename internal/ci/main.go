// Command ci runs the tests of the repository as .ci/run does, with the few that KNOWN-RED.txt lists run apart: these may
// fail, all others may not. It must never pass over a test that is not listed by name and package, nor over one whose line
// does not say why.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path"
	"regexp"
	"slices"
	"strings"
)

const (
	listFile  = "KNOWN-RED.txt"
	maxListed = 3 // what the users allow
)

// red is one line of the list.
type knownFailure struct{ pkg, test, cause, issue string }

var (
	testName = regexp.MustCompile(`^Test[A-Z0-9_]\w*$`)
	pkgName  = regexp.MustCompile(`^\./[\w./-]+$`)
	issueNo  = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// parse reads the list: "./package TestName | cause | issue N" a line; empty lines and lines that begin with # are passed over.
func parseList(text string) (all []knownFailure, err error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		part := strings.Split(line, "|")
		for j := range part {
			part[j] = strings.TrimSpace(part[j])
		}
		pkg, test, _ := strings.Cut(part[0], " ")
		if len(part) != 3 || !pkgName.MatchString(pkg) || strings.Contains(pkg, "..") || "./"+path.Clean(pkg) != pkg || !testName.MatchString(test) || part[1] == "" || !issueNo.MatchString(part[2]) {
			return nil, fmt.Errorf("%s:%d: ./package TestName | cause | issue N expected, %.80q there", listFile, i+1, line)
		}
		r := knownFailure{pkg, test, part[1], part[2]}
		if slices.ContainsFunc(all, func(o knownFailure) bool { return o.pkg == pkg && o.test == test }) {
			return nil, fmt.Errorf("%s:%d: %s is listed twice", listFile, i+1, test)
		}
		if all = append(all, r); len(all) > maxListed {
			return nil, fmt.Errorf("%s: %d tests at most", listFile, maxListed)
		}
	}
	return all, nil
}

// tests runs go test in this folder and returns what it printed; it is written to out as well if that is not nil.
func goTest(out io.Writer, args ...string) (string, error) {
	var text strings.Builder
	c := exec.Command("go", append([]string{"test"}, args...)...)
	c.Stdout, c.Stderr = &text, &text
	if out != nil {
		c.Stdout, c.Stderr = io.MultiWriter(out, &text), io.MultiWriter(out, &text)
	}
	err := c.Run()
	return text.String(), err
}

// run runs all tests with the flags given. The error says what has failed beyond the list.
func run(out io.Writer, flags []string) error {
	b, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	reds, err := parseList(string(b))
	if err != nil {
		return err
	}
	skip := map[string][]string{}
	for _, r := range reds {
		there, err := goTest(nil, "-list", "^"+r.test+"$", r.pkg)
		if err != nil || !slices.Contains(strings.Split(there, "\n"), r.test) {
			return fmt.Errorf("%s: no %s in %s", listFile, r.test, r.pkg)
		}
		skip[r.pkg] = append(skip[r.pkg], r.test)
	}
	paths, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{.Dir}}", "./...").Output()
	if err != nil {
		return fmt.Errorf("go list: %w", err)
	}
	own, err := os.Getwd()
	if err != nil {
		return err
	}
	var strict []string
	for _, line := range strings.Fields(strings.ReplaceAll(string(paths), "\n", " ")) {
		if dir, ok := strings.CutPrefix(line, own); ok && (dir == "" || dir[0] == '/') && skip["."+dir] == nil {
			strict = append(strict, "."+dir)
		}
	}
	var failed error
	if len(strict) > 0 {
		if _, err := goTest(out, append(slices.Clone(flags), strict...)...); err != nil {
			failed = errors.New("tests failed")
		}
	}
	for pkg, names := range skip {
		if _, err := goTest(out, append(slices.Clone(flags), "-skip", "^("+strings.Join(names, "|")+")$", pkg)...); err != nil {
			failed = errors.New("tests failed")
		}
	}
	for _, r := range reds {
		text, err := goTest(nil, append(slices.Clone(flags), "-run", "^"+r.test+"$", r.pkg)...)
		result := "fails"
		if err == nil {
			result = "passes now: take it off the list"
		}
		fmt.Fprintf(out, "known red: %s in %s: %s (%s): %s\n", r.test, r.pkg, r.cause, r.issue, result)
		if err != nil {
			fmt.Fprint(out, "\t", strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n\t"), "\n")
		}
	}
	return failed
}

func main() {
	if err := run(os.Stdout, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "ci:", err)
		os.Exit(1)
	}
}
