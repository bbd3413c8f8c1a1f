package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"anviltack/standin/control"
)

// registration is the body of a request to register an instance.
type registration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	var reg registration
	if err := json.NewDecoder(r.Body).Decode(&reg); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reg.ID == "" {
		reg.ID = reg.Name
	}
	p.setServices(reg.ID, &reg)
}

func (p *Platform) serveDeregister(w http.ResponseWriter, r *http.Request) {
	p.setServices(r.PathValue("id"), nil)
	w.WriteHeader(http.StatusOK)
}

// setServices replaces or removes one registration; the list in answers changes
// after the ListLag of the fault.
func (p *Platform) setServices(id string, reg *registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(p.services), func(s registration) bool { return s.ID == id })
	if reg != nil {
		list = append(list, *reg)
	}
	p.services = list
	publish := func() {
		p.visibleServices = list
		p.visibleIndex = p.advanceIndex()
	}
	lag := time.Duration(p.fault.ListLag)
	if lag == 0 {
		publish()
		return
	}
	time.AfterFunc(lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		publish()
	})
}

// Service is one instance in the instance list.
type Service struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

// Check is the health of one instance.
type Check struct{ Status string }

// Health is one entry of the instance list.
type Health struct {
	Service Service
	Checks  []Check
}

func (p *Platform) serveHealth(w http.ResponseWriter, r *http.Request) {
	after, timeout, ok := parseWatch(w, r.URL.Query())
	if !ok {
		return
	}
	out := []Health{}
	index := uint64(0)
	p.watch(r, timeout, func() bool {
		out, index = out[:0], p.visibleIndex
		for _, s := range p.visibleServices {
			if s.Name != r.PathValue("name") {
				continue
			}
			out = append(out, Health{
				Service: Service{ID: s.ID, Service: s.Name, Address: s.Address, Port: s.Port, Meta: s.Meta},
				Checks:  []Check{{Status: "passing"}},
			})
		}
		return after == 0 || index > after
	})
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	control.WriteJSON(w, out)
}
