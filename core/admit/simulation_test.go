package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
)

const (
	simSlots         = 3
	simDeadline      = 250 * time.Millisecond
	simServiceTime   = 2 * time.Millisecond
	simInstanceDelay = 1500 * time.Microsecond
	simEndpointDelay = 500 * time.Microsecond
)

type strategy string

const (
	strategyOwnLimit strategy = "own-limit"
	strategyLending  strategy = "lending"
	strategyHomes    strategy = "homes"
)

type simConfig struct {
	strategy  strategy
	instances int
	load      float64
	uneven    bool
	quantum   time.Duration
}

type simResult struct {
	peak           int
	goodput        float64
	p50, p99       time.Duration
	late, messages int
	arrivals       int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// simulation runs one endpoint behind several instances in virtual time.
type simulation struct {
	config     simConfig
	random     *rand.Rand
	now        time.Time
	events     events
	seq        int
	result     simResult
	arrived    map[uint64]time.Time
	instanceOf map[uint64]int
	// atEndpoint counts the statements that run or queue at the endpoint.
	atEndpoint int
	busy       int
	fifo       []uint64
	done       func(id uint64)
	latencies  []time.Duration
	gates      []*Gate
	limits     []*AdaptiveLimit
	sharing    []*Sharing
	ticking    map[int]bool
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now.Add(d), seq: sim.seq, do: do})
}

func instanceName(i int) core.Instance { return core.Instance(fmt.Sprint("i", i)) }

