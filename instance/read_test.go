package instance

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/mark"
	"anviltack/core/patch"
	"anviltack/core/pool"
	"anviltack/io/caller"
	"anviltack/settings"
)

// sink is a caller's connection that records the last write.
type sink struct {
	net.Conn
	last []byte
}

func (s *sink) Write(b []byte) (int, error) {
	s.last = append(s.last[:0], b...)
	return len(b), nil
}

func (s *sink) SetWriteDeadline(time.Time) error { return nil }

func encode(t testing.TB, messages ...pgproto3.BackendMessage) []byte {
	t.Helper()
	var b []byte
	for _, m := range messages {
		var err error
		if b, err = m.Encode(b); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// fixedResponses are the responses of an endpoint to each read.
type fixedResponses struct {
	// after is the position in the status after the read.
	after core.Point
	// statusNumberOffset is added to the number of the status request that the
	// response repeats.
	statusNumberOffset uint64
	// silent suppresses all responses.
	silent bool
}

// read returns the response to the transaction of a read.
func (f fixedResponses) read(t testing.TB) []byte {
	ready := &pgproto3.ReadyForQuery{TxStatus: 'T'}
	return encode(t,
		&pgproto3.BindComplete{}, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")},
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{},
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: 25}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte("1")}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, ready,
		&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// status returns the response to a status request with a placeholder for its
// number, and the placeholder's offset.
func (f fixedResponses) status(t testing.TB) (response []byte, number int) {
	term, position := []byte(strconv.FormatUint(f.after.Term, 10)), []byte(strconv.FormatUint(f.after.Position, 10))
	placeholder := bytes.Repeat([]byte("#"), numberDigits)
	row := &pgproto3.DataRow{Values: [][]byte{[]byte("replica"), term, term, position, position, term, position, placeholder}}
	response = encode(t, &pgproto3.RowDescription{}, row, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	return response, bytes.Index(response, placeholder)
}

// numberDigits is the length of a status request's number. The rare shorter
// random numbers are not handled.
const numberDigits = 19

// serve answers the reads of one connection.
func (f fixedResponses) serve(t testing.TB, nc net.Conn) {
	read := f.read(t)
	status, number := f.status(t)
	start := make([]byte, 4)
	if _, err := io.ReadFull(nc, start); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, nc, int64(binary.BigEndian.Uint32(start))-4)
	_, _ = nc.Write(encode(t, &pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
	begun := false
	header, body := make([]byte, 5), make([]byte, 4096)
	for {
		if _, err := io.ReadFull(nc, header); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(header[1:]) - 4
		if _, err := io.ReadFull(nc, body[:n]); err != nil {
			return
		}
		if header[0] == 'P' && !begun {
			begun = true
			_, _ = nc.Write(encode(t, &pgproto3.ParseComplete{}))
		}
		if header[0] != 'Q' || f.silent {
			continue
		}
		if bytes.HasPrefix(body[:n], []byte(rollbackStatement)) {
			_, _ = nc.Write(read)
			continue
		}
		const before = "SELECT *, "
		copy(status[number:], body[len(before):len(before)+numberDigits])
		status[number] += byte(f.statusNumberOffset)
		_, _ = nc.Write(status)
	}
}

// awaitUsableSlots waits until the instance may use the endpoint's slots, which
// it may not directly after a start.
func awaitUsableSlots(t testing.TB, p *endpointPool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); p.dump().Own == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no slot came into use")
		}
		p.maintain(time.Now())
	}
}

// newReader returns a session, a read and the caller's end of the session. The
// group has one replica, which gives fixed responses and was sampled at (1, 50).
func newReader(t testing.TB, f fixedResponses) (*session, *pipeline, *sink) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(t, nc)
		}
	}()
	now := time.Now()
	in := New(settings.Settings{Answer: time.Hour, Connect: time.Minute, User: "anviltack"})
	in.control = newControl(in, in.supervisor("samplers"))
	config := patch.Endpoint{Address: netip.MustParseAddrPort(l.Addr().String()), Slots: 3, Connections: 20}
	m := &Member{
		Name: "r", Slots: config.Slots, SampledAt: now, FreshAsOf: now,
		Status: core.Status{Role: core.RoleReplica, Fence: 1, Term: 1, Received: 50, Applied: 50},
		pool:   newEndpointPool(in, "r", config), readStats: newReadStats(),
	}
	m.pool.reportFailure = func(error) {}
	t.Cleanup(m.pool.close)
	awaitUsableSlots(t, m.pool)
	g := &Group{Name: "g"}
	g.publish(&GroupState{Term: 1, Members: map[core.Endpoint]*Member{"r": m}})
	database := patch.Database{Group: "g", Kinds: map[core.Kind]patch.Kind{"series": {Age: patch.Duration(time.Hour)}}}
	in.view.Store(&View{Config: &patch.Config{Databases: map[core.Database]patch.Database{"index": database}}, Groups: map[core.Group]*Group{"g": g}})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = (&poolMaintainer{instance: in}).Serve(ctx) }()
	awaitSlot(t, m)
	out := &sink{}
	s := &session{
		sessionEntry: &sessionEntry{}, instance: in, group: g, database: database,
		login: caller.Login{Database: "index"},
		conn:  caller.NewConn(out, 1<<20),
		marks: mark.New(now), reads: readState{router: in.newRouter()},
	}
	s.marks.Raise("g", core.Point{Term: 1, Position: 50}, now)
	now = time.Now()
	pl := &pipeline{simple: true, sql: "SELECT value FROM item WHERE key = 'a'", executions: 1, arrived: now, deadline: now.Add(time.Hour), annotation: annotation{kind: "series"}}
	return s, pl, out
}

