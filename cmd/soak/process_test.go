package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/galenasail/galenasail/node/settings"
)

// buildDaemon builds galenasaild into a directory and returns its path.
func buildDaemon(t *testing.T, dir string) string {
	path := filepath.Join(dir, "galenasaild")
	out, err := exec.Command("go", "build", "-o", path, "github.com/galenasail/galenasail/cmd/galenasaild").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// process runs one VM as a process, which can be started again after it has exited.
type process struct {
	program, settings, log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// overdue counts the graceful stops that took longer than exitTimeout.
	overdue int
}

// exitTimeout bounds a graceful stop, which has to end within 60 s. The rest is for a busy
// machine.
const exitTimeout = 65 * time.Second

// newProcess writes the settings file of a VM to dir. The process is not started.
func newProcess(program, dir string, s *settings.Settings) (*process, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	p := &process{program: program, settings: filepath.Join(dir, s.ID+".json"), log: filepath.Join(dir, s.ID+".log")}
	return p, os.WriteFile(p.settings, raw, 0o600)
}

// start starts the process. Its output is appended to the VM's log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when the test ends, even if the test is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // The log file shows why the process exited.
		_ = log.Close()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

// signal sends a signal to the process, unless it has exited, and returns a channel
// that is closed when the process has exited.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
	return p.exited
}

// terminate stops the process gracefully and waits until it has exited. A process that has
// not exited within exitTimeout is counted and ended with SIGQUIT, which writes its stacks
// to its log.
func (p *process) terminate() {
	select {
	case <-p.signal(syscall.SIGTERM):
	case <-time.After(exitTimeout):
		p.mu.Lock()
		p.overdue++
		p.mu.Unlock()
		<-p.signal(syscall.SIGQUIT)
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	<-p.signal(syscall.SIGKILL)
}
