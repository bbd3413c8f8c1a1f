package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"anviltack/core"
)

const (
	// openingTime is how long the simulated endpoint takes to open a connection.
	openingTime = 12 * time.Millisecond
	// simulationStep is the time between two steps of the simulation.
	simulationStep = time.Millisecond
	// turnedAwayPause is how long no connection more is asked for after one was turned away.
	turnedAwayPause = 300 * time.Millisecond
)

// mixLoad is the load of a simulated endpoint.
type mixLoad struct {
	// rates are those of the organisations in statements a second; a single one has no name.
	rates []float64
	// once sends one statement of each organisation at the start instead.
	once        bool
	connections int
	// accepted is how many connections the endpoint accepts in the first seconds; zero stands
	// for as many as are asked for.
	accepted int
	inFlight int
	// service is how long a statement runs.
	service  time.Duration
	duration time.Duration
}

// simulatedStatement is a statement or an opening at the simulated endpoint.
type simulatedStatement struct {
	Waiting
	arrived time.Time
	// conn is the connection on which it runs, zero for an opening, and endsAt when it ends.
	conn   uint64
	endsAt time.Time
}

// mixSimulation drives a Mix with a queue in the order of arrival.
type mixSimulation struct {
	mix     *Mix
	load    mixLoad
	random  *rand.Rand
	now     time.Time
	queue   []simulatedStatement
	running []simulatedStatement
	// owners are the organisations of the established connections; used are those in use.
	owners map[uint64]core.Organisation
	used   map[uint64]bool
	lastID uint64

	// mayOpenAt is when connections may be opened after the endpoint turned one away.
	mayOpenAt time.Time

	served, opened, replaced int
	waits                    map[core.Organisation][]time.Duration
	fault                    string
}

func newMixSimulation(l mixLoad) *mixSimulation {
	s := &mixSimulation{
		mix: NewMix(), load: l, random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0),
		owners: map[uint64]core.Organisation{}, used: map[uint64]bool{}, waits: map[core.Organisation][]time.Duration{},
	}
	s.mix.SetLimits(s.now, l.connections, l.inFlight)
	return s
}

func organisationName(n, of int) core.Organisation {
	if of == 1 {
		return ""
	}
	return core.Organisation(fmt.Sprintf("o%02d", n))
}

// run runs the simulation, then without arrivals until nothing waits.
func (s *mixSimulation) run() {
	for end := s.now.Add(s.load.duration); s.now.Before(end) || len(s.queue)+len(s.running) > 0; s.now = s.now.Add(simulationStep) {
		for n, rate := range s.load.rates {
			if s.load.once && s.lastID < uint64(len(s.load.rates)) || !s.load.once && s.now.Before(end) && s.random.Float64() < rate*simulationStep.Seconds() {
				s.arrive(organisationName(n, len(s.load.rates)))
			}
		}
		s.end()
		s.dispatch()
		if s.now.After(end.Add(time.Minute)) {
			s.fault = "statements wait for ever"
			return
		}
	}
}

func (s *mixSimulation) arrive(o core.Organisation) {
	s.lastID++
	w := simulatedStatement{Waiting: Waiting{ID: s.lastID, Organisation: o, Deadline: s.now}, arrived: s.now}
	s.queue = append(s.queue, w)
	s.mix.Wait(w.Waiting)
}

// end ends the statements and openings whose time is over.
func (s *mixSimulation) end() {
	s.running = slices.DeleteFunc(s.running, func(r simulatedStatement) bool {
		if s.now.Before(r.endsAt) {
			return false
		}
		if r.conn == 0 && s.turnsAway() {
			s.mix.OpeningFailed(r.Organisation)
			s.mix.TurnedAway()
			s.mayOpenAt = s.now.Add(turnedAwayPause)
			return true
		}
		if r.conn == 0 {
			s.mix.Opened(r.Organisation)
			s.opened++
			r.conn = uint64(s.opened)
			s.owners[r.conn] = r.Organisation
		} else {
			s.mix.End()
			delete(s.used, r.conn)
		}
		s.mix.AddIdle(s.now, r.conn, r.Organisation)
		return true
	})
}

// turnsAway reports whether the endpoint accepts no more connections.
func (s *mixSimulation) turnsAway() bool {
	return s.load.accepted > 0 && len(s.owners) >= s.load.accepted
}