// awaitSlot waits until a statement gets one of the member's slots.
func awaitSlot(t testing.TB, m *Member) {
	t.Helper()
	c, e := m.pool.acquire(admissionRequest{deadline: time.Now().Add(time.Hour), work: pool.WorkRead})
	if e != nil {
		t.Fatal(e)
	}
	m.pool.release(c, true)
}

// correctResponses are the responses of an endpoint without a fault.
var correctResponses = fixedResponses{after: core.Point{Term: 1, Position: 50}}

// maxReadAllocations is the maximum number of allocations for one read on a
// replica, excluding those of the goroutines for control and samples.
const maxReadAllocations = 20

func TestReadAllocations(t *testing.T) {
	is := is.New(t)
	s, pl, _ := newReader(t, correctResponses)
	is.NoErr(s.serveRead(pl))
	n := testing.AllocsPerRun(1000, func() {
		if err := s.serveRead(pl); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%.0f allocations for each read", n)
	is.True(n <= maxReadAllocations)
	is.Equal(s.instance.counters.readsOnReplica.Count(), int64(1002))
}

func BenchmarkReadOnReplica(b *testing.B) {
	s, pl, _ := newReader(b, correctResponses)
	b.ReportAllocs()
	for b.Loop() {
		if err := s.serveRead(pl); err != nil {
			b.Fatal(err)
		}
	}
}

func TestReadGoesElsewhereWhenAnEndpointIsSilent(t *testing.T) {
	is := is.New(t)
	s, pl, _ := newReader(t, correctResponses)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close() //nolint:errcheck // Nothing is served.
	state := s.group.State()
	m := *state.Members["r"]
	m.Name = "silent"
	m.pool = newEndpointPool(s.instance, m.Name, patch.Endpoint{Address: netip.MustParseAddrPort(silent.Addr().String()), Slots: 3, Connections: 20})
	m.pool.reportFailure = func(error) {}
	m.readStats = newReadStats()
	s.instance.settings.Connect = 50 * time.Millisecond
	s.group.publish(&GroupState{Term: 1, Members: map[core.Endpoint]*Member{"silent": &m, "r": state.Members["r"]}})
	for range 20 {
		is.NoErr(s.serveRead(pl))
	}
	is.Equal(s.instance.counters.readsOnReplica.Count(), int64(20))
}

func TestReadIsNotAnsweredWithoutProof(t *testing.T) {
	for name, f := range map[string]fixedResponses{
		"went back":       {after: core.Point{Term: 1, Position: 49}},
		"changed term":    {after: core.Point{Term: 2, Position: 50}},
		"crossed answers": {after: core.Point{Term: 1, Position: 50}, statusNumberOffset: 1},
		"no answers":      {silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, pl, out := newReader(t, f)
			if f.silent {
				pl.deadline = time.Now().Add(100 * time.Millisecond)
			}
			is.NoErr(s.serveRead(pl))
			is.Equal(s.instance.counters.readsOnReplica.Count(), int64(0))
			is.Equal(s.instance.counters.refusals.Count(), int64(1))
			is.Equal(out.last[0], byte('E'))
			is.True(bytes.Contains(out.last, []byte("AT2010")))
		})
	}
}

func TestOnlyOneStatementIsAReadOfAKind(t *testing.T) {
	is := is.New(t)
	is.True((&pipeline{executions: 1, annotation: annotation{kind: "series"}}).isRead())
	is.True(!(&pipeline{executions: 2, annotation: annotation{kind: "series"}}).isRead())
	is.True(!(&pipeline{executions: 1}).isRead())
}

// TestPanicsKeepSlots checks that statements which end by a panic give back their slots and
// connections: more of them than the endpoint has slots.
func TestPanicsKeepSlots(t *testing.T) {
	is := is.New(t)
	s, pl, _ := newReader(t, correctResponses)
	m := s.group.State().Members["r"]
	stats := m.readStats
	pl.deadline = time.Now().Add(10 * time.Second)
	m.readStats = nil // so that a read panics once it has its connection
	for range 5 {
		func() {
			defer s.instance.containPanic(caller.NewConn(&sink{}, 1<<10))
			defer s.end()
			_, _ = s.readOn(pl, s.group.State(), m)
			t.Error("the read did not panic")
		}()
	}
	m.readStats = stats
	is.Equal(m.pool.dump().Busy, 0)
	is.NoErr(s.serveRead(pl))
	is.Equal(s.instance.counters.readsOnReplica.Count(), int64(1))
}

// TestReadOnARemovedReplicaNeedsAMajority guards against a read that counts the replica on which it
// ran as a member of the group after a configuration removed it, or removed the group.
func TestReadOnARemovedReplicaNeedsAMajority(t *testing.T) {
	is := is.New(t)
	m := &Member{Name: "r", Status: core.Status{Role: core.RoleReplica}}
	p := core.Point{Term: 1, Position: 50}
	members := func(names ...core.Endpoint) map[core.Endpoint]*Member {
		found := make(map[core.Endpoint]*Member)
		for _, n := range names {
			found[n] = &Member{Name: n}
		}
		return found
	}
	is.True((&GroupState{Term: 1, Members: members("p", "q", "r")}).isDurable(m, p))
	is.True(!(&GroupState{Term: 1, Members: members("p", "q")}).isDurable(m, p))
	is.True(!(&GroupState{Term: 1}).isDurable(m, p))
	is.True((&GroupState{Term: 1, Members: members("p", "q"), Confirmed: p}).isDurable(m, p))
}
