package command

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// valvepermitd prints nothing to standard error, and the deprecated valvekeeper prints one line of notice. Both print their own
// name with the version.
func TestNames(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../../cmd/valvepermitd", "../../../cmd/valvekeeper").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	for name, notice := range map[string]string{Name: "", "valvekeeper": "valvekeeper: deprecated, removed in the next release: use valvepermitd\n"} {
		var stdout, stderr bytes.Buffer
		c := exec.Command(filepath.Join(dir, name), "version")
		c.Stdout, c.Stderr = &stdout, &stderr
		if err := c.Run(); err != nil {
			t.Errorf("%s: run: %v", name, err)
		}
		if first, _, _ := strings.Cut(stdout.String(), " "); first != name {
			t.Errorf("%s: version output does not begin with the name: %q", name, stdout.String())
		}
		if stderr.String() != notice {
			t.Errorf("%s: standard error: got %q, want %q", name, stderr.String(), notice)
		}
	}
}

// A peer has the form NAME=RAFT,HTTP; a text of any other form is rejected.
func TestParsePeers(t *testing.T) {
	peers, err := parsePeers([]string{"k0=10.0.0.4:7801,10.0.0.4:7802"})
	if err != nil || len(peers) != 1 || peers[0].Name != "k0" || peers[0].RaftAddr != "10.0.0.4:7801" || peers[0].HTTPAddr != "10.0.0.4:7802" {
		t.Errorf("parsed peers: got %+v, error %v", peers, err)
	}
	for _, text := range []string{"", "k0", "k0=10.0.0.4:7801", "=10.0.0.4:7801,10.0.0.4:7802"} {
		if _, err := parsePeers([]string{text}); err == nil {
			t.Errorf("%q was accepted as a peer", text)
		}
	}
}
