package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"anviltack/core"
	"anviltack/core/patch"
	"anviltack/io/caller"
)

// Credentials and limits of the demo.
const (
	callerName             = "caller"
	callerPassword         = "demo-password"
	callerSalt             = "demo-salt-16-byt"
	operatorToken          = "demo-token"
	statementDeadline      = 5 * time.Second
	transactionIdleTimeout = 10 * time.Second
	queueLimit             = 200
)

// settings returns the settings file of an entry instance.
func (h *harness) settings(e *instanceProcess) ([]byte, error) {
	s := struct {
		Instance   string   `json:"instance"`
		DataCentre string   `json:"data_centre"`
		Callers    string   `json:"callers"`
		Operators  string   `json:"operators"`
		Peers      string   `json:"peers"`
		Platform   []string `json:"platform"`
		Seeds      []string `json:"seeds"`
		Token      string   `json:"token"`
		User       string   `json:"user"`
		Sample     string   `json:"sample,omitempty"`
	}{
		Instance:   e.name,
		DataCentre: string(e.dataCentre),
		Callers:    e.callerAddress.String(),
		Operators:  e.operatorAddress.String(),
		Peers:      e.peerAddress.String(),
		Platform:   []string{h.platformAddress.String()},
		Seeds:      []string{},
		Token:      operatorToken,
		User:       "anviltack-" + string(e.dataCentre),
		Sample:     h.sampleInterval,
	}
	for _, other := range h.instances {
		if other != e {
			s.Seeds = append(s.Seeds, other.peerAddress.String())
		}
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	return text, nil
}

// config returns the configuration of the site.
func (h *harness) config() (patch.Config, error) {
	secret, err := caller.Verifier(callerPassword, []byte(callerSalt))
	if err != nil {
		return patch.Config{}, err
	}
	c := patch.Config{
		Groups:    make(map[core.Group]patch.Group),
		Databases: make(map[core.Database]patch.Database),
		Callers:   make(map[core.Caller]patch.Caller),
		Limits: patch.Limits{
			Deadline:        patch.Duration(statementDeadline),
			TransactionIdle: patch.Duration(transactionIdleTimeout),
			Queue:           queueLimit,
		},
	}
	kinds := make(map[core.Kind]patch.Kind)
	for name, age := range h.site.Kinds {
		kinds[name] = patch.Kind{Age: patch.Duration(age)}
	}
	login := patch.Caller{Secret: secret}
	for g := range h.site.Groups {
		name := h.site.groupName(g)
		group := patch.Group{Endpoints: make(map[core.Endpoint]patch.Endpoint)}
		for _, m := range h.endpoints {
			if m.group != g {
				continue
			}
			group.Endpoints[core.Endpoint(m.name)] = patch.Endpoint{
				Address:     m.statementAddress,
				DataCentre:  m.dataCentre,
				Slots:       h.site.Slots,
				Connections: h.site.Connections,
			}
		}
		c.Groups[core.Group(name)] = group
		c.Databases[core.Database(name)] = patch.Database{Group: core.Group(name), Kinds: kinds}
		login.Databases = append(login.Databases, core.Database(name))
	}
	c.Callers[callerName] = login
	return c, nil
}

// putConfig stores the first version of the configuration on the platform.
func (h *harness) putConfig() error {
	c, err := h.config()
	if err != nil {
		return err
	}
	text, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	document, err := patch.Document{}.Apply(patch.Request{
		ID:    "first",
		Who:   "demo",
		Why:   "first configuration of the site",
		Patch: text,
	}, time.Now())
	if err != nil {
		return err
	}
	return h.put(h.platformAddress, "/v1/kv/"+patch.Key+"?cas=0", document, "true")
}

// probe runs one statement in each database through an entry instance.
func (h *harness) probe(ctx context.Context, e *instanceProcess) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for g := range h.site.Groups {
		config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", e.callerAddress, h.site.groupName(g)))
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		config.User, config.Password = callerName, callerPassword
		conn, err := pgx.ConnectConfig(ctx, config)
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		_, err = conn.Exec(ctx, "SELECT count(*) FROM item")
		_ = conn.Close(ctx)
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
	}
	return nil
}
