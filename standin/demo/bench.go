package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"anviltack/core"
	"anviltack/standin/endpoint"
)

const (
	// startLimit bounds the wait for processes to answer.
	startLimit = time.Minute
	startPause = 50 * time.Millisecond
	callLimit  = 2 * time.Second
)

// member is one running endpoint.
type member struct {
	name       string
	group      int
	dataCentre core.DataCentre
	statements netip.AddrPort
	control    netip.AddrPort
	process    *process
	// paused tells that the process is stopped by a signal.
	paused bool
}

// entry is one running entry instance.
type entry struct {
	name       string
	dataCentre core.DataCentre
	callers    netip.AddrPort
	operators  netip.AddrPort
	peers      netip.AddrPort
	process    *process
}

// bench holds the processes of one run.
type bench struct {
	site      Site
	programs  Programs
	directory string
	client    *http.Client
	// sample is the time between two samples as the settings write it; empty for
	// the default.
	sample string

	platform        *process
	platformAPI     netip.AddrPort
	platformControl netip.AddrPort
	members         []*member
	entries         []*entry
}

func newBench(site Site, programs Programs, directory string) (*bench, error) {
	b := &bench{site: site, programs: programs, directory: directory, client: &http.Client{Timeout: callLimit}}
	ports, err := freePorts(2 + 2*site.Groups*site.Members + 3*site.Instances)
	if err != nil {
		return nil, err
	}
	take := func() netip.AddrPort {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	b.platformAPI, b.platformControl = take(), take()
	for g := range site.Groups {
		for m := range site.Members {
			b.members = append(b.members, &member{
				name:       site.memberName(g, m),
				group:      g,
				dataCentre: site.dataCentre(g, m),
				statements: take(),
				control:    take(),
			})
		}
	}
	for i := range site.Instances {
		b.entries = append(b.entries, &entry{
			name:       fmt.Sprintf("entry-%d", i+1),
			dataCentre: site.DataCentres[i%len(site.DataCentres)],
			callers:    take(),
			operators:  take(),
			peers:      take(),
		})
	}
	return b, nil
}

// freePorts returns loopback addresses that nobody listens at.
func freePorts(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		held = append(held, l)
		out = append(out, netip.MustParseAddrPort(l.Addr().String()))
	}
	return out, nil
}

// start starts everything and waits until callers are served.
func (b *bench) start(ctx context.Context) error {
	var err error
	b.platform, err = startProcess(b.directory, "platform", nil, b.programs.Standin,
		"platform", "--listen", b.platformAPI.String(), "--control", b.platformControl.String())
	if err != nil {
		return err
	}
	for _, m := range b.members {
		if m.process, err = startProcess(b.directory, m.name, nil, b.programs.Standin, b.memberArguments(m)...); err != nil {
			return err
		}
	}
	for _, m := range b.members {
		if err := b.await(ctx, m.name, func() error { return b.get(m.control, "/stats", &endpoint.Stats{}) }); err != nil {
			return err
		}
	}
	if err := b.await(ctx, "platform", b.putConfig); err != nil {
		return err
	}
	for _, e := range b.entries {
		if err := b.startEntry(e); err != nil {
			return err
		}
	}
	for _, e := range b.entries {
		if err := b.await(ctx, e.name, func() error { return b.probe(ctx, e) }); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) memberArguments(m *member) []string {
	var peers []string
	first := true
	for _, other := range b.members {
		if other.group != m.group || other == m {
			continue
		}
		peers = append(peers, other.control.String())
		first = first && other.name > m.name
	}
	arguments := []string{
		"endpoint", "--name", m.name, "--group", b.site.groupName(m.group),
		"--data-centre", string(m.dataCentre),
		"--listen", m.statements.String(), "--control", m.control.String(),
		"--peers", strings.Join(peers, ","),
		"--slots", fmt.Sprint(b.site.Slots), "--connections", fmt.Sprint(b.site.Connections),
		"--connect", b.site.Connect.String(), "--delay", b.site.Delay.String(), "--lag", b.site.Lag.String(),
	}
	if first {
		arguments = append(arguments, "--primary")
	}
	return arguments
}

func (b *bench) startEntry(e *entry) error {
	path := filepath.Join(b.directory, e.name+".json")
	text, err := b.settings(e)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	e.process, err = startProcess(b.directory, e.name, nil, b.programs.Anviltack, "serve", path)
	return err
}

// await repeats a call until it succeeds.
func (b *bench) await(ctx context.Context, name string, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		err := call()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("demo: %s did not come up: %w", name, err)
		case <-time.After(startPause):
		}
	}
}

// stop ends every process that was started, the entry instances first.
func (b *bench) stop() error {
	var entries, others []*process
	for _, e := range b.entries {
		entries = append(entries, e.process)
	}
	for _, m := range b.members {
		others = append(others, m.process)
	}
	others = append(others, b.platform)
	return errors.Join(stopAll(entries), stopAll(others))
}

// primary returns the primary of a group once there is one.
func (b *bench) primary(group int) (*member, error) {
	var found *member
	err := b.await(context.Background(), "a primary of "+b.site.groupName(group), func() error {
		if found = b.findPrimary(group); found == nil {
			return errors.New("demo: no endpoint is primary")
		}
		return nil
	})
	return found, err
}

func (b *bench) findPrimary(group int) *member {
	var best *member
	var term uint64
	for _, m := range b.members {
		var s endpoint.Stats
		if m.group != group || !m.isAnswering() || b.get(m.control, "/stats", &s) != nil {
			continue
		}
		if s.Status.Role == core.RolePrimary && s.Status.Fence == s.Status.Term && s.Status.Term > term {
			best, term = m, s.Status.Term
		}
	}
	return best
}

// isAnswering reports whether the endpoint's control address answers.
func (m *member) isAnswering() bool { return m.process.isRunning() && !m.paused }

func (b *bench) get(a netip.AddrPort, path string, into any) error {
	response, err := b.client.Get("http://" + a.String() + path)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("demo: %s%s: %s", a, path, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// put sends a JSON body and fails unless the answer is wanted, when it is set.
func (b *bench) put(a netip.AddrPort, path string, body any, wanted string) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+a.String()+path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if response.StatusCode != http.StatusOK || wanted != "" && strings.TrimSpace(string(answer)) != wanted {
		return fmt.Errorf("demo: %s%s: %s %s", a, path, response.Status, answer)
	}
	return nil
}
