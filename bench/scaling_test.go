package bench

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/core"
	"anviltack/core/member"
	"anviltack/core/patch"
)

// The sizes at which growth is measured; the last one is the target.
var (
	instanceSizes = []int{10, 100, 500, 1700}
	databaseSizes = []int{10, 100, 600, 1800}
)

const (
	targetDataCentres = 10
	endpointsPerGroup = 3
	targetCallers     = 20
)

var now = time.Unix(1000, 0)

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8432)
}

// newTable returns the membership table of one instance among n.
func newTable(n int) *member.Table {
	self := member.Member{Instance: "entry-0", DataCentre: "dc-0", Address: peerAddress(0)}
	t := member.NewTable(self)
	var list []member.Listing
	for i := range n {
		name := core.Instance(fmt.Sprint("entry-", i))
		dc := core.DataCentre(fmt.Sprint("dc-", i%targetDataCentres))
		list = append(list, member.Listing{Instance: name, DataCentre: dc, Address: peerAddress(i)})
		if i > 0 {
			t.RecordHeartbeat(now, member.Heartbeat{Instance: name, DataCentre: dc, Address: peerAddress(i), Uptime: time.Hour})
		}
	}
	t.ApplyList(now, list)
	return t
}

// callsPerAverage is the number of calls over which an average is taken.
const callsPerAverage = 20

// BenchmarkMembership measures what a heartbeat and a lookup of the ranks cost
// an instance, by the number of instances, and how many neighbours it exchanges
// heartbeats with.
func BenchmarkMembership(b *testing.B) {
	for _, n := range instanceSizes {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			before := liveBytes()
			t := newTable(n)
			bytes := liveBytes() - before
			heartbeat := member.Heartbeat{Instance: "entry-10", DataCentre: "dc-0", Address: peerAddress(10), Uptime: time.Hour}
			b.ResetTimer()
			for i := range b.N {
				t.RecordHeartbeat(now.Add(time.Duration(i)), heartbeat)
				t.Rank(now.Add(time.Duration(i)), member.DutyWatch)
			}
			b.StopTimer()
			b.ReportMetric(average(func() { t.Epoch(now); t.Neighbours(now); t.Rank(now, member.DutyWatch) }), "ns/view")
			b.ReportMetric(average(func() { t.Members(now) }), "ns/list")
			b.ReportMetric(float64(bytes), "table-bytes")
			b.ReportMetric(float64(len(t.Neighbours(now))), "neighbours")
			runtime.KeepAlive(t)
		})
	}
}

// average returns the mean duration of a call in nanoseconds.
func average(call func()) float64 {
	start := time.Now()
	for range callsPerAverage {
		call()
	}
	return float64(time.Since(start).Nanoseconds()) / callsPerAverage
}

// newConfig returns a configuration of n databases, each in a group of its own.
func newConfig(n int) patch.Config {
	c := patch.Config{
		Groups:    make(map[core.Group]patch.Group, n),
		Databases: make(map[core.Database]patch.Database, n),
		Callers:   make(map[core.Caller]patch.Caller),
		Limits:    patch.Limits{Deadline: patch.Duration(5 * time.Second), TransactionIdle: patch.Duration(time.Minute), Queue: 100},
	}
	var names []core.Database
	for i := range n {
		endpoints := make(map[core.Endpoint]patch.Endpoint, endpointsPerGroup)
		for j := range endpointsPerGroup {
			endpoints[core.Endpoint(fmt.Sprintf("e%d-%d", i, j))] = patch.Endpoint{
				Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(100 + j), byte(i >> 8), byte(i)}), 5432),
				DataCentre: core.DataCentre(fmt.Sprint("dc-", (i+j)%targetDataCentres)), Slots: 5, Connections: 60,
			}
		}
		group, database := core.Group(fmt.Sprint("g", i)), core.Database(fmt.Sprint("orders-", i))
		c.Groups[group] = patch.Group{Endpoints: endpoints}
		c.Databases[database] = patch.Database{Group: group, Kinds: map[core.Kind]patch.Kind{
			"series": {Age: patch.Duration(5 * time.Second)}, "snapshot": {Age: patch.Duration(200 * time.Millisecond)},
		}}
		names = append(names, database)
	}
	secret := "SCRAM-SHA-256$4096:MDEyMzQ1Njc4OWFiY2RlZg==$bpSY5Ze9NUH+I35LC3gVq+DpBfK46iXBxvhAKqVu9pE=:VpYlBuxyzeCI1KnctrefdljpB1mk3Gp7sBI/t11+NkQ="
	for i := range targetCallers {
		share := (len(names) + targetCallers - 1) / targetCallers
		low, high := min(i*share, len(names)), min((i+1)*share, len(names))
		c.Callers[core.Caller(fmt.Sprint("caller-", i))] = patch.Caller{Secret: secret, Databases: names[low:high]}
	}
	return c
}

// newDocument returns a document with the configuration of n databases.
func newDocument(t testing.TB, n int) patch.Document {
	t.Helper()
	whole := newConfig(n)
	var d patch.Document
	for part := range patchCount {
		c := patch.Config{Groups: make(map[core.Group]patch.Group), Databases: make(map[core.Database]patch.Database), Limits: whole.Limits}
		for i := part; i < n; i += patchCount {
			group, database := core.Group(fmt.Sprint("g", i)), core.Database(fmt.Sprint("orders-", i))
			c.Groups[group], c.Databases[database] = whole.Groups[group], whole.Databases[database]
		}
		if part == patchCount-1 {
			c.Callers = whole.Callers
		}
		body, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		d, err = d.Apply(patch.Request{ID: fmt.Sprint("part-", part), Base: d.Version, Who: "operator", Why: "set up", Patch: body}, now)
		if err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// patchCount is the number of patches in which the first configuration is
// submitted.
const patchCount = 3

// BenchmarkConfiguration measures the size of the document and the cost of one
// small patch: applying it, encoding the document and parsing it again.
func BenchmarkConfiguration(b *testing.B) {
	small := json.RawMessage(`{"databases": {"orders-1": {"kinds": {"series": {"age": "7s"}}}}}`)
	for _, n := range databaseSizes {
		b.Run(fmt.Sprintf("databases=%d", n), func(b *testing.B) {
			first := newDocument(b, n)
			var encoded []byte
			for b.Loop() {
				d, err := first.Apply(patch.Request{ID: "change", Base: first.Version, Who: "operator", Why: "age", Patch: small}, now)
				if err != nil {
					b.Fatal(err)
				}
				if encoded, err = d.Encode(); err != nil {
					b.Fatal(err)
				}
				if _, err := patch.Parse(encoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "document-bytes")
			next, err := first.Apply(patch.Request{ID: "change", Base: first.Version, Who: "operator", Why: "age", Patch: small}, now)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(average(func() { _, _ = first.ApplyEntries(next.EntriesAfter(first.Version)) }), "ns/follow")
		})
	}
}

// platformValueBytes is the largest value that the platform stores.
const platformValueBytes = 1 << 20

// TestDocumentFitsAtTarget bounds the size of the document at the target number
// of databases.
func TestDocumentFitsAtTarget(t *testing.T) {
	is := is.New(t)
	encoded, err := newDocument(t, databaseSizes[len(databaseSizes)-1]).Encode()
	is.NoErr(err)
	t.Logf("%d bytes for %d databases", len(encoded), databaseSizes[len(databaseSizes)-1])
	is.True(len(encoded) <= platformValueBytes)
}
