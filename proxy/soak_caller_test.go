package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"anviltack/clock"
	"anviltack/core"
)

// soakCaller is a caller with a session at an instance.
type soakCaller struct {
	soak      *soak
	random    *rand.Rand
	name      string
	freshness Freshness
	number    int
	own       []string
	session   *testCaller
}

// runCaller opens one session after another until ctx ends.
func (s *soak) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(uint64(number), 7))
	for round := 0; ctx.Err() == nil; round++ {
		freshness := []Freshness{FreshnessNewest, FreshnessBounded, FreshnessSession}[random.IntN(3)]
		s.mu.Lock()
		p := s.instances[random.IntN(len(s.instances))]
		s.mu.Unlock()
		sim := &simulation{proxy: p, callers: map[string]*testCaller{}}
		c := &soakCaller{soak: s, random: random, name: fmt.Sprintf("c%d-%d", number, round), freshness: freshness}
		c.session = sim.open(c.name, core.Database(freshness))
		for range 20 {
			if ctx.Err() != nil || !c.operate() {
				break
			}
			time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
		}
		close(c.session.statements)
		<-c.session.ended
	}
}

// operate runs one operation and reports whether the session goes on.
func (c *soakCaller) operate() bool {
	switch c.random.IntN(4) {
	case 0:
		id := c.newStatement(KindWrite)
		a := c.send(id, KindWrite)
		c.recordWrites(a, id)
		return !errors.Is(a.Err, errDisconnected)
	case 1:
		return c.transact()
	default:
		id := c.newStatement(KindRead)
		a := c.send(id, KindRead)
		c.checkRead(id, a)
		return !errors.Is(a.Err, errDisconnected)
	}
}

// transact runs a transaction with two writes.
func (c *soakCaller) transact() bool {
	if a := c.send(c.newStatement(KindBegin), KindBegin); a.Err != nil {
		return !errors.Is(a.Err, errDisconnected)
	}
	var ids []string
	for range 2 {
		id := c.newStatement(KindWrite)
		ids = append(ids, id)
		if a := c.send(id, KindWrite); a.Err != nil {
			c.recordWrites(a, ids...)
			return false
		}
	}
	a := c.send(c.newStatement(KindCommit), KindCommit)
	c.recordWrites(a, ids...)
	return !errors.Is(a.Err, errDisconnected)
}

// newStatement records a statement before it is sent and returns its id.
func (c *soakCaller) newStatement(Kind) string {
	c.number++
	id := c.name + "." + strconv.Itoa(c.number)
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	c.soak.operations[id] = &soakOperation{sentAt: clock.Now(), freshness: c.freshness, own: slices.Clone(c.own)}
	return id
}

func (c *soakCaller) send(id string, kind Kind) Answer {
	return c.session.send(Statement{ID: id, Kind: kind})
}

// recordWrites records the outcome of writes as the caller was answered.
func (c *soakCaller) recordWrites(a Answer, ids ...string) {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	for _, id := range ids {
		switch {
		case a.Err == nil:
			c.soak.writes++
			c.soak.acknowledged[id] = clock.Now()
			c.own = append(c.own, id)
		case errors.Is(a.Err, errDisconnected), asError(a.Err).Code == core.CodeOutcomeUnknown:
		default:
			c.soak.rejected[id] = true
		}
	}
}

// checkRead checks the answer to a read.
func (c *soakCaller) checkRead(id string, a Answer) {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	if a.Err != nil {
		return
	}
	if !strings.HasPrefix(a.Proof, id+" by ") || !slices.Equal(a.Rows, []string{id}) {
		c.soak.recordViolation("read %s was answered with %v %q", id, a.Rows, a.Proof)
	}
	if o := c.soak.operations[id]; o.missing != "" {
		c.soak.recordViolation("%s read %s missed write %s", o.freshness, id, o.missing)
	}
}
