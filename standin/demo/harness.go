package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"anviltack/core"
	"anviltack/standin/endpoint"
	"anviltack/standin/loopback"
)

const (
	// startTimeout bounds the wait for a process to answer.
	startTimeout      = time.Minute
	startPollInterval = 50 * time.Millisecond
	callTimeout       = 2 * time.Second
)

// endpointProcess is one endpoint that runs as a process.
type endpointProcess struct {
	name             string
	group            int
	dataCentre       core.DataCentre
	statementAddress netip.AddrPort
	controlAddress   netip.AddrPort
	process          *process
	// suspended is set while the process is stopped by SIGSTOP.
	suspended bool
}

// instanceProcess is one entry instance that runs as a process.
type instanceProcess struct {
	name            string
	dataCentre      core.DataCentre
	callerAddress   netip.AddrPort
	operatorAddress netip.AddrPort
	peerAddress     netip.AddrPort
	process         *process
}

// harness runs the processes of one site.
type harness struct {
	site      Site
	programs  Programs
	directory string
	client    *http.Client
	// sampleInterval is the time between two samples in the syntax of the
	// settings file; empty for the default.
	sampleInterval string

	platform               *process
	platformAddress        netip.AddrPort
	platformControlAddress netip.AddrPort
	endpoints              []*endpointProcess
	instances              []*instanceProcess
}

func newHarness(site Site, programs Programs, directory string) (*harness, error) {
	h := &harness{site: site, programs: programs, directory: directory, client: &http.Client{Timeout: callTimeout}}
	ports, err := freePorts(2 + 2*site.Groups*site.EndpointsPerGroup + 3*site.Instances)
	if err != nil {
		return nil, err
	}
	nextPort := func() netip.AddrPort {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	h.platformAddress, h.platformControlAddress = nextPort(), nextPort()
	for g := range site.Groups {
		for m := range site.EndpointsPerGroup {
			h.endpoints = append(h.endpoints, &endpointProcess{
				name:             site.endpointName(g, m),
				group:            g,
				dataCentre:       site.dataCentre(g, m),
				statementAddress: nextPort(),
				controlAddress:   nextPort(),
			})
		}
	}
	for i := range site.Instances {
		h.instances = append(h.instances, &instanceProcess{
			name:            fmt.Sprintf("entry-%d", i+1),
			dataCentre:      site.DataCentres[i%len(site.DataCentres)],
			callerAddress:   nextPort(),
			operatorAddress: nextPort(),
			peerAddress:     nextPort(),
		})
	}
	return h, nil
}

// freePorts returns n loopback addresses with unused ports.
func freePorts(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		address, err := loopback.Reserve()
		if err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		out = append(out, address)
	}
	return out, nil
}

// start starts all processes and waits until callers are served.
func (h *harness) start(ctx context.Context) error {
	var err error
	h.platform, err = startProcess(h.directory, "platform", nil, h.programs.Standin,
		"platform", "--listen", h.platformAddress.String(), "--control", h.platformControlAddress.String())
	if err != nil {
		return err
	}
	for _, m := range h.endpoints {
		if m.process, err = startProcess(h.directory, m.name, nil, h.programs.Standin, h.endpointArguments(m)...); err != nil {
			return err
		}
	}
	for _, m := range h.endpoints {
		if err := h.waitFor(ctx, m.name, func() error { return h.get(m.controlAddress, "/stats", &endpoint.Stats{}) }); err != nil {
			return err
		}
	}
	if err := h.waitFor(ctx, "platform", h.putConfig); err != nil {
		return err
	}
	for _, e := range h.instances {
		if err := h.startInstance(e); err != nil {
			return err
		}
	}
	for _, e := range h.instances {
		if err := h.waitFor(ctx, e.name, func() error { return h.probe(ctx, e) }); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) endpointArguments(m *endpointProcess) []string {
	var peers []string
	first := true
	for _, other := range h.endpoints {
		if other.group != m.group || other == m {
			continue
		}
		peers = append(peers, other.controlAddress.String())
		first = first && other.name > m.name
	}
	arguments := []string{
		"endpoint", "--name", m.name, "--group", h.site.groupName(m.group),
		"--data-centre", string(m.dataCentre),
		"--listen", m.statementAddress.String(), "--control", m.controlAddress.String(),
		"--peers", strings.Join(peers, ","),
		"--slots", fmt.Sprint(h.site.Slots), "--connections", fmt.Sprint(h.site.Connections),
		"--connect", h.site.ConnectDelay.String(), "--delay", h.site.NetworkDelay.String(), "--lag", h.site.Lag.String(),
	}
	if first {
		arguments = append(arguments, "--primary")
	}
	return arguments
}

func (h *harness) startInstance(e *instanceProcess) error {
	path := filepath.Join(h.directory, e.name+".json")
	text, err := h.settings(e)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	e.process, err = startProcess(h.directory, e.name, nil, h.programs.Anviltack, "serve", path)
	return err
}

// waitFor repeats a call until it succeeds.
func (h *harness) waitFor(ctx context.Context, name string, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := call()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: timed out waiting for %s: %w", name, err)
		case <-time.After(startPollInterval):
		}
	}
}

// stop ends all processes, the entry instances first.
func (h *harness) stop() error {
	var instances, others []*process
	for _, e := range h.instances {
		instances = append(instances, e.process)
	}
	for _, m := range h.endpoints {
		others = append(others, m.process)
	}
	others = append(others, h.platform)
	return errors.Join(stopAll(instances), stopAll(others))
}

// primary waits until a group has a primary and returns it.
func (h *harness) primary(group int) (*endpointProcess, error) {
	var found *endpointProcess
	err := h.waitFor(context.Background(), "a primary of "+h.site.groupName(group), func() error {
		if found = h.findPrimary(group); found == nil {
			return errors.New("demo: no endpoint is primary")
		}
		return nil
	})
	return found, err
}

func (h *harness) findPrimary(group int) *endpointProcess {
	var best *endpointProcess
	var term uint64
	for _, m := range h.endpoints {
		var s endpoint.Stats
		if m.group != group || !m.isAnswering() || h.get(m.controlAddress, "/stats", &s) != nil {
			continue
		}
		if s.Status.Role == core.RolePrimary && s.Status.Fence == s.Status.Term && s.Status.Term > term {
			best, term = m, s.Status.Term
		}
	}
	return best
}

// isAnswering reports whether the process of the endpoint runs and is not
// suspended.
func (m *endpointProcess) isAnswering() bool { return m.process.isRunning() && !m.suspended }

func (h *harness) get(a netip.AddrPort, path string, into any) error {
	response, err := h.client.Get("http://" + a.String() + path)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("demo: %s%s: %s", a, path, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// put sends a JSON body and fails unless the answer is the expected one; an
// empty expected accepts any answer.
func (h *harness) put(a netip.AddrPort, path string, body any, expected string) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+a.String()+path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if response.StatusCode != http.StatusOK || expected != "" && strings.TrimSpace(string(answer)) != expected {
		return fmt.Errorf("demo: %s%s: %s %s", a, path, response.Status, answer)
	}
	return nil
}
