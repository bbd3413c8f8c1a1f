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

// Scenario names a fault that strikes half way through a run.
type Scenario string

// The scenarios.
const (
	ScenarioNone     Scenario = "none"
	ScenarioKill     Scenario = "kill"
	ScenarioPause    Scenario = "pause"
	ScenarioFreeze   Scenario = "freeze"
	ScenarioCut      Scenario = "cut"
	ScenarioLag      Scenario = "lag"
	ScenarioSilence  Scenario = "silence"
	ScenarioMute     Scenario = "mute"
	ScenarioCross    Scenario = "cross"
	ScenarioRestart  Scenario = "restart"
	ScenarioPlatform Scenario = "platform-down"
	ScenarioLose     Scenario = "lose-answers"
	ScenarioEntry    Scenario = "kill-entry"
	ScenarioDrain    Scenario = "drain"
	ScenarioParted   Scenario = "partition"
)

// Times of the scenarios.
const (
	// healAfter is how long a fault that heals lasts.
	healAfter   = 4 * time.Second
	crossRounds = 10
	crossPause  = 100 * time.Millisecond
)

// fault is how a scenario begins and, when it heals, ends.
type fault struct {
	begin func(*bench) (string, error)
	end   func(*bench) error
}

func on[T any](v T) *T { return &v }

// strike returns a fault switch of the first group's primary that heals.
func strike(begin, end endpoint.Fault) fault {
	var struck *member
	f := fault{begin: func(b *bench) (string, error) {
		m, err := b.primary(0)
		if err != nil {
			return "", err
		}
		struck = m
		return m.name, b.put(m.control, "/fault", begin, "")
	}}
	if end != (endpoint.Fault{}) {
		f.end = func(b *bench) error { return b.put(struck.control, "/fault", end, "") }
	}
	return f
}

// strikePlatform returns a fault of the platform that heals.
func strikePlatform(begin platform.Fault) fault {
	return fault{
		begin: func(b *bench) (string, error) { return "platform", b.put(b.platformControl, "/fault", begin, "") },
		end:   func(b *bench) error { return b.put(b.platformControl, "/fault", platform.Fault{}, "") },
	}
}

// faultOf returns what a scenario does.
func faultOf(s Scenario) (fault, error) {
	switch s {
	case ScenarioNone:
		return fault{begin: func(*bench) (string, error) { return "nothing", nil }}, nil
	case ScenarioKill:
		return fault{begin: killPrimary}, nil
	case ScenarioPause:
		return pausePrimary(), nil
	case ScenarioFreeze:
		return strike(endpoint.Fault{Freeze: on(true)}, endpoint.Fault{Freeze: on(false)}), nil
	case ScenarioCut:
		return strike(endpoint.Fault{CutAll: on(true)}, endpoint.Fault{CutAll: on(false)}), nil
	case ScenarioParted:
		return fault{begin: part, end: unite}, nil
	case ScenarioLag:
		return fault{begin: lagReplicas(5 * time.Second), end: func(b *bench) error {
			_, err := lagReplicas(b.site.Lag)(b)
			return err
		}}, nil
	case ScenarioSilence:
		return strike(endpoint.Fault{Silence: on(true)}, endpoint.Fault{}), nil
	case ScenarioMute:
		return strike(endpoint.Fault{Mute: on(true)}, endpoint.Fault{}), nil
	case ScenarioCross:
		return fault{begin: crossAnswers}, nil
	case ScenarioRestart:
		return strike(endpoint.Fault{Restart: on(true)}, endpoint.Fault{}), nil
	case ScenarioPlatform:
		return strikePlatform(platform.Fault{Down: true}), nil
	case ScenarioLose:
		return strikePlatform(platform.Fault{LoseAnswers: 20, Slow: patch.Duration(200 * time.Millisecond)}), nil
	case ScenarioEntry:
		return fault{begin: func(b *bench) (string, error) { return b.entries[0].name, b.entries[0].process.kill() }}, nil
	case ScenarioDrain:
		return fault{begin: func(b *bench) (string, error) {
			return b.entries[0].name, b.entries[0].process.signal(syscall.SIGTERM)
		}}, nil
	}
	return fault{}, fmt.Errorf("demo: no scenario %q", s)
}

