package main

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// repositoryRoot is the root of the repository, as seen from this package.
const repositoryRoot = "../.."

// datedPages are pages of docs/ that record what was found or done on a day, with the names of that day.
var datedPages = []string{"docs/incidents", "docs/measurements", "docs/ROADMAP.md", "docs/results.md"}

// externalNames are names in the pages that belong to the bench, the web or an operator's own files.
var externalNames = []string{
	"bench", "brink", "hunt", "lbreal", "panel", // the bench and its flags
	"FOLDER",          // stands for a directory
	"HTTP_CONNECTION", // a variable that web servers pass
}

var (
	backquoted = regexp.MustCompile("`[^`\n]+`")
	identifier = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)
)

// fieldOfFlag returns the Go field from which the command line derives the name of a one-word flag.
func fieldOfFlag(name string) string { return strings.ToUpper(name[:1]) + name[1:] }

// TestDocsNameExistingThings guards against pages that still name an identifier, a file or a text after it was renamed
// or removed: each word between backquotes must stand in the source or be part of a path in the repository.
func TestDocsNameExistingThings(t *testing.T) {
	known := map[string]bool{}
	for _, name := range externalNames {
		known[name] = true
	}
	pages := []string{}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(repositoryRoot, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && (name == ".git" || name == "bin") {
			return filepath.SkipDir
		}
		for _, word := range identifier.FindAllString(name, -1) {
			known[word] = true
		}
		switch {
		case entry.IsDir() && name == "journal":
			return filepath.SkipDir
		case entry.IsDir() || slices.Contains(strings.Split(name, "/"), "testdata"):
		case strings.HasSuffix(name, ".md"):
			pages = append(pages, name)
		default:
			content, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, word := range identifier.FindAll(content, -1) {
				known[string(word)] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, page := range pages {
		dated := slices.ContainsFunc(datedPages, func(prefix string) bool { return strings.HasPrefix(page, prefix) })
		if dated || page == "CHANGELOG.md" { // gives old names beside new ones
			continue
		}
		content, err := os.ReadFile(filepath.Join(repositoryRoot, page))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(content, []byte("\n")) {
			for _, span := range backquoted.FindAll(line, -1) {
				for _, word := range identifier.FindAll(span, -1) {
					checked++
					exists := known[string(word)]
					if bytes.Contains(span, append([]byte("--"), word...)) {
						exists = exists || known[fieldOfFlag(string(word))]
					}
					if !exists {
						t.Errorf("%s:%d: %s: %s stands nowhere in the source", page, i+1, span, word)
					}
				}
			}
		}
	}
	if checked == 0 {
		t.Error("no name was checked: the pages were not found")
	}
}
