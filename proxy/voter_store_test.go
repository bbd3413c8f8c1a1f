package proxy

import (
	"context"
	"sync"
	"time"

	"anviltack/core"
	"anviltack/core/voter"
)

// fakeVoterStore holds the voters of group g in memory.
type fakeVoterStore struct {
	mu     sync.Mutex
	value  VersionedValue
	offers []func(map[core.Group]VersionedValue)
	// isDown reports whether the store answers nothing; nil if it always answers.
	isDown func() bool
}

// newFakeVoterStore returns a store whose voters are the given endpoints, empty without any.
func newFakeVoterStore(voters ...Endpoint) *fakeVoterStore {
	f := &fakeVoterStore{}
	var list []voter.Endpoint
	for _, e := range voters {
		list = append(list, voter.Endpoint{Voter: voter.Voter{Name: e.Name, Started: e.StartedAt, Address: e.Address}})
	}
	if len(list) > 0 {
		f.value = VersionedValue{Revision: core.Revision{Number: 1}, Value: voter.New(list).String()}
	}
	return f
}

// dependency returns the store as a dependency of an instance.
func (f *fakeVoterStore) dependency() VoterStore {
	return VoterStore{
		Watch: func(ctx context.Context, offer func(map[core.Group]VersionedValue)) error {
			f.mu.Lock()
			f.offers = append(f.offers, offer)
			value := f.value
			f.mu.Unlock()
			if value.Revision.Number > 0 {
				offer(map[core.Group]VersionedValue{"g": value})
			}
			<-ctx.Done()
			return ctx.Err()
		},
		Get: func(_ context.Context, g core.Group) (VersionedValue, error) {
			if f.isDown != nil && f.isDown() {
				return VersionedValue{}, errStoreDown
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if g != "g" {
				return VersionedValue{}, nil
			}
			return f.value, nil
		},
		CompareAndSwap: f.swap,
	}
}

func (f *fakeVoterStore) swap(_ context.Context, g core.Group, revision core.Revision, value string) (core.Revision, error) {
	if f.isDown != nil && f.isDown() {
		return core.Revision{}, errStoreDown
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if g != "g" || revision != f.value.Revision {
		return core.Revision{}, nil
	}
	f.value = VersionedValue{Revision: core.Revision{Era: revision.Era, Number: revision.Number + 1}, Value: value}
	stored := f.value
	for _, offer := range f.offers {
		time.AfterFunc(time.Millisecond, func() { offer(map[core.Group]VersionedValue{"g": stored}) })
	}
	return stored.Revision, nil
}

// set returns the stored set.
func (f *fakeVoterStore) set() voter.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := voter.Parse(f.value.Value)
	if err != nil {
		return voter.Set{}
	}
	return s
}
