// Command ci runs the tests of the repository as .ci/run does. The few that KNOWN-RED.txt lists run apart: these may
// fail, all others may not.
//
// It must never pass over a test that is not listed by name and package, nor over one whose line does not say why.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// errTestsFailed means that tests beyond the list have failed.
var errTestsFailed = errors.New("tests failed")

// goTest runs go test in this folder and returns what it printed, which is written to out as well if that is not nil.
func goTest(out io.Writer, args ...string) (string, error) {
	var text strings.Builder
	var printed io.Writer = &text
	if out != nil {
		printed = io.MultiWriter(out, &text)
	}
	c := exec.Command("go", append([]string{"test"}, args...)...)
	c.Stdout = printed
	c.Stderr = printed
	err := c.Run()
	return text.String(), err
}

// run runs all tests with these flags of go test. The error says what has failed beyond the list.
func run(out io.Writer, flags []string) error {
	known, err := readList()
	if err != nil {
		return err
	}
	skipped := map[string][]string{} // tests by package
	for _, k := range known {
		if err := k.checkExists(); err != nil {
			return err
		}
		skipped[k.pkg] = append(skipped[k.pkg], k.test)
	}
	strict, err := packagesWithout(skipped)
	if err != nil {
		return err
	}
	failed := runStrict(out, flags, strict, skipped)
	for _, k := range known {
		failed = errors.Join(failed, k.run(out, flags))
	}
	return failed
}

// readList reads the list, which need not be there.
func readList() ([]knownFailure, error) {
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return parseList(string(text))
}

// packagesWithout returns the packages below this folder that have no skipped tests, as ./path.
func packagesWithout(skipped map[string][]string) (packages []string, err error) {
	dirs, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{.Dir}}", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	for _, field := range strings.Fields(string(dirs)) { // import paths do not begin with the root
		dir, ok := strings.CutPrefix(field, root)
		isBelow := ok && (dir == "" || dir[0] == '/')
		if isBelow && skipped["."+dir] == nil {
			packages = append(packages, "."+dir)
		}
	}
	return packages, nil
}

// runStrict runs the tests that may not fail: all of the strict packages, and those of the others that are not skipped.
func runStrict(out io.Writer, flags, strict []string, skipped map[string][]string) error {
	var failed error
	if len(strict) > 0 {
		if _, err := goTest(out, append(slices.Clone(flags), strict...)...); err != nil {
			failed = errTestsFailed
		}
	}
	for pkg, names := range skipped {
		pattern := "^(" + strings.Join(names, "|") + ")$"
		if _, err := goTest(out, append(slices.Clone(flags), "-skip", pattern, pkg)...); err != nil {
			failed = errTestsFailed
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
