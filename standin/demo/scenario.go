package demo

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/standin/endpoint"
	"anviltack/standin/platform"
)

// Scenario is the name of a fault that is injected half way through a run.
type Scenario string

// The scenarios.
const (
	ScenarioNone         Scenario = "none"
	ScenarioKill         Scenario = "kill"
	ScenarioPause        Scenario = "pause"
	ScenarioFreeze       Scenario = "freeze"
	ScenarioCut          Scenario = "cut"
	ScenarioLag          Scenario = "lag"
	ScenarioSilence      Scenario = "silence"
	ScenarioMute         Scenario = "mute"
	ScenarioCross        Scenario = "cross"
	ScenarioRestart      Scenario = "restart"
	ScenarioPlatformDown Scenario = "platform-down"
	ScenarioLoseAnswers  Scenario = "lose-answers"
	ScenarioKillEntry    Scenario = "kill-entry"
	ScenarioDrain        Scenario = "drain"
	ScenarioPartition    Scenario = "partition"
)

// Durations and counts of the scenarios.
const (
	// faultDuration is how long a fault that recovers lasts.
	faultDuration     = 4 * time.Second
	misdirectRounds   = 10
	misdirectInterval = 100 * time.Millisecond
)

// fault injects a fault and, if it recovers, ends it.
type fault struct {
	begin func(*harness) (string, error)
	end   func(*harness) error
}

func ptr[T any](v T) *T { return &v }

// primaryFault returns a fault that is injected into the first group's primary;
// a zero end means that it does not recover.
func primaryFault(begin, end endpoint.Fault) fault {
	var target *endpointProcess
	f := fault{begin: func(h *harness) (string, error) {
		m, err := h.primary(0)
		if err != nil {
			return "", err
		}
		target = m
		return m.name, h.put(m.controlAddress, "/fault", begin, "")
	}}
	if end != (endpoint.Fault{}) {
		f.end = func(h *harness) error { return h.put(target.controlAddress, "/fault", end, "") }
	}
	return f
}

// platformFault returns a fault of the platform that recovers.
func platformFault(begin platform.Fault) fault {
	return fault{
		begin: func(h *harness) (string, error) {
			return "platform", h.put(h.platformControlAddress, "/fault", begin, "")
		},
		end: func(h *harness) error { return h.put(h.platformControlAddress, "/fault", platform.Fault{}, "") },
	}
}

// faultFor returns the fault of a scenario.
func faultFor(s Scenario) (fault, error) {
	switch s {
	case ScenarioNone:
		return fault{begin: func(*harness) (string, error) { return "nothing", nil }}, nil
	case ScenarioKill:
		return fault{begin: killPrimary}, nil
	case ScenarioPause:
		return suspendPrimary(), nil
	case ScenarioFreeze:
		return primaryFault(endpoint.Fault{Freeze: ptr(true)}, endpoint.Fault{Freeze: ptr(false)}), nil
	case ScenarioCut:
		return primaryFault(endpoint.Fault{CutAll: ptr(true)}, endpoint.Fault{CutAll: ptr(false)}), nil
	case ScenarioPartition:
		return fault{begin: partitionDataCentre, end: healPartition}, nil
	case ScenarioLag:
		return fault{begin: setLag(5 * time.Second), end: func(h *harness) error {
			_, err := setLag(h.site.Lag)(h)
			return err
		}}, nil
	case ScenarioSilence:
		return primaryFault(endpoint.Fault{Silence: ptr(true)}, endpoint.Fault{}), nil
	case ScenarioMute:
		return primaryFault(endpoint.Fault{Mute: ptr(true)}, endpoint.Fault{}), nil
	case ScenarioCross:
		return fault{begin: misdirectAnswers}, nil
	case ScenarioRestart:
		return primaryFault(endpoint.Fault{Restart: ptr(true)}, endpoint.Fault{}), nil
	case ScenarioPlatformDown:
		return platformFault(platform.Fault{Down: true}), nil
	case ScenarioLoseAnswers:
		return platformFault(platform.Fault{LoseAnswers: 20, Slow: patch.Duration(200 * time.Millisecond)}), nil
	case ScenarioKillEntry:
		return fault{begin: func(h *harness) (string, error) { return h.instances[0].name, h.instances[0].process.kill() }}, nil
	case ScenarioDrain:
		return fault{begin: func(h *harness) (string, error) {
			return h.instances[0].name, h.instances[0].process.signal(syscall.SIGTERM)
		}}, nil
	}
	return fault{}, fmt.Errorf("demo: unknown scenario %q", s)
}

