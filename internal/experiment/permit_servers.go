package experiment

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/sirupsen/logrus"

	"sorrelvalve/internal/permitserver"
)

// permitServerCount is a raft group that survives the loss of one.
const permitServerCount = 3

// PermitServer serves permits as a process of the experiments until it is killed. Its data is in dir, which is new if
// fresh; each peer, itself included, is NAME,RAFT-ADDRESS,HTTP-ADDRESS.
func PermitServer(name, dir string, fresh bool, peers []string) error {
	logger := logrus.New()
	logger.SetLevel(logrus.WarnLevel)
	options := permitserver.Options{Name: name, DataDir: dir, Bootstrap: fresh, Log: logrus.NewEntry(logger)}
	listen := ""
	for _, peer := range peers {
		fields := strings.Split(peer, ",")
		options.Peers = append(options.Peers, permitserver.Peer{Name: fields[0], RaftAddr: fields[1], HTTPAddr: fields[2]})
		if fields[0] == name {
			listen = fields[2]
		}
	}
	server, err := permitserver.Start(options)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	return server.Serve(ln)
}

// permitServers is a group of permit servers, each a process.
type permitServers struct {
	dir       string
	names     []string
	peers     []string // as PermitServer takes them
	addresses []string // for clients

	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

// startPermitServers starts a group with its data below dir.
func startPermitServers(dir string) (*permitServers, error) {
	s := &permitServers{dir: dir, processes: map[string]*exec.Cmd{}}
	for i := range permitServerCount {
		raft, err := unusedAddress()
		if err != nil {
			return nil, err
		}
		http, err := unusedAddress()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprint("k", i)
		s.names = append(s.names, name)
		s.peers = append(s.peers, name+","+raft+","+http)
		s.addresses = append(s.addresses, http)
	}
	for _, name := range s.names {
		if err := s.start(name, true); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// unusedAddress is one that nothing listens on just now, of an IP address of its own: clients that call from 127.0.0.1
// take ports there at any time.
func unusedAddress() (string, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+rand.Intn(200), rand.Intn(256), 1+rand.Intn(250)))
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// start starts one server; fresh if its folder is new.
func (s *permitServers) start(name string, fresh bool) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	args := []string{"keeper-server", name, filepath.Join(s.dir, name)}
	if fresh {
		args = append(args, "--new")
	}
	process := exec.Command(executable, append(args, s.peers...)...)
	if err := process.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = process
	return nil
}

// startMissing starts again those that were killed.
func (s *permitServers) startMissing() error {
	for _, name := range s.names {
		if s.running(name) {
			continue
		}
		if err := s.start(name, false); err != nil {
			return err
		}
	}
	return nil
}

func (s *permitServers) running(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name] != nil
}

// kill ends one as kill -9 does, and waits for it; nothing if it does not run.
func (s *permitServers) kill(name string) {
	s.mu.Lock()
	process := s.processes[name]
	delete(s.processes, name)
	s.mu.Unlock()
	if process != nil {
		_ = process.Process.Signal(syscall.SIGCONT) // it may be stopped; fails only for one that has ended
		_ = process.Process.Kill()                  // fails only for one that has ended
		_ = process.Wait()                          // the error is the kill itself
	}
}

// signal sends a signal to one; nothing if it does not run.
func (s *permitServers) signal(name string, sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if process := s.processes[name]; process != nil {
		return process.Process.Signal(sig)
	}
	return nil
}

// close kills all.
func (s *permitServers) close() {
	for _, name := range s.names {
		s.kill(name)
	}
}

// maxResidentMB is the resident memory of the server that has the most, in MB.
func (s *permitServers) maxResidentMB() (largest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, process := range s.processes {
		largest = max(largest, residentMB(process.Process.Pid))
	}
	return largest
}

// residentMB is the resident memory of a process in MB; 0 if it has ended.
func residentMB(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) != 3 || fields[0] != "VmRSS:" {
			continue
		}
		if kb, err := strconv.ParseFloat(fields[1], 64); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// folderMB is the size of all files below a path in MB. Files that vanish meanwhile don't count.
func folderMB(path string) (mb float64, err error) {
	err = filepath.WalkDir(path, func(_ string, entry fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil {
			return err
		}
		mb += float64(info.Size()) / (1 << 20)
		return nil
	})
	return mb, err
}
