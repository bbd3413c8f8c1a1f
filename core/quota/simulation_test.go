package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"anviltack/core"
)

const (
	simSilence    = 3650 * time.Millisecond
	simLease      = 9 * time.Second
	simSlack      = 20
	simAskTimeout = 100 * time.Millisecond
	simMaxWait    = 150 * time.Millisecond
)

// simEvent is a step of a node; it waits while the node is suspended and is dropped if the
// process has ended. A nil node stands for the world.
type simEvent struct {
	at      time.Time
	order   int
	node    *simNode
	process int
	run     func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(v any)   { *e = append(*e, v.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simNode is an instance.
type simNode struct {
	self           Instance
	process        int
	dead, left     bool
	suspendedUntil time.Time
	// storeCut is set if the store does not answer the instance, alone if it reaches no
	// other instance either.
	storeCut, alone bool
	roster          *Roster
	ledger          *Ledger
	stocks          map[core.Organisation]*Stock
	avoid           map[core.Instance]time.Time
	waiting         map[core.Organisation][]*simOperation
	registered      bool
}

// simOperation is an operation that waits for a token.
type simOperation struct{ arrivedAt time.Time }

// simulation is a fleet with a store, in virtual time.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	events  simEvents
	order   int
	nodes   map[core.Instance]*simNode
	centres []core.DataCentre
	limits  map[core.Organisation]Limit
	// renewed is when each entry of the store was last renewed.
	renewed   map[core.Instance]time.Time
	storeDown bool
	// cutCentre is partitioned from the others and from the store.
	cutCentre core.DataCentre
	// ran holds when operations ran; asked, served and refused count them.
	ran           map[core.Organisation][]time.Time
	asked, served map[core.Organisation]int
	asks, farAsks int
	// within counts the operations that one bucket with the whole limit would permit.
	within map[core.Organisation]int
	ideal  map[core.Organisation]*bucket
}

func newSimulation(seed uint64, centres, nodes int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), nodes: map[core.Instance]*simNode{},
		limits: map[core.Organisation]Limit{}, renewed: map[core.Instance]time.Time{},
		ran: map[core.Organisation][]time.Time{}, asked: map[core.Organisation]int{}, served: map[core.Organisation]int{},
		within: map[core.Organisation]int{}, ideal: map[core.Organisation]*bucket{},
	}
	for c := range centres {
		s.centres = append(s.centres, core.DataCentre(fmt.Sprint("dc", c)))
	}
	for n := range nodes {
		s.join(fmt.Sprint("i", n), s.centres[n%centres])
	}
	return s
}

func (s *simulation) at(n *simNode, delay time.Duration, run func()) {
	s.order++
	e := simEvent{at: s.now.Add(delay), order: s.order, node: n, run: run}
	if n != nil {
		e.process = n.process
	}
	heap.Push(&s.events, e)
}

// play runs the simulation for a while.
func (s *simulation) play(d time.Duration) {
	for end := s.now.Add(d); ; {
		if len(s.events) == 0 || s.events[0].at.After(end) {
			s.now = end
			return
		}
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		if n := e.node; n != nil {
			if n.dead || n.process != e.process {
				continue
			}
			if s.now.Before(n.suspendedUntil) {
				e.at = n.suspendedUntil
				heap.Push(&s.events, e)
				continue
			}
		}
		e.run()
	}
}

// join starts an instance that was not there before.
func (s *simulation) join(name string, centre core.DataCentre) *simNode {
	n := &simNode{self: Instance{Name: core.Instance(name), DataCentre: centre}}
	s.nodes[n.self.Name] = n
	s.start(n, 0)
	return n
}

// start starts the process of an instance after a delay; an earlier one has ended.
func (s *simulation) start(n *simNode, delay time.Duration) {
	n.process++
	n.dead = false
	n.roster = NewRoster(n.self, s.centres, simSilence)
	n.ledger = NewLedger(n.roster, simSlack)
	n.stocks, n.avoid, n.waiting, n.registered = map[core.Organisation]*Stock{}, map[core.Instance]time.Time{}, map[core.Organisation][]*simOperation{}, false
	s.at(n, delay+s.jitter(300*time.Millisecond), func() { s.follow(n) })
	s.at(n, delay+s.jitter(500*time.Millisecond), func() { s.renew(n) })
	s.at(n, delay, func() { s.tick(n) })
	s.at(n, delay, func() { s.announce(n) })
}

