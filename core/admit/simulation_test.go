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

func (r *simulation) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now.Add(d), seq: r.seq, do: do})
}

func instanceName(i int) core.Instance { return core.Instance(fmt.Sprint("i", i)) }

func simulate(c simConfig, length time.Duration) simResult {
	start := time.Unix(1000, 0)
	r := &simulation{
		config: c, random: rand.New(rand.NewPCG(7, 11)), now: start,
		arrived: map[uint64]time.Time{}, instanceOf: map[uint64]int{}, ticking: map[int]bool{},
	}
	r.build()
	capacity := simSlots / (simServiceTime + 2*simEndpointDelay).Seconds()
	meanInterval := time.Duration(float64(time.Second) / (capacity * c.load))
	var id uint64
	var arrive func()
	arrive = func() {
		id++
		n := id
		r.arrived[n] = r.now
		r.instanceOf[n] = r.pickInstance()
		r.result.arrivals++
		r.admit(n)
		r.after(time.Duration(r.random.ExpFloat64()*float64(meanInterval)), arrive)
	}
	r.after(4*time.Second, arrive)
	end := start.Add(4*time.Second + length)
	for r.now.Before(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	sort.Slice(r.latencies, func(i, j int) bool { return r.latencies[i] < r.latencies[j] })
	if n := len(r.latencies); n > 0 {
		r.result.p50, r.result.p99 = r.latencies[n/2], r.latencies[n*99/100]
	}
	r.result.goodput = float64(len(r.latencies)-r.result.late) / length.Seconds() / capacity
	return r.result
}

func (r *simulation) build() {
	var members []core.Instance
	for i := range r.config.instances {
		members = append(members, instanceName(i))
	}
	for i := range r.config.instances {
		switch r.config.strategy {
		case strategyOwnLimit:
			r.limits = append(r.limits, NewAdaptiveLimit(simSlots))
			r.gates = append(r.gates, NewGate(r.limits[i].Slots, r.random))
		case strategyHomes:
			r.gates = append(r.gates, NewGate(FixedSlots(simSlots), r.random))
		case strategyLending:
			s := NewSharing("e1", members[i], simSlots, r.random, WithLenderOptions(WithQuantum(r.config.quantum)))
			r.sharing = append(r.sharing, s)
			s.SetMembers(r.now, members)
			r.keepTicking(i)
		}
	}
}

func (r *simulation) keepTicking(i int) {
	r.applyOutput(i, r.sharing[i].Tick(r.now))
	r.after(500*time.Millisecond, func() { r.keepTicking(i) })
}

func (r *simulation) pickInstance() int {
	if r.config.uneven && r.random.Float64() < 0.7 {
		return 0
	}
	return r.random.IntN(r.config.instances)
}

func (r *simulation) admit(id uint64) {
	i := r.instanceOf[id]
	q := Request{ID: id, Caller: "c", Deadline: r.now.Add(simDeadline)}
	switch r.config.strategy {
	case strategyLending:
		r.applyOutput(i, r.sharing[i].Arrive(r.now, q))
	case strategyOwnLimit:
		r.applyActions(i, r.gates[i].Arrive(r.now, q))
	case strategyHomes:
		if i == 0 {
			r.applyActions(0, r.gates[0].Arrive(r.now, q))
			return
		}
		q.Deadline = q.Deadline.Add(-simInstanceDelay)
		r.after(simInstanceDelay, func() { r.applyActions(0, r.gates[0].Arrive(r.now, q)) })
	}
}

func (r *simulation) applyActions(i int, actions []Action) {
	for _, a := range actions {
		if a.Err != nil {
			continue
		}
		r.after(simEndpointDelay, func() { r.arriveAtEndpoint(a.ID) })
	}
	if r.sharing == nil && r.gates[i].Waiting() > 0 {
		r.tick(i, sweepPeriod, func() { r.applyActions(i, r.gates[i].Tick(r.now)) })
	}
}

func (r *simulation) tick(i int, d time.Duration, do func()) {
	if r.ticking[i] {
		return
	}
	r.ticking[i] = true
	r.after(d, func() {
		r.ticking[i] = false
		do()
	})
}

func (r *simulation) applyOutput(i int, o Output) {
	r.applyActions(i, o.Actions)
	self := instanceName(i)
	for _, g := range o.Grants {
		to := int(g.To[1] - '0')
		r.after(simInstanceDelay, func() { r.applyOutput(to, r.sharing[to].HandleGrant(r.now, self, g)) })
	}
	for _, g := range o.Recalls {
		to := int(g.To[1] - '0')
		r.after(simInstanceDelay, func() { r.applyOutput(to, r.sharing[to].HandleRecall(r.now, self, g)) })
	}
	for _, m := range o.Messages {
		r.result.messages++
		to := int(m.To[1] - '0')
		r.after(simInstanceDelay, func() {
			if m.Return {
				r.applyOutput(to, r.sharing[to].HandleReturn(r.now, m.Ask))
			} else {
				r.applyOutput(to, r.sharing[to].HandleAsk(r.now, m.Ask))
			}
		})
	}
	if at, ok := r.sharing[i].NextTick(r.now); ok {
		r.tick(i, at.Sub(r.now), func() { r.applyOutput(i, r.sharing[i].Tick(r.now)) })
	}
}

// arriveAtEndpoint adds a statement at the endpoint, which runs three and queues the rest.
func (r *simulation) arriveAtEndpoint(id uint64) {
	r.atEndpoint++
	r.result.peak = max(r.result.peak, r.atEndpoint)
	run := func(id uint64) {
		r.busy++
		service := time.Duration((0.5 + 0.5*r.random.ExpFloat64()) * float64(simServiceTime))
		r.after(service, func() { r.done(id) })
	}
	r.done = func(id uint64) {
		r.atEndpoint--
		r.busy--
		if len(r.fifo) > 0 {
			next := r.fifo[0]
			r.fifo = r.fifo[1:]
			run(next)
		}
		r.after(simEndpointDelay, func() { r.finish(id) })
	}
	if r.busy < simSlots {
		run(id)
	} else {
		r.fifo = append(r.fifo, id)
	}
}

func (r *simulation) finish(id uint64) {
	i := r.instanceOf[id]
	latency := r.now.Sub(r.arrived[id])
	if r.config.strategy == strategyHomes && i != 0 {
		latency += simInstanceDelay
	}
	if latency > simDeadline {
		r.result.late++
	}
	r.latencies = append(r.latencies, latency)
	switch r.config.strategy {
	case strategyLending:
		r.applyOutput(i, r.sharing[i].Finish(r.now, id))
	case strategyHomes:
		r.applyActions(0, r.gates[0].Finish(r.now, id))
	case strategyOwnLimit:
		w := r.gates[i].running[id]
		full := r.gates[i].Running() >= r.limits[i].Slots(r.now)
		r.limits[i].Observe(r.now, r.now.Sub(w.started), full)
		r.applyActions(i, r.gates[i].Finish(r.now, id))
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
