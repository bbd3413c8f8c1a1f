package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func waiter(id uint64, priority int, due time.Duration) Waiter {
	return Waiter{ID: id, Priority: priority, Deadline: epoch.Add(due), MaxWait: time.Second}
}

func drain(q *Queue) []uint64 {
	var ids []uint64
	for {
		w, ok := q.Pop(epoch, nil)
		if !ok {
			return ids
		}
		ids = append(ids, w.ID)
	}
}

// TestOrder checks the order: by priority, then by deadline, then by arrival.
func TestOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	is.True(q.Add(epoch, waiter(1, 2, 600*time.Millisecond), 1))
	is.True(q.Add(epoch, waiter(2, 2, 400*time.Millisecond), 1))
	is.True(q.Add(epoch, waiter(3, 2, 400*time.Millisecond), 1))
	is.True(q.Add(epoch, waiter(4, 1, 900*time.Millisecond), 1))
	is.Equal(drain(&q), []uint64{4, 2, 3, 1})
}

// TestRefusesAtOnce covers both replicas of a group lagging, which sends the primary
// more than it can serve: a statement that cannot meet its deadline must be rejected on
// arrival, or it makes all others late.
func TestRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	const connections, limit = 2, 200 * time.Millisecond
	var q Queue
	for range 200 {
		q.ObserveServiceTime(50 * time.Millisecond)
	}
	admitted := 0
	for id := uint64(1); id <= 100; id++ {
		w := waiter(id, 2, time.Second)
		w.MaxWait = limit
		if q.Add(epoch, w, connections) {
			admitted++
		}
	}
	is.Equal(admitted, int(limit*connections/q.ServiceTime()))
	urgent := waiter(101, 1, time.Second)
	urgent.MaxWait = limit
	is.True(q.Add(epoch, urgent, connections)) // goes before all of them
	is.Equal(drain(&q)[0], uint64(101))
}

// TestRemove removes a waiter that stopped waiting.
func TestRemove(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.Add(epoch, waiter(1, 1, 0), 1)
	q.Add(epoch, waiter(2, 1, 0), 1)
	is.True(q.Remove(1))
	is.True(!q.Remove(1))
	is.Equal(drain(&q), []uint64{2})
}

// TestQueueProperties checks that each admitted waiter is served exactly once and in
// order, for any order of arrival.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		in := 0
		for id := range uint64(rapid.IntRange(0, 50).Draw(t, "waiters")) {
			w := waiter(id, rapid.IntRange(0, 3).Draw(t, "priority"), time.Duration(rapid.IntRange(0, 5).Draw(t, "due"))*time.Millisecond)
			if q.Add(epoch, w, 2) {
				in++
			}
		}
		last, ok := q.Pop(epoch, nil)
		for n := 0; n < in; n++ {
			if !ok {
				t.Fatalf("%d of %d came out", n, in)
			}
			next, more := q.Pop(epoch, nil)
			if more && (compareWaiters(last, next) > 0 || compareWaiters(last, next) == 0 && last.ID > next.ID) {
				t.Fatalf("%v before %v", last, next)
			}
			last, ok = next, more
		}
		if ok {
			t.Fatal("more came out than went in")
		}
	})
}