func (s *mixSimulation) dispatch() {
	none := func(uint64) bool { return false }
	for {
		open, opening := s.mix.Open, s.mix.Opening
		step := s.mix.Next(s.now, !s.now.Before(s.mayOpenAt), none)
		if want := s.stepOfOne(open, opening); len(s.load.rates) == 1 && step.Kind != want {
			s.fault = fmt.Sprintf("%q instead of %q", step.Kind, want)
			return
		}
		switch step.Kind {
		case StepRun:
			s.runFirst(step.IsUsable)
		case StepOpen:
			s.running = append(s.running, simulatedStatement{Waiting: Waiting{Organisation: step.Organisation}, endsAt: s.now.Add(openingTime)})
		case StepReplace:
			s.replaced++
			s.close(step.Connection)
			s.running = append(s.running, simulatedStatement{Waiting: Waiting{Organisation: step.Organisation}, endsAt: s.now.Add(openingTime)})
		case StepNone:
			s.closeUnused(none)
			return
		}
		s.check()
	}
}

// stepOfOne returns the step that serves the waiting statements of one organisation: any
// idle connection serves any of them, and otherwise one is opened for each.
func (s *mixSimulation) stepOfOne(open, opening int) StepKind {
	l := s.load
	switch idle := open - opening - len(s.used); {
	case len(s.queue) > 0 && idle > 0 && s.mix.InFlight < l.inFlight:
		return StepRun
	case idle == 0 && len(s.queue) > opening && s.mix.InFlight+opening < l.inFlight && open < l.connections:
		return StepOpen
	default:
		return StepNone
	}
}

func (s *mixSimulation) closeUnused(none func(uint64) bool) {
	for id, ok := s.mix.Unused(s.now, none); ok; id, ok = s.mix.Unused(s.now, none) {
		s.close(id)
	}
}

func (s *mixSimulation) runFirst(usable func(core.Organisation) bool) {
	i := slices.IndexFunc(s.queue, func(w simulatedStatement) bool { return usable(w.Organisation) })
	w := s.queue[i]
	s.queue = slices.Delete(s.queue, i, i+1)
	s.mix.StopWaiting(w.ID)
	w.conn, _ = s.mix.Newest(w.Organisation)
	if s.used[w.conn] || s.owners[w.conn] != w.Organisation {
		s.fault = fmt.Sprintf("connection %d of %q is not free for %q", w.conn, s.owners[w.conn], w.Organisation)
	}
	s.used[w.conn] = true
	s.mix.Take(w.conn)
	s.mix.Run(s.now, w.Organisation)
	w.endsAt = s.now.Add(s.load.service)
	s.running = append(s.running, w)
	s.served++
	s.waits[w.Organisation] = append(s.waits[w.Organisation], s.now.Sub(w.arrived))
}

func (s *mixSimulation) close(id uint64) {
	if s.used[id] {
		s.fault = fmt.Sprintf("connection %d is closed in use", id)
	}
	s.mix.Take(id)
	s.mix.Closed(s.owners[id])
	delete(s.owners, id)
}

func (s *mixSimulation) check() {
	if s.mix.Open > s.load.connections || s.mix.Open != len(s.owners)+s.mix.Opening {
		s.fault = fmt.Sprintf("%d connections counted, %d established", s.mix.Open, len(s.owners))
	}
	if len(s.running) > s.load.inFlight+s.mix.Opening || s.mix.InFlight > s.load.inFlight || s.mix.Opening > s.load.inFlight {
		s.fault = fmt.Sprintf("%d statements and %d openings in flight", s.mix.InFlight, s.mix.Opening)
	}
}

// wait returns the quantile of the waits of the organisations from the first on.
func (s *mixSimulation) wait(first, last int, quantile float64) time.Duration {
	var all []time.Duration
	for n := first; n < last; n++ {
		all = append(all, s.waits[organisationName(n, len(s.load.rates))]...)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(quantile*float64(len(all)-1))]
}

