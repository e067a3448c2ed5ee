package main

import (
	"fmt"
	"io"
	"path"
	"regexp"
	"slices"
	"strings"
)

const (
	listFile  = "KNOWN-RED.txt"
	maxListed = 3 // as the users allow
)

// knownFailure is one line of the list.
type knownFailure struct{ pkg, test, cause, issue string }

var (
	testName = regexp.MustCompile(`^Test[A-Z0-9_]\w*$`)
	pkgName  = regexp.MustCompile(`^\./[\w./-]+$`)
	issueNo  = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// parseList parses the list: "./package TestName | cause | issue N" a line. Empty lines and lines that begin with # are
// skipped.
func parseList(text string) (known []knownFailure, err error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		k, ok := parseLine(line)
		if !ok {
			return nil, fmt.Errorf("%s:%d: ./package TestName | cause | issue N expected, %.80q there", listFile, i+1, line)
		}
		listed := func(other knownFailure) bool { return other.pkg == k.pkg && other.test == k.test }
		if slices.ContainsFunc(known, listed) {
			return nil, fmt.Errorf("%s:%d: %s is listed twice", listFile, i+1, k.test)
		}
		known = append(known, k)
		if len(known) > maxListed {
			return nil, fmt.Errorf("%s: %d tests at most", listFile, maxListed)
		}
	}
	return known, nil
}

// parseLine parses one line, and reports false unless all of it is there and well-formed.
func parseLine(line string) (k knownFailure, ok bool) {
	parts := strings.Split(line, "|")
	if len(parts) != 3 {
		return k, false
	}
	k.pkg, k.test, _ = strings.Cut(strings.TrimSpace(parts[0]), " ")
	k.cause = strings.TrimSpace(parts[1])
	k.issue = strings.TrimSpace(parts[2])
	isPackage := pkgName.MatchString(k.pkg) && !strings.Contains(k.pkg, "..") && "./"+path.Clean(k.pkg) == k.pkg
	return k, isPackage && testName.MatchString(k.test) && k.cause != "" && issueNo.MatchString(k.issue)
}

// checkExists returns an error unless the package has the test.
func (k *knownFailure) checkExists() error {
	text, err := goTest(nil, "-list", "^"+k.test+"$", k.pkg)
	if err != nil || !slices.Contains(strings.Split(text, "\n"), k.test) {
		return fmt.Errorf("%s: no %s in %s", listFile, k.test, k.pkg)
	}
	return nil
}

// run runs the test and prints its result to out. The error is that of printing: the test may fail.
func (k *knownFailure) run(out io.Writer, flags []string) error {
	text, testErr := goTest(nil, append(slices.Clone(flags), "-run", "^"+k.test+"$", k.pkg)...)
	result := "fails"
	if testErr == nil {
		result = "passes now: take it off the list"
	}
	if _, err := fmt.Fprintf(out, "known red: %s in %s: %s (%s): %s\n", k.test, k.pkg, k.cause, k.issue, result); err != nil {
		return err
	}
	if testErr == nil {
		return nil
	}
	_, err := fmt.Fprint(out, "\t", strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n\t"), "\n")
	return err
}