func killPrimary(h *harness) (string, error) {
	m, err := h.primary(0)
	if err != nil {
		return "", err
	}
	return m.name, m.process.kill()
}

// suspendPrimary returns a fault that suspends the process of the first group's
// primary.
func suspendPrimary() fault {
	var target *endpointProcess
	return fault{
		begin: func(h *harness) (string, error) {
			m, err := h.primary(0)
			if err != nil {
				return "", err
			}
			target = m
			m.suspended = true
			return m.name, m.process.signal(syscall.SIGSTOP)
		},
		end: func(*harness) error {
			target.suspended = false
			return target.process.signal(syscall.SIGCONT)
		},
	}
}

// partitionDataCentre partitions the data centre of the first group's primary
// from the others: neither instances nor replication reach endpoints on the
// other side.
func partitionDataCentre(h *harness) (string, error) {
	primary, err := h.primary(0)
	if err != nil {
		return "", err
	}
	isolated := primary.dataCentre
	var others []core.DataCentre
	for _, d := range h.site.DataCentres {
		if d != isolated {
			others = append(others, d)
		}
	}
	for _, m := range h.endpoints {
		unreachable := others
		if m.dataCentre != isolated {
			unreachable = []core.DataCentre{isolated}
		}
		var unreachablePeers []netip.AddrPort
		for _, other := range h.endpoints {
			if slices.Contains(unreachable, other.dataCentre) {
				unreachablePeers = append(unreachablePeers, other.controlAddress)
			}
		}
		if err := h.injectFault(m, endpoint.Fault{Away: &unreachable, Cut: &unreachablePeers}); err != nil {
			return "", err
		}
	}
	return string(isolated), nil
}

// healPartition ends a partition.
func healPartition(h *harness) error {
	for _, m := range h.endpoints {
		if err := h.injectFault(m, endpoint.Fault{Away: &[]core.DataCentre{}, Cut: &[]netip.AddrPort{}}); err != nil {
			return err
		}
	}
	return nil
}

// injectFault injects a fault into an endpoint; one that does not answer is
// skipped.
func (h *harness) injectFault(m *endpointProcess, f endpoint.Fault) error {
	if !m.isAnswering() {
		return nil
	}
	return h.put(m.controlAddress, "/fault", f, "")
}

// misdirectAnswers makes every endpoint send answers on the wrong connection,
// misdirectRounds times.
func misdirectAnswers(h *harness) (string, error) {
	for range misdirectRounds {
		for _, m := range h.endpoints {
			if err := h.injectFault(m, endpoint.Fault{CrossNext: ptr(true)}); err != nil {
				return "", err
			}
		}
		time.Sleep(misdirectInterval)
	}
	return "every endpoint", nil
}

// setLag returns a function that sets the lag of every endpoint.
func setLag(lag time.Duration) func(*harness) (string, error) {
	return func(h *harness) (string, error) {
		for _, m := range h.endpoints {
			if err := h.injectFault(m, endpoint.Fault{Lag: ptr(patch.Duration(lag))}); err != nil {
				return "", err
			}
		}
		return "every replica", nil
	}
}

// injectFaults injects the faults of the scenarios in order, ends those that
// recover after faultDuration, and prints both.
func (h *harness) injectFaults(scenarios []Scenario, wait func(time.Duration) bool, out io.Writer) error {
	var recoverable []fault
	for _, s := range scenarios {
		f, err := faultFor(s)
		if err != nil {
			return err
		}
		name, err := f.begin(h)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "fault               %s: %s\n", s, name)
		if f.end != nil {
			recoverable = append(recoverable, f)
		}
	}
	if len(recoverable) == 0 || !wait(faultDuration) {
		return nil
	}
	for _, f := range slices.Backward(recoverable) {
		if err := f.end(h); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "healed              after %s\n", faultDuration)
	return nil
}

// controlAddresses returns the control addresses of the members of a group.
func (h *harness) controlAddresses(group int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range h.endpoints {
		if m.group == group {
			out = append(out, m.controlAddress)
		}
	}
	return out
}