func (s *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *simulation) reachesStore(n *simNode) bool {
	return !s.storeDown && !n.storeCut && !n.alone && n.self.DataCentre != s.cutCentre
}

func (s *simulation) reach(a, b *simNode) bool {
	if a == b {
		return true
	}
	return !b.dead && !a.alone && !b.alone && (a.self.DataCentre == s.cutCentre) == (b.self.DataCentre == s.cutCentre)
}

// renew renews the entry of an instance.
func (s *simulation) renew(n *simNode) {
	if s.reachesStore(n) {
		if at, ok := s.renewed[n.self.Name]; !n.registered && ok && s.now.Sub(at) < simLease {
			n.roster.Resume()
		}
		n.registered = true
		s.renewed[n.self.Name] = s.now
	}
	s.at(n, 3*time.Second, func() { s.renew(n) })
}

// listed returns the entries of the store.
func (s *simulation) listed() []Instance {
	var list []Instance
	for name, at := range s.renewed {
		if s.storeDown || s.now.Sub(at) < simLease {
			list = append(list, s.nodes[name].self)
		}
	}
	return list
}

// follow reads the list, by itself or through another instance.
func (s *simulation) follow(n *simNode) {
	reaches := s.reachesStore(n)
	for _, o := range s.nodes {
		reaches = reaches || s.reach(n, o) && s.reachesStore(o)
	}
	delay := 300*time.Millisecond + s.jitter(time.Second)
	if reaches {
		list := s.listed()
		n.roster.Hear(s.now)
		n.roster.Observe(s.now, list, slices.Contains(list, n.self))
		if s.random.IntN(4) == 0 {
			delay = simSilence - s.jitter(time.Second)
		}
	}
	s.at(n, delay, func() { s.follow(n) })
}

// tick does what an instance does every second.
func (s *simulation) tick(n *simNode) {
	n.ledger.Tick(s.now, func(o core.Organisation) Limit { return s.limits[o] })
	if near := n.roster.Neighbours(); len(near) > 0 && n.roster.IsQuiet(s.now) {
		s.contact(n, s.nodes[near[s.random.IntN(len(near))]], func() {}, func() {})
	}
	s.at(n, ContactInterval, func() { s.tick(n) })
}

// announce makes an instance that is missing in the list known to its neighbours.
func (s *simulation) announce(n *simNode) {
	if n.roster.IsMissing() {
		for _, i := range n.roster.Neighbours() {
			to := s.nodes[i]
			s.contact(n, to, func() { to.roster.Meet(s.now, n.self) }, func() {})
		}
	}
	s.at(n, AnnounceInterval, func() { s.announce(n) })
}

// contact sends a message that a node handles, and handles the answer.
func (s *simulation) contact(from, to *simNode, handle, answered func()) {
	sentAt := s.now
	s.asks++
	if from.self.DataCentre != to.self.DataCentre {
		s.farAsks++
	}
	delay := time.Millisecond + s.jitter(time.Millisecond)
	if from.self.DataCentre != to.self.DataCentre {
		delay += 2 * time.Millisecond
	}
	s.at(nil, delay, func() {
		if !s.reach(from, to) {
			return
		}
		s.at(to, 0, func() {
			handle()
			sign := to.roster.Sign(s.now)
			s.at(from, delay, func() {
				if s.reach(to, from) && s.now.Sub(sentAt) < simAskTimeout {
					from.roster.Contact(sentAt, to.self.Name, sign)
					answered()
				}
			})
		})
	})
}

// operate lets an operation arrive at an instance.
func (s *simulation) operate(n *simNode, o core.Organisation) {
	s.asked[o]++
	if s.ideal[o] == nil {
		s.ideal[o] = &bucket{rate: s.limits[o].Rate, burst: s.limits[o].Burst, tokens: s.limits[o].Burst, at: s.now}
	}
	s.within[o] += s.ideal[o].take(s.now, 1)
	if n.dead || s.now.Before(n.suspendedUntil) {
		return
	}
	st := s.stock(n, o)
	st.Arrive(s.now)
	s.wait(n, o)
	if st.IsLow(s.now) {
		s.ask(n, o)
	}
}

