package instance

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/mark"
	"anviltack/core/patch"
	"anviltack/io/caller"
	"anviltack/settings"
)

// sink is a caller's socket that takes everything.
type sink struct{ net.Conn }

func (sink) Write(b []byte) (int, error) { return len(b), nil }

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

// serveFixed answers every read of one connection with the same bytes: one
// answer for each flush that ends with a simple query of ROLLBACK. The status
// behind the read shows after.
func serveFixed(t testing.TB, nc net.Conn, after core.Point) {
	ready := &pgproto3.ReadyForQuery{TxStatus: 'T'}
	term, position := []byte(strconv.FormatUint(after.Term, 10)), []byte(strconv.FormatUint(after.Position, 10))
	status := &pgproto3.DataRow{Values: [][]byte{[]byte("replica"), term, term, position, position, term, position}}
	answer := encode(t,
		&pgproto3.BindComplete{}, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")},
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{},
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: 25}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte("1")}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, ready,
		&pgproto3.RowDescription{}, status, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, ready,
		&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	first := append(encode(t, &pgproto3.ParseComplete{}), answer...)
	start := make([]byte, 4)
	if _, err := io.ReadFull(nc, start); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, nc, int64(binary.BigEndian.Uint32(start))-4)
	_, _ = nc.Write(encode(t, &pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
	header := make([]byte, 5)
	body := make([]byte, 4096)
	for queries := 0; ; {
		if _, err := io.ReadFull(nc, header); err != nil {
			return
		}
		if _, err := io.ReadFull(nc, body[:binary.BigEndian.Uint32(header[1:])-4]); err != nil {
			return
		}
		if header[0] != 'Q' {
			continue
		}
		queries++
		if queries%2 == 0 && !strings.HasPrefix(string(body), rollbackStatement) {
			t.Errorf("the transaction of a read ended by %.10q", body)
		}
		if queries%2 == 0 {
			_, _ = nc.Write(first)
			first = answer
		}
	}
}

// newReader returns a session before a group whose one replica gives fixed
// answers, and a read. The replica was sampled at (1, 50).
func newReader(t testing.TB, after core.Point) (*session, *unit) {
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
			go serveFixed(t, nc, after)
		}
	}()
	now := time.Now()
	in := New(settings.Settings{Answer: time.Hour, Connect: time.Minute, User: "anviltack"})
	in.control = newControl(in, in.supervisor("samplers"))
	config := patch.Endpoint{Address: netip.MustParseAddrPort(l.Addr().String()), Slots: 3, Connections: 20}
	m := &Member{
		Name: "r", Slots: config.Slots, SampledAt: now, FreshAsOf: now,
		Status: core.Status{Role: core.RoleReplica, Fence: 1, Term: 1, Received: 50, Applied: 50},
		links:  newLinks(in, "r", config), load: newLoad(),
	}
	t.Cleanup(m.links.close)
	g := &Group{Name: "g"}
	g.publish(&GroupState{Term: 1, Members: map[core.Endpoint]*Member{"r": m}})
	database := patch.Database{Group: "g", Kinds: map[core.Kind]patch.Kind{"series": {Age: patch.Duration(time.Hour)}}}
	in.view.Store(&View{Config: &patch.Config{Databases: map[core.Database]patch.Database{"index": database}}, Groups: map[core.Group]*Group{"g": g}})
	s := &session{
		sessionEntry: &sessionEntry{}, instance: in, group: g, database: database,
		login: caller.Login{Database: "index"},
		conn:  caller.NewConn(sink{}, 1<<20),
		marks: mark.New(now), reads: reads{router: in.newRouter()},
	}
	s.marks.Raise("g", core.Point{Term: 1, Position: 50}, now)
	u := &unit{simple: true, sql: "SELECT value FROM item WHERE key = 'a'", executions: 1, arrived: now, deadline: now.Add(time.Hour), annotation: annotation{kind: "series"}}
	return s, u
}

// maxReadAllocations bounds the allocations of one read on a replica, those of
// the goroutines for control and for samples not counted.
const maxReadAllocations = 16

func TestReadAllocations(t *testing.T) {
	is := is.New(t)
	s, u := newReader(t, core.Point{Term: 1, Position: 50})
	is.NoErr(s.serveRead(u))
	n := testing.AllocsPerRun(1000, func() {
		if err := s.serveRead(u); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%.0f allocations for each read", n)
	is.True(n <= maxReadAllocations)
	is.Equal(s.instance.counts.readsOnReplica.Count(), int64(1002))
}

func BenchmarkReadOnReplica(b *testing.B) {
	s, u := newReader(b, core.Point{Term: 1, Position: 50})
	b.ReportAllocs()
	for b.Loop() {
		if err := s.serveRead(u); err != nil {
			b.Fatal(err)
		}
	}
}

func TestReadGoesElsewhereWhenAnEndpointIsSilent(t *testing.T) {
	is := is.New(t)
	s, u := newReader(t, core.Point{Term: 1, Position: 50})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close() //nolint:errcheck // Nothing is served.
	state := s.group.State()
	m := *state.Members["r"]
	m.Name = "silent"
	m.links = newLinks(s.instance, m.Name, patch.Endpoint{Address: netip.MustParseAddrPort(silent.Addr().String()), Connections: 20})
	m.load = newLoad()
	s.instance.settings.Connect = 50 * time.Millisecond
	s.group.publish(&GroupState{Term: 1, Members: map[core.Endpoint]*Member{"silent": &m, "r": state.Members["r"]}})
	for range 20 {
		is.NoErr(s.serveRead(u))
	}
	is.Equal(s.instance.counts.readsOnReplica.Count(), int64(20))
}

func TestReadIsNotAnsweredFromAnEndpointThatWentBack(t *testing.T) {
	for _, after := range []core.Point{{Term: 1, Position: 49}, {Term: 2, Position: 50}} {
		is := is.New(t)
		s, u := newReader(t, after)
		is.NoErr(s.serveRead(u))
		is.Equal(s.instance.counts.readsOnReplica.Count(), int64(0))
		is.Equal(s.instance.counts.refusals.Count(), int64(1))
	}
}

func TestOnlyOneStatementIsAReadOfAKind(t *testing.T) {
	is := is.New(t)
	is.True((&unit{executions: 1, annotation: annotation{kind: "series"}}).isRead())
	is.True(!(&unit{executions: 2, annotation: annotation{kind: "series"}}).isRead())
	is.True(!(&unit{executions: 1}).isRead())
}
