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
	// isDown reports whether the store answers nothing, and era returns its era; nil if it
	// always answers, in era zero.
	isDown func() bool
	era    func() uint64
	// copied is what a restore brings back.
	copied VersionedValue
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
			stored := f.stored()
			if g != "g" {
				return VersionedValue{Revision: core.Revision{Era: stored.Revision.Era}}, nil
			}
			return stored, nil
		},
		CompareAndSwap: f.swap,
	}
}

func (f *fakeVoterStore) swap(_ context.Context, g core.Group, revision core.Revision, value string) (core.Revision, error) {
	if f.isDown != nil && f.isDown() {
		return core.Revision{}, errStoreDown
	}
	era := f.currentEra()
	f.mu.Lock()
	defer f.mu.Unlock()
	if g != "g" || revision.Era != era || revision.Number != f.value.Revision.Number {
		return core.Revision{}, nil
	}
	f.value = VersionedValue{Revision: core.Revision{Era: era, Number: revision.Number + 1}, Value: value}
	stored := f.value
	for _, offer := range f.offers {
		time.AfterFunc(time.Millisecond, func() { offer(map[core.Group]VersionedValue{"g": stored}) })
	}
	return stored.Revision, nil
}

// currentEra returns the store's era.
func (f *fakeVoterStore) currentEra() uint64 {
	if f.era == nil {
		return 0
	}
	return f.era()
}

// stored returns the value in the era in which it is read.
func (f *fakeVoterStore) stored() VersionedValue {
	era := f.currentEra()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.value
	v.Revision.Era = era
	return v
}

// copy keeps the value for the next restore.
func (f *fakeVoterStore) copy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copied = f.value
}

// restore brings back the copy, in the store's next era.
func (f *fakeVoterStore) restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = f.copied
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
