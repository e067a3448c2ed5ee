package command

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The program runs under its name without a notice, and under its former name with one line on standard error.
func TestNames(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../../cmd/valvepermitd", "../../../cmd/valvekeeper").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, notice := range map[string]string{Name: "", "valvekeeper": "valvekeeper: deprecated, removed in the next release: use valvepermitd\n"} {
		var stdout, stderr bytes.Buffer
		c := exec.Command(filepath.Join(dir, name), "version")
		c.Stdout, c.Stderr = &stdout, &stderr
		if err := c.Run(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if first, _, _ := strings.Cut(stdout.String(), " "); first != name {
			t.Errorf("%s: version %q", name, stdout.String())
		}
		if stderr.String() != notice {
			t.Errorf("%s: standard error %q, %q wanted", name, stderr.String(), notice)
		}
	}
}

// Peers are read as NAME=RAFT,HTTP.
func TestParsePeers(t *testing.T) {
	peers, err := parsePeers([]string{"k0=10.0.0.4:7801,10.0.0.4:7802"})
	if err != nil || len(peers) != 1 || peers[0].Name != "k0" || peers[0].RaftAddr != "10.0.0.4:7801" || peers[0].HTTPAddr != "10.0.0.4:7802" {
		t.Errorf("%+v %v", peers, err)
	}
	for _, text := range []string{"", "k0", "k0=10.0.0.4:7801", "=10.0.0.4:7801,10.0.0.4:7802"} {
		if _, err := parsePeers([]string{text}); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
