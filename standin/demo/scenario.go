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

// The scenarios. "The primary" is that of the first group.
const (
	ScenarioNone         Scenario = "none"          // no fault
	ScenarioKill         Scenario = "kill"          // kill the primary
	ScenarioPause        Scenario = "pause"         // stop the primary's process by SIGSTOP
	ScenarioFreeze       Scenario = "freeze"        // suspend the primary; its process still runs
	ScenarioCut          Scenario = "cut"           // partition the primary from its replicas
	ScenarioLag          Scenario = "lag"           // increase the lag of all replicas
	ScenarioSilence      Scenario = "silence"       // drop all messages on the primary's open connections
	ScenarioMute         Scenario = "mute"          // drop the answers on the primary's open connections
	ScenarioCross        Scenario = "cross"         // send answers on the wrong connections
	ScenarioRestart      Scenario = "restart"       // close the primary's connections and make it a replica
	ScenarioPlatformDown Scenario = "platform-down" // the platform does not answer
	ScenarioLoseAnswers  Scenario = "lose-answers"  // the platform is slow and loses answers to changes
	ScenarioKillEntry    Scenario = "kill-entry"    // kill the first instance
	ScenarioDrain        Scenario = "drain"         // drain the first instance
	ScenarioPartition    Scenario = "partition"     // partition the data centre of the primary
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
		return primaryFault(endpoint.Fault{Suspend: ptr(true)}, endpoint.Fault{Suspend: ptr(false)}), nil
	case ScenarioCut:
		return primaryFault(endpoint.Fault{AllPeersUnreachable: ptr(true)}, endpoint.Fault{AllPeersUnreachable: ptr(false)}), nil
	case ScenarioPartition:
		return fault{begin: partitionDataCentre, end: healPartition}, nil
	case ScenarioLag:
		return fault{begin: setLag(5 * time.Second), end: func(h *harness) error {
			_, err := setLag(h.site.Lag)(h)
			return err
		}}, nil
	case ScenarioSilence:
		return primaryFault(endpoint.Fault{DropMessages: ptr(true)}, endpoint.Fault{}), nil
	case ScenarioMute:
		return primaryFault(endpoint.Fault{DropAnswers: ptr(true)}, endpoint.Fault{}), nil
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
		if err := h.injectFault(m, endpoint.Fault{UnreachableDataCentres: &unreachable, UnreachablePeers: &unreachablePeers}); err != nil {
			return "", err
		}
	}
	return string(isolated), nil
}

// healPartition ends a partition.
func healPartition(h *harness) error {
	for _, m := range h.endpoints {
		if err := h.injectFault(m, endpoint.Fault{UnreachableDataCentres: &[]core.DataCentre{}, UnreachablePeers: &[]netip.AddrPort{}}); err != nil {
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

// misdirectAnswers makes every endpoint send up to misdirectRounds answers on the
// wrong connection.
func misdirectAnswers(h *harness) (string, error) {
	for range misdirectRounds {
		for _, m := range h.endpoints {
			if err := h.injectFault(m, endpoint.Fault{MisdirectNext: ptr(true)}); err != nil {
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