func simulate(c simConfig, length time.Duration) simResult {
	start := time.Unix(1000, 0)
	sim := &simulation{
		config: c, random: rand.New(rand.NewPCG(7, 11)), now: start,
		arrived: map[uint64]time.Time{}, instanceOf: map[uint64]int{}, ticking: map[int]bool{},
	}
	sim.build()
	capacity := simSlots / (simServiceTime + 2*simEndpointDelay).Seconds()
	meanInterval := time.Duration(float64(time.Second) / (capacity * c.load))
	var id uint64
	var arrive func()
	arrive = func() {
		id++
		n := id
		sim.arrived[n] = sim.now
		sim.instanceOf[n] = sim.pickInstance()
		sim.result.arrivals++
		sim.admit(n)
		sim.after(time.Duration(sim.random.ExpFloat64()*float64(meanInterval)), arrive)
	}
	sim.after(4*time.Second, arrive)
	end := start.Add(4*time.Second + length)
	for sim.now.Before(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sort.Slice(sim.latencies, func(i, j int) bool { return sim.latencies[i] < sim.latencies[j] })
	if n := len(sim.latencies); n > 0 {
		sim.result.p50, sim.result.p99 = sim.latencies[n/2], sim.latencies[n*99/100]
	}
	sim.result.goodput = float64(len(sim.latencies)-sim.result.late) / length.Seconds() / capacity
	return sim.result
}

func (sim *simulation) build() {
	var members []core.Instance
	for i := range sim.config.instances {
		members = append(members, instanceName(i))
	}
	for i := range sim.config.instances {
		switch sim.config.strategy {
		case strategyOwnLimit:
			sim.limits = append(sim.limits, NewAdaptiveLimit(simSlots))
			sim.gates = append(sim.gates, NewGate(sim.limits[i].Slots, sim.random))
		case strategyHomes:
			sim.gates = append(sim.gates, NewGate(FixedSlots(simSlots), sim.random))
		case strategyLending:
			s := NewSharing("e1", members[i], simSlots, sim.random, WithLenderOptions(WithQuantum(sim.config.quantum)))
			sim.sharing = append(sim.sharing, s)
			s.SetInstances(sim.now, members)
			sim.keepTicking(i)
		}
	}
}

func (sim *simulation) keepTicking(i int) {
	sim.applyOutput(i, sim.sharing[i].Tick(sim.now))
	sim.after(500*time.Millisecond, func() { sim.keepTicking(i) })
}

func (sim *simulation) pickInstance() int {
	if sim.config.uneven && sim.random.Float64() < 0.7 {
		return 0
	}
	return sim.random.IntN(sim.config.instances)
}

func (sim *simulation) admit(id uint64) {
	i := sim.instanceOf[id]
	q := Request{ID: id, Caller: "c", Deadline: sim.now.Add(simDeadline)}
	switch sim.config.strategy {
	case strategyLending:
		sim.applyOutput(i, sim.sharing[i].Arrive(sim.now, q))
	case strategyOwnLimit:
		sim.applyActions(i, sim.gates[i].Arrive(sim.now, q))
	case strategyHomes:
		if i == 0 {
			sim.applyActions(0, sim.gates[0].Arrive(sim.now, q))
			return
		}
		q.Deadline = q.Deadline.Add(-simInstanceDelay)
		sim.after(simInstanceDelay, func() { sim.applyActions(0, sim.gates[0].Arrive(sim.now, q)) })
	}
}

func (sim *simulation) applyActions(i int, actions []Action) {
	for _, a := range actions {
		if a.Err != nil {
			continue
		}
		sim.after(simEndpointDelay, func() { sim.arriveAtEndpoint(a.ID) })
	}
	if sim.sharing == nil && sim.gates[i].Waiting() > 0 {
		sim.tick(i, sweepPeriod, func() { sim.applyActions(i, sim.gates[i].Tick(sim.now)) })
	}
}

func (sim *simulation) tick(i int, d time.Duration, do func()) {
	if sim.ticking[i] {
		return
	}
	sim.ticking[i] = true
	sim.after(d, func() {
		sim.ticking[i] = false
		do()
	})
}

func (sim *simulation) applyOutput(i int, o Output) {
	sim.applyActions(i, o.Actions)
	self := instanceName(i)
	for _, g := range o.Grants {
		to := int(g.To[1] - '0')
		sim.after(simInstanceDelay, func() { sim.applyOutput(to, sim.sharing[to].HandleGrant(sim.now, self, g)) })
	}
	for _, r := range o.Recalls {
		to := int(r.To[1] - '0')
		sim.after(simInstanceDelay, func() { sim.applyOutput(to, sim.sharing[to].HandleRecall(sim.now, self, r)) })
	}
	for _, m := range o.Messages {
		sim.result.messages++
		to := int(m.To[1] - '0')
		sim.after(simInstanceDelay, func() {
			if m.Return {
				sim.applyOutput(to, sim.sharing[to].HandleReturn(sim.now, m.Request))
			} else {
				sim.applyOutput(to, sim.sharing[to].HandleSlotRequest(sim.now, m.Request))
			}
		})
	}
	if at, ok := sim.sharing[i].NextTick(sim.now); ok {
		sim.tick(i, at.Sub(sim.now), func() { sim.applyOutput(i, sim.sharing[i].Tick(sim.now)) })
	}
}

// arriveAtEndpoint adds a statement at the endpoint, which runs three and queues the rest.
func (sim *simulation) arriveAtEndpoint(id uint64) {
	sim.atEndpoint++
	sim.result.peak = max(sim.result.peak, sim.atEndpoint)
	run := func(id uint64) {
		sim.busy++
		service := time.Duration((0.5 + 0.5*sim.random.ExpFloat64()) * float64(simServiceTime))
		sim.after(service, func() { sim.done(id) })
	}
	sim.done = func(id uint64) {
		sim.atEndpoint--
		sim.busy--
		if len(sim.fifo) > 0 {
			next := sim.fifo[0]
			sim.fifo = sim.fifo[1:]
			run(next)
		}
		sim.after(simEndpointDelay, func() { sim.finish(id) })
	}
	if sim.busy < simSlots {
		run(id)
	} else {
		sim.fifo = append(sim.fifo, id)
	}
}

func (sim *simulation) finish(id uint64) {
	i := sim.instanceOf[id]
	latency := sim.now.Sub(sim.arrived[id])
	if sim.config.strategy == strategyHomes && i != 0 {
		latency += simInstanceDelay
	}
	if latency > simDeadline {
		sim.result.late++
	}
	sim.latencies = append(sim.latencies, latency)
	switch sim.config.strategy {
	case strategyLending:
		sim.applyOutput(i, sim.sharing[i].Finish(sim.now, id))
	case strategyHomes:
		sim.applyActions(0, sim.gates[0].Finish(sim.now, id))
	case strategyOwnLimit:
		running := sim.gates[i].running[id]
		full := sim.gates[i].Running() >= sim.limits[i].Slots(sim.now)
		sim.limits[i].Observe(sim.now, sim.now.Sub(running.started), full)
		sim.applyActions(i, sim.gates[i].Finish(sim.now, id))
	}
}

// TestSharingGoodput bounds the results of slot lending, the strategy in use.
func TestSharingGoodput(t *testing.T) {
	is := is.New(t)
	for _, c := range []simConfig{
		{instances: 5, load: 0.5},
		{instances: 5, load: 3},
		{instances: 4, load: 3, uneven: true},
	} {
		c.strategy, c.quantum = strategyLending, defaultQuantum
		r := simulate(c, 5*time.Second)
		is.True(r.peak <= simSlots)                  // the endpoint's slots are never exceeded
		is.True(r.goodput >= 0.9*min(c.load, 1))     // the overhead of lending is small
		is.True(r.late <= r.arrivals/1000)           // admitted statements are in time
		is.True(c.load > 1 || r.p99 < simDeadline/5) // no starvation at half load
	}
}

// BenchmarkSharing compares the strategies for sharing slots in virtual time.
func BenchmarkSharing(b *testing.B) {
	configs := []simConfig{
		{strategy: strategyOwnLimit},
		{strategy: strategyHomes},
		{strategy: strategyLending, quantum: 20 * time.Millisecond},
		{strategy: strategyLending, quantum: 50 * time.Millisecond},
		{strategy: strategyLending, quantum: 100 * time.Millisecond},
	}
	for _, instances := range []int{4, 5} {
		for _, load := range []float64{0.5, 1, 3} {
			for _, arrival := range []string{"even", "uneven"} {
				for _, c := range configs {
					c.instances, c.load, c.uneven = instances, load, arrival == "uneven"
					name := fmt.Sprintf("%s-%s/%d/%.1f/%s", c.strategy, c.quantum, instances, load, arrival)
					b.Run(name, func(b *testing.B) {
						var r simResult
						for b.Loop() {
							r = simulate(c, 20*time.Second)
						}
						b.ReportMetric(0, "ns/op")
						b.ReportMetric(float64(r.peak), "peak")
						b.ReportMetric(100*r.goodput, "goodput-%")
						b.ReportMetric(float64(r.p50.Microseconds())/1000, "p50-ms")
						b.ReportMetric(float64(r.p99.Microseconds())/1000, "p99-ms")
						b.ReportMetric(float64(r.messages)/20, "messages/s")
					})
				}
			}
		}
	}
}