// TestMix runs the loads in testdata/mix against a Mix: organisations, of which the first
// large ones share a part of the statements, and which send for some seconds.
func TestMix(t *testing.T) {
	datadriven.RunTest(t, "testdata/mix", func(t *testing.T, d *datadriven.TestData) string {
		var organisations, large, share, perSecond, times, seconds, ms int
		var l mixLoad
		scan := func(name string, to *int) { d.MaybeScanArgs(t, name, to) }
		scan("organisations", &organisations)
		scan("large", &large)
		scan("share", &share)
		scan("rate", &perSecond)
		scan("tenths", &times)
		scan("seconds", &seconds)
		scan("connections", &l.connections)
		scan("accepted", &l.accepted)
		scan("inflight", &l.inFlight)
		scan("ms", &ms)
		l.service, l.duration, l.once = time.Duration(ms)*time.Millisecond, time.Duration(seconds)*time.Second, d.HasArg("once")
		for n := range organisations {
			rate := float64(perSecond*(100-share)) / 100 / float64(max(1, organisations-large))
			if n < large {
				rate = float64(perSecond*share) / 100 / float64(large)
			}
			if n == 0 && times > 0 {
				rate *= float64(times) / 10
			}
			l.rates = append(l.rates, rate)
		}
		s := newMixSimulation(l)
		s.run()
		if s.fault != "" {
			t.Fatal(s.fault)
		}
		var out strings.Builder
		fmt.Fprintf(&out, "served %d opened %d replaced %d open at the end %d\n", s.served, s.opened, s.replaced, s.mix.Open)
		for _, part := range []struct {
			name        string
			first, last int
		}{{"large", 0, large}, {"small", large, organisations}} {
			if part.first < part.last {
				fmt.Fprintf(&out, "%s wait %v, worst %v\n", part.name, s.wait(part.first, part.last, 0.5), s.wait(part.first, part.last, 1))
			}
		}
		return out.String()
	})
}

// TestMixProperties checks for any load that the limits hold, that no connection is used
// twice at once and that every statement runs, in any mix of organisations.
func TestMixProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := mixLoad{
			connections: rapid.IntRange(1, 6).Draw(t, "connections"), inFlight: rapid.IntRange(1, 5).Draw(t, "inFlight"),
			service:  time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond,
			duration: 300 * time.Millisecond, once: rapid.Bool().Draw(t, "once"),
			rates: rapid.SliceOfN(rapid.Float64Range(0, 60), 1, 12).Draw(t, "rates"),
		}
		s := newMixSimulation(l)
		s.run()
		if s.fault != "" {
			t.Fatal(s.fault)
		}
		// Everything waits at most for a place and an opening for each statement before it.
		bound := time.Duration(s.served+1) * 2 * (l.service + openingTime + simulationStep)
		if worst := s.wait(0, len(l.rates), 1); worst > bound {
			t.Fatalf("a statement waited %v, above %v", worst, bound)
		}
	})
}

// TestMixKeepsUptimeProof checks that the last idle connection which proves the uptime is
// closed neither for room nor for its age while another one is idle.
func TestMixKeepsUptimeProof(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	m := NewMix()
	m.SetLimits(start, 2, 2)
	for id, o := range []core.Organisation{"a", "b"} {
		m.Reserve(o)
		m.AddIdle(start, uint64(id+1), o)
	}
	proves := func(id uint64) bool { return id == 1 }
	m.Wait(Waiting{ID: 1, Organisation: "c"})
	is.Equal(m.Next(start, true, proves), Step{Kind: StepReplace, Organisation: "c", Connection: 2})
	id, ok := m.Unused(start.Add(idleTimeout), proves)
	is.True(!ok && id == 0) // 1 was renewed, 2 follows
	id, ok = m.Unused(start.Add(idleTimeout), proves)
	is.True(ok && id == 2)
	m.Take(2)
	m.Closed("b")
	m.OpeningFailed("c")
	_, ok = m.Unused(start.Add(3*idleTimeout), proves)
	is.True(!ok) // the last one stays
}

// TestMixOpeningsLeaveAPlace checks that openings which last leave a place to statements
// that have an idle connection, also where only one is in flight.
func TestMixOpeningsLeaveAPlace(t *testing.T) {
	for _, inFlight := range []int{1, 2, 5} {
		is := is.New(t)
		start, none := time.Unix(1000, 0), func(uint64) bool { return false }
		m := NewMix()
		m.SetLimits(start, 13, inFlight)
		m.Reserve("y")
		m.AddIdle(start, 1, "y")
		for n := range inFlight {
			m.Wait(Waiting{ID: uint64(n + 1), Organisation: core.Organisation(fmt.Sprint("o", n))})
			is.Equal(m.Next(start, true, none).Kind, StepOpen)
		}
		m.Wait(Waiting{ID: 100, Organisation: "y"})
		is.Equal(m.Next(start, true, none).Kind, StepRun)
		m.Take(1)
		m.Run(start, "y")
		m.StopWaiting(100)
		m.Reserve("y")
		m.AddIdle(start, 2, "y")
		m.Wait(Waiting{ID: 101, Organisation: "y"})
		is.Equal(m.Next(start, true, none).Kind, StepNone) // only one
	}
}