func killPrimary(b *bench) (string, error) {
	m, err := b.primary(0)
	if err != nil {
		return "", err
	}
	return m.name, m.process.kill()
}

// pausePrimary stops the process of the first group's primary for a while.
func pausePrimary() fault {
	var struck *member
	return fault{
		begin: func(b *bench) (string, error) {
			m, err := b.primary(0)
			if err != nil {
				return "", err
			}
			struck = m
			m.paused = true
			return m.name, m.process.signal(syscall.SIGSTOP)
		},
		end: func(*bench) error {
			struck.paused = false
			return struck.process.signal(syscall.SIGCONT)
		},
	}
}

// part cuts the data centre of the first group's primary off from the others:
// instances reach only endpoints on their own side, and so does replication.
func part(b *bench) (string, error) {
	primary, err := b.primary(0)
	if err != nil {
		return "", err
	}
	alone := primary.dataCentre
	var others []core.DataCentre
	for _, d := range b.site.DataCentres {
		if d != alone {
			others = append(others, d)
		}
	}
	for _, m := range b.members {
		away := others
		if m.dataCentre != alone {
			away = []core.DataCentre{alone}
		}
		var cut []netip.AddrPort
		for _, other := range b.members {
			if slices.Contains(away, other.dataCentre) {
				cut = append(cut, other.control)
			}
		}
		if err := b.strikeMember(m, endpoint.Fault{Away: &away, Cut: &cut}); err != nil {
			return "", err
		}
	}
	return string(alone), nil
}

// unite ends a partition.
func unite(b *bench) error {
	for _, m := range b.members {
		if err := b.strikeMember(m, endpoint.Fault{Away: &[]core.DataCentre{}, Cut: &[]netip.AddrPort{}}); err != nil {
			return err
		}
	}
	return nil
}

// strikeMember turns a fault switch of an endpoint that answers.
func (b *bench) strikeMember(m *member, f endpoint.Fault) error {
	if !m.isAnswering() {
		return nil
	}
	return b.put(m.control, "/fault", f, "")
}

// crossAnswers crosses answers of every endpoint that answers, again and again.
func crossAnswers(b *bench) (string, error) {
	for range crossRounds {
		for _, m := range b.members {
			if err := b.strikeMember(m, endpoint.Fault{CrossNext: on(true)}); err != nil {
				return "", err
			}
		}
		time.Sleep(crossPause)
	}
	return "every endpoint", nil
}

// lagReplicas sets the lag of every endpoint that answers.
func lagReplicas(lag time.Duration) func(*bench) (string, error) {
	return func(b *bench) (string, error) {
		for _, m := range b.members {
			if err := b.strikeMember(m, endpoint.Fault{Lag: on(patch.Duration(lag))}); err != nil {
				return "", err
			}
		}
		return "every replica", nil
	}
}

// play runs the scenarios one after another from their time on and says so.
func (b *bench) play(scenarios []Scenario, wait func(time.Duration) bool, out io.Writer) error {
	var healing []fault
	for _, s := range scenarios {
		f, err := faultOf(s)
		if err != nil {
			return err
		}
		name, err := f.begin(b)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "fault               %s: %s\n", s, name)
		if f.end != nil {
			healing = append(healing, f)
		}
	}
	if len(healing) == 0 || !wait(healAfter) {
		return nil
	}
	for _, f := range slices.Backward(healing) {
		if err := f.end(b); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "healed              after %s\n", healAfter)
	return nil
}

// controls returns the control addresses of the members of a group.
func (b *bench) controls(group int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range b.members {
		if m.group == group {
			out = append(out, m.control)
		}
	}
	return out
}
