package demo

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout bounds the wait for a process to end after SIGTERM.
const stopTimeout = 10 * time.Second

// process is one process that the demo started.
type process struct {
	name    string
	command *exec.Cmd
	// ended is closed once Wait has returned.
	ended chan struct{}
	err   error
}

// startProcess starts a process whose standard error goes to a file.
func startProcess(directory, name string, out io.Writer, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = log.Close() }()
	p := &process{name: name, command: exec.Command(program, arguments...), ended: make(chan struct{})}
	p.command.Stdout = out
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("demo: %s: %w", name, err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() error {
	err := p.command.Process.Kill()
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("demo: %s: %w", p.name, err)
	}
	<-p.ended
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("demo: %s: %w", p.name, err)
	}
	return nil
}

func (p *process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop ends the process with SIGTERM. If it is still running after stopTimeout,
// it is killed and an error returned.
func (p *process) stop() error {
	if !p.isRunning() {
		return nil
	}
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return nil
	case <-time.After(stopTimeout):
	}
	if err := p.kill(); err != nil {
		return err
	}
	return fmt.Errorf("demo: %s did not end within %s and was killed", p.name, stopTimeout)
}

// stopAll stops processes in parallel; nil entries, which did not start, are
// skipped.
func stopAll(all []*process) error {
	failures := make([]error, len(all))
	var stopping sync.WaitGroup
	for i, p := range all {
		if p != nil {
			stopping.Go(func() { failures[i] = p.stop() })
		}
	}
	stopping.Wait()
	return errors.Join(failures...)
}
