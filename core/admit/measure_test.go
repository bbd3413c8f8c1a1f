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
	runSlots    = 3
	runDeadline = 250 * time.Millisecond
	runService  = 2 * time.Millisecond
	runHop      = 1500 * time.Microsecond
	runEndpoint = 500 * time.Microsecond
)

type way string

const (
	wayOwnLimit way = "own-limit"
	wayLending  way = "lending"
	wayHomes    way = "homes"
)

type runConfig struct {
	way       way
	instances int
	load      float64
	uneven    bool
	quantum   time.Duration
}

type runResult struct {
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

// run is one virtual-time trial of one endpoint behind several instances.
type run struct {
	config  runConfig
	random  *rand.Rand
	now     time.Time
	events  events
	seq     int
	result  runResult
	arrived map[uint64]time.Time
	at      map[uint64]int
	// present counts the statements at the endpoint: running and queued there.
	present int
	busy    int
	fifo    []uint64
	done    func(id uint64)
	times   []time.Duration
	gates   []*Gate
	limits  []*Limit
	sharing []*Sharing
	ticking map[int]bool
}

func (r *run) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now.Add(d), seq: r.seq, do: do})
}

func instanceName(i int) core.Instance { return core.Instance(fmt.Sprint("i", i)) }

func measure(c runConfig, length time.Duration) runResult {
	start := time.Unix(1000, 0)
	r := &run{
		config: c, random: rand.New(rand.NewPCG(7, 11)), now: start,
		arrived: map[uint64]time.Time{}, at: map[uint64]int{}, ticking: map[int]bool{},
	}
	r.build()
	capacity := runSlots / (runService + 2*runEndpoint).Seconds()
	gap := time.Duration(float64(time.Second) / (capacity * c.load))
	var id uint64
	var arrive func()
	arrive = func() {
		id++
		n := id
		r.arrived[n] = r.now
		r.at[n] = r.pickInstance()
		r.result.arrivals++
		r.admit(n)
		r.after(time.Duration(r.random.ExpFloat64()*float64(gap)), arrive)
	}
	r.after(4*time.Second, arrive)
	end := start.Add(4*time.Second + length)
	for r.now.Before(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	sort.Slice(r.times, func(i, j int) bool { return r.times[i] < r.times[j] })
	if n := len(r.times); n > 0 {
		r.result.p50, r.result.p99 = r.times[n/2], r.times[n*99/100]
	}
	r.result.goodput = float64(len(r.times)-r.result.late) / length.Seconds() / capacity
	return r.result
}

func (r *run) build() {
	var members []core.Instance
	for i := range r.config.instances {
		members = append(members, instanceName(i))
	}
	for i := range r.config.instances {
		switch r.config.way {
		case wayOwnLimit:
			r.limits = append(r.limits, NewLimit(runSlots))
			r.gates = append(r.gates, NewGate(r.limits[i].Slots, r.random))
		case wayHomes:
			r.gates = append(r.gates, NewGate(FixedSlots(runSlots), r.random))
		case wayLending:
			s := NewSharing("e1", members[i], runSlots, r.random, WithLending(WithQuantum(r.config.quantum)))
			r.sharing = append(r.sharing, s)
			s.SetMembers(r.now, members)
			r.keepAlive(i)
		}
	}
}

func (r *run) keepAlive(i int) {
	r.settle(i, r.sharing[i].Tick(r.now))
	r.after(500*time.Millisecond, func() { r.keepAlive(i) })
}

func (r *run) pickInstance() int {
	if r.config.uneven && r.random.Float64() < 0.7 {
		return 0
	}
	return r.random.IntN(r.config.instances)
}

func (r *run) admit(id uint64) {
	i := r.at[id]
	q := Request{ID: id, Caller: "c", Deadline: r.now.Add(runDeadline)}
	switch r.config.way {
	case wayLending:
		r.settle(i, r.sharing[i].Arrive(r.now, q))
	case wayOwnLimit:
		r.act(i, r.gates[i].Arrive(r.now, q))
	case wayHomes:
		if i == 0 {
			r.act(0, r.gates[0].Arrive(r.now, q))
			return
		}
		q.Deadline = q.Deadline.Add(-runHop)
		r.after(runHop, func() { r.act(0, r.gates[0].Arrive(r.now, q)) })
	}
}

func (r *run) act(i int, actions []Action) {
	for _, a := range actions {
		if a.Err != nil {
			continue
		}
		r.after(runEndpoint, func() { r.enter(a.ID) })
	}
	if r.sharing == nil && r.gates[i].Waiting() > 0 {
		r.tick(i, sweepPeriod, func() { r.act(i, r.gates[i].Tick(r.now)) })
	}
}

func (r *run) tick(i int, d time.Duration, do func()) {
	if r.ticking[i] {
		return
	}
	r.ticking[i] = true
	r.after(d, func() {
		r.ticking[i] = false
		do()
	})
}

func (r *run) settle(i int, o Output) {
	r.act(i, o.Actions)
	self := instanceName(i)
	for _, g := range o.Grants {
		to := int(g.To[1] - '0')
		r.after(runHop, func() { r.settle(to, r.sharing[to].Granted(r.now, self, g)) })
	}
	for _, g := range o.Recalls {
		to := int(g.To[1] - '0')
		r.after(runHop, func() { r.settle(to, r.sharing[to].Recalled(r.now, self, g)) })
	}
	for _, m := range o.Messages {
		r.result.messages++
		to := int(m.To[1] - '0')
		r.after(runHop, func() {
			if m.Return {
				r.settle(to, r.sharing[to].Return(r.now, m.Ask))
			} else {
				r.settle(to, r.sharing[to].Ask(r.now, m.Ask))
			}
		})
	}
	if at, ok := r.sharing[i].Next(r.now); ok {
		r.tick(i, at.Sub(r.now), func() { r.settle(i, r.sharing[i].Tick(r.now)) })
	}
}

// enter brings a statement to the endpoint, which runs three and queues the rest.
func (r *run) enter(id uint64) {
	r.present++
	r.result.peak = max(r.result.peak, r.present)
	work := func(id uint64) {
		r.busy++
		service := time.Duration((0.5 + 0.5*r.random.ExpFloat64()) * float64(runService))
		r.after(service, func() { r.done(id) })
	}
	r.done = func(id uint64) {
		r.present--
		r.busy--
		if len(r.fifo) > 0 {
			next := r.fifo[0]
			r.fifo = r.fifo[1:]
			work(next)
		}
		r.after(runEndpoint, func() { r.finish(id) })
	}
	if r.busy < runSlots {
		work(id)
	} else {
		r.fifo = append(r.fifo, id)
	}
}

func (r *run) finish(id uint64) {
	i := r.at[id]
	took := r.now.Sub(r.arrived[id])
	if r.config.way == wayHomes && i != 0 {
		took += runHop
	}
	if took > runDeadline {
		r.result.late++
	}
	r.times = append(r.times, took)
	switch r.config.way {
	case wayLending:
		r.settle(i, r.sharing[i].Finish(r.now, id))
	case wayHomes:
		r.act(0, r.gates[0].Finish(r.now, id))
	case wayOwnLimit:
		w := r.gates[i].running[id]
		full := r.gates[i].Running() >= r.limits[i].Slots(r.now)
		r.limits[i].Observe(r.now, r.now.Sub(w.started), full)
		r.act(i, r.gates[i].Finish(r.now, id))
	}
}

// TestSharingGoodput bounds the figures of lending, the way in use.
func TestSharingGoodput(t *testing.T) {
	is := is.New(t)
	for _, c := range []runConfig{
		{instances: 5, load: 0.5},
		{instances: 5, load: 3},
		{instances: 4, load: 3, uneven: true},
	} {
		c.way, c.quantum = wayLending, defaultQuantum
		r := measure(c, 5*time.Second)
		is.True(r.peak <= runSlots)                  // the endpoint's slots are never exceeded
		is.True(r.goodput >= 0.9*min(c.load, 1))     // the overhead of lending is small
		is.True(r.late <= r.arrivals/1000)           // admitted statements are in time
		is.True(c.load > 1 || r.p99 < runDeadline/5) // no starvation at half load
	}
}

// BenchmarkSharing measures the ways to share slots in virtual time.
func BenchmarkSharing(b *testing.B) {
	ways := []runConfig{
		{way: wayOwnLimit},
		{way: wayHomes},
		{way: wayLending, quantum: 20 * time.Millisecond},
		{way: wayLending, quantum: 50 * time.Millisecond},
		{way: wayLending, quantum: 100 * time.Millisecond},
	}
	for _, instances := range []int{4, 5} {
		for _, load := range []float64{0.5, 1, 3} {
			for _, arrival := range []string{"even", "uneven"} {
				for _, c := range ways {
					c.instances, c.load, c.uneven = instances, load, arrival == "uneven"
					name := fmt.Sprintf("%s-%s/%d/%.1f/%s", c.way, c.quantum, instances, load, arrival)
					b.Run(name, func(b *testing.B) {
						var r runResult
						for b.Loop() {
							r = measure(c, 20*time.Second)
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
