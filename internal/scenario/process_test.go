package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// firstPort and lastPort are below the range from which the system takes
	// ports of outgoing connections, so that an address stays free while its
	// instance is being replaced.
	firstPort = 22000
	lastPort  = 23999
	// patience bounds every wait for a condition. It is far above what any
	// condition takes, so that a busy machine fails no test.
	patience = 60 * time.Second
	// pollPause is the pause between two checks of a condition.
	pollPause = 50 * time.Millisecond
)

var ports struct {
	sync.Mutex
	next int
}

// freePorts returns the first of n consecutive ports that can be bound.
func freePorts(n int) (int, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		// Several test processes start at different places.
		ports.next = firstPort + os.Getpid()*53%(lastPort-firstPort)
	}
	for tried, run := 0, 0; tried < 2*(lastPort-firstPort); tried++ {
		if ports.next >= lastPort {
			ports.next, run = firstPort, 0
		}
		ports.next++
		// A process that is forked meanwhile would hold the port for a moment.
		syscall.ForkLock.RLock()
		l, err := net.Listen("tcp", loopback(ports.next))
		if err == nil {
			l.Close()
		}
		syscall.ForkLock.RUnlock()
		if err != nil {
			run = 0
			continue
		}
		if run++; run == n {
			return ports.next - n + 1, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// process is one process of the program that the test started.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// launch runs the program with its output appended to name.log in dir.
func launch(dir, name string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{cmd: exec.Command("gentianpick", args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill ends the process at once, paused or not.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// stop asks the process to drain and waits until it has exited by itself.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(patience):
		return fmt.Errorf("process %d did not exit after SIGTERM", p.cmd.Process.Pid)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("drained process exited with code %d", code)
	}
	return nil
}

// until polls a condition and returns its last error when patience is over.
func until(condition func() error) error {
	deadline := time.Now().Add(patience)
	for {
		err := condition()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollPause)
	}
}