// wait lets an operation wait for a token.
func (s *simulation) wait(n *simNode, o core.Organisation) {
	s.stock(n, o).Wait(1)
	n.waiting[o] = append(n.waiting[o], &simOperation{arrivedAt: s.now})
	s.serve(n, o)
}

func (s *simulation) stock(n *simNode, o core.Organisation) *Stock {
	if n.stocks[o] == nil {
		n.stocks[o] = NewStock(o)
	}
	return n.stocks[o]
}

// serve serves or refuses the operations that wait for tokens.
func (s *simulation) serve(n *simNode, o core.Organisation) {
	st := s.stock(n, o)
	for len(n.waiting[o]) > 0 {
		t, ok := st.Take(s.now)
		if ok {
			n.waiting[o] = n.waiting[o][1:]
			st.Wait(-1)
			// The operation queues for an endpoint; the token is checked before it is sent.
			s.at(n, s.jitter(50*time.Millisecond), func() { s.send(n, o, t) })
			continue
		}
		if s.ask(n, o) {
			continue
		}
		wait, pending := st.Pending(s.now)
		if !pending || s.now.Sub(n.waiting[o][0].arrivedAt) >= simMaxWait {
			n.waiting[o] = n.waiting[o][1:]
			st.Wait(-1)
			continue
		}
		s.at(n, max(wait, time.Millisecond), func() { s.serve(n, o) })
		return
	}
}

func (s *simulation) send(n *simNode, o core.Organisation, t Token) {
	if t.IsValid(s.now) {
		s.served[o]++
		s.ran[o] = append(s.ran[o], s.now)
		return
	}
	s.wait(n, o)
}

// ask asks the next owner, and reports whether there was one.
func (s *simulation) ask(n *simNode, o core.Organisation) bool {
	st, limit := s.stock(n, o), s.limits[o]
	a, ok := st.Next(s.now, n.roster.Order(o, n.roster.Slots(limit)), func(i core.Instance) bool { return !s.now.Before(n.avoid[i]) }, limit)
	if !ok {
		return false
	}
	if a.Owner.Name == n.self.Name {
		st.Answer(s.now, a, n.ledger.Grant(s.now, n.self.Name, a.Request, limit), limit)
		return true
	}
	owner, done := s.nodes[a.Owner.Name], false
	var reply Reply
	s.contact(n, owner, func() { reply = owner.ledger.Grant(s.now, n.self.Name, a.Request, s.limits[o]) }, func() {
		done = true
		st.Answer(s.now, a, reply, limit)
		s.serve(n, o)
	})
	s.at(n, simAskTimeout, func() {
		if !done {
			st.Fail(a)
			n.avoid[a.Owner.Name] = s.now.Add(500 * time.Millisecond)
			s.serve(n, o)
		}
	})
	return true
}

// all returns the instances in a fixed order.
func (s *simulation) all() []*simNode {
	nodes := slices.Collect(maps.Values(s.nodes))
	slices.SortFunc(nodes, func(a, b *simNode) int { return strings.Compare(string(a.self.Name), string(b.self.Name)) })
	return nodes
}

// load lets operations arrive at random among some instances until a time.
func (s *simulation) load(o core.Organisation, rate float64, until time.Duration, at func(*simNode) bool) {
	var nodes []*simNode
	for _, n := range s.all() {
		if at(n) {
			nodes = append(nodes, n)
		}
	}
	end := s.now.Add(until)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		s.operate(nodes[s.random.IntN(len(nodes))], o)
		s.at(nil, time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

// worst returns the highest number of operations in a window of five seconds above what is
// allowed there; negative below it.
func (s *simulation) worst(o core.Organisation) float64 {
	const window = 5 * time.Second
	limit, ran := s.limits[o], s.ran[o]
	allowed := (limit.Rate*window.Seconds()+limit.Burst)*1.1 + simSlack
	worst, first := -allowed, 0
	for last := range ran {
		for ran[last].Sub(ran[first]) > window {
			first++
		}
		worst = max(worst, float64(last-first+1)-allowed)
	}
	return worst
}
