package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	cases := []struct {
		name, text string
		n          int
		bad        string
	}{
		{"empty", "", 0, ""},
		{"notes", "# none\n\n", 0, ""},
		{"one", "./a/b TestX | the clock | issue 3\n", 1, ""},
		{"three", "./a TestX | c | issue 3\n./a TestY | c | issue 3\n./b TestX | c | issue 3", 3, ""},
		{"four", "./a TestX | c | issue 3\n./a TestY | c | issue 3\n./b TestX | c | issue 3\n./c TestX | c | issue 3", 0, "3 tests at most"},
		{"no cause", "./a TestX | | issue 3", 0, "expected"},
		{"no issue", "./a TestX | c", 0, "expected"},
		{"a word for the issue", "./a TestX | c | soon", 0, "expected"},
		{"no package", "TestX | c | issue 3", 0, "expected"},
		{"a pattern for the test", "./a Test.* | c | issue 3", 0, "expected"},
		{"all packages", "./... TestX | c | issue 3", 0, "expected"},
		{"a package written otherwise", "./a/ TestX | c | issue 3", 0, "expected"},
		{"a part too many", "./a TestX | c | issue 3 | more", 0, "expected"},
		{"twice", "./a TestX | c | issue 3\n./a TestX | d | issue 4", 0, "twice"},
		{"the second line is wrong", "./a TestX | c | issue 3\nTestY", 0, ":2:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all, err := parseList(c.text)
			if len(all) != c.n || (err == nil) != (c.bad == "") || err != nil && !strings.Contains(err.Error(), c.bad) {
				t.Errorf("got %v, error %v", all, err)
			}
		})
	}
}

// A module with tests that pass and fail is run with lists of all kinds.
func TestRun(t *testing.T) {
	t.Chdir(t.TempDir())
	write := func(name, text string) {
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module m\n\ngo 1.24\n")
	fails := "package %\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n\nfunc TestBad(t *testing.T) { t.Fatal(\"bad\") }\n\nfunc TestBadToo(t *testing.T) {%}\n"
	write("a/a_test.go", strings.Replace(strings.Replace(fails, "%", "a", 1), "%", "", 1))
	cases := []struct {
		name, list, more string // more is a file that is there as well
		bad, says        string
	}{
		{"no list", "", "", "tests failed", "--- FAIL: TestBad"},
		{"listed", "./a TestBad | it is bad | issue 7", "", "", "known red: TestBad in ./a: it is bad (issue 7): fails"},
		{"listed, and passes", "./a TestBad | it is bad | issue 7\n./a TestGood | was bad | issue 8", "", "", "TestGood in ./a: was bad (issue 8): passes now"},
		{"of the same name elsewhere", "./a TestBad | it is bad | issue 7", "b", "tests failed", "known red: TestBad in ./a"},
		{"not there", "./a TestGone | it is bad | issue 7", "", "no TestGone in ./a", ""},
		{"malformed", "./a TestBad", "", "expected", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			write(listFile, c.list)
			if c.more != "" {
				write("b/b_test.go", strings.Replace(strings.Replace(fails, "%", "b", 1), "%", "", 1))
				defer func() {
					if err := os.RemoveAll("b"); err != nil {
						t.Error(err)
					}
				}()
			}
			var out strings.Builder
			err := run(&out, []string{"-count=1"})
			if (err == nil) != (c.bad == "") || err != nil && !strings.Contains(err.Error(), c.bad) {
				t.Errorf("error %v", err)
			}
			if !strings.Contains(out.String(), c.says) {
				t.Errorf("said %s", out.String())
			}
		})
	}
}