// TestMixLosesOneConnection checks that no second idle connection is closed for openings
// before one succeeded, and that its failure leaves no place to a statement.
func TestMixLosesOneConnection(t *testing.T) {
	is := is.New(t)
	start, none := time.Unix(1000, 0), func(uint64) bool { return false }
	m := NewMix()
	m.SetLimits(start, 3, 3)
	for id := range uint64(3) {
		m.Reserve("y")
		m.AddIdle(start, id+1, "y")
	}
	for id, o := range []core.Organisation{"a", "b"} {
		m.Wait(Waiting{ID: uint64(id + 1), Organisation: o})
	}
	is.Equal(m.Next(start, true, none), Step{Kind: StepReplace, Organisation: "a", Connection: 1})
	m.Take(1)
	m.Closed("y")
	is.Equal(m.Next(start, true, none), Step{}) // b waits
	m.OpeningFailed("a")
	is.Equal(m.Next(start, true, none).Kind, StepOpen) // of one of them, in the room left
	is.Equal(m.Next(start, true, none), Step{})
	m.Opened("a")
	m.AddIdle(start, 4, "a")
	is.Equal(m.Next(start, true, none).Kind, StepRun)
	m.Take(4)
	m.Run(start, "a")
	m.StopWaiting(1)
	is.Equal(m.Next(start, true, none).Kind, StepReplace)
}

// TestMixKeepsNeeded checks that no idle connection is closed of an organisation with a
// statement which would have to open it again before the one that needs the room, and that
// an organisation with several gives way to one with none.
func TestMixKeepsNeeded(t *testing.T) {
	for _, c := range []struct {
		connections, priority int
		want                  StepKind
	}{
		{1, 0, StepRun},     // of y, more urgent
		{1, 1, StepReplace}, // y has one, z none
		{2, 1, StepReplace},
		{1, 2, StepReplace},
	} {
		is := is.New(t)
		start, none := time.Unix(1000, 0), func(uint64) bool { return false }
		m := NewMix()
		m.SetLimits(start, c.connections, 1)
		for id := range c.connections {
			m.Reserve("y")
			m.AddIdle(start, uint64(id+1), "y")
		}
		m.ranLast = true
		m.Wait(Waiting{ID: 1, Organisation: "y", Priority: c.priority})
		m.Wait(Waiting{ID: 2, Organisation: "z", Priority: 1})
		step := m.Next(start, true, none)
		is.Equal(step.Kind, c.want)
		if step.Kind == StepReplace {
			is.Equal(step.Organisation, core.Organisation("z")) // opened in the same step
			is.Equal(m.Opening, 1)
		}
	}
}

// TestMixForgets checks that an unused organisation is forgotten when the limits change, and
// that nothing is looked up if they don't.
func TestMixForgets(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	m := NewMix()
	m.SetLimits(start, 3, 3)
	m.Reserve("a")
	m.Closed("a")
	m.SetLimits(start, 3, 3)
	is.Equal(len(m.organisations), 1)
	m.SetLimits(start, 4, 3)
	is.Equal(len(m.organisations), 0)
}

// BenchmarkMixFull measures Next while statements of many organisations wait for a place.
func BenchmarkMixFull(b *testing.B) {
	for _, waiting := range []int{0, 20, 200} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			start, none := time.Unix(1000, 0), func(uint64) bool { return false }
			m := NewMix()
			m.SetLimits(start, 13, 2)
			m.Reserve("o00")
			m.Run(start, "o00")
			m.Reserve("o01")
			m.Run(start, "o01")
			for n := range waiting {
				m.Wait(Waiting{ID: uint64(n + 1), Organisation: organisationName(n%84, 84)})
			}
			b.ReportAllocs()
			for b.Loop() {
				m.Next(start, true, none)
			}
		})
	}
}
