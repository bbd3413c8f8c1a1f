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

// stopLimit bounds the wait for a process to end by itself.
const stopLimit = 10 * time.Second

// process is one process that the demo started.
type process struct {
	name    string
	command *exec.Cmd
	// ended is closed once the process was waited for.
	ended chan struct{}
	err   error
}

// startProcess starts a process whose error output goes to a file.
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

// kill ends the process at once.
func (p *process) kill() error {
	err := p.command.Process.Kill()
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("demo: %s: %w", p.name, err)
	}
	<-p.ended
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("demo: %s: %w", p.name, err)
	}
	return nil
}

// isRunning reports whether the process has not ended.
func (p *process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop asks the process to end and ends it when it does not.
func (p *process) stop() error {
	if !p.isRunning() {
		return nil
	}
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return nil
	case <-time.After(stopLimit):
	}
	if err := p.kill(); err != nil {
		return err
	}
	return fmt.Errorf("demo: %s did not end within %s and was killed", p.name, stopLimit)
}

// stopAll stops processes side by side; those that did not start are nil.
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
