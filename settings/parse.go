package settings

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/tailscale/hujson"
)

// parser collects the values and the problems of one settings file.
type parser struct {
	text     []byte
	settings Settings
	// seen holds the names of the settings read so far.
	seen   map[string]bool
	faults []Fault
}

func (p *parser) parseObject(o *hujson.Object) {
	p.seen = make(map[string]bool, len(o.Members))
	for _, m := range o.Members {
		var name string
		if l, ok := m.Name.Value.(hujson.Literal); ok {
			name = l.String()
		}
		line := 1 + bytes.Count(p.text[:m.Name.StartOffset], []byte("\n"))
		p.parseMember(name, line, m.Value)
	}
}

func (p *parser) parseMember(name string, line int, v hujson.Value) {
	e, ok := lookup(name)
	if !ok {
		p.addFault(Fault{Line: line, Name: name, Problem: "unknown setting", Allowed: strings.Join(Names(), ", ")})
		return
	}
	if p.seen[name] {
		p.addFault(Fault{Line: line, Name: name, Problem: "stated twice", Allowed: "once"})
		return
	}
	p.seen[name] = true
	values, ok := scalarTexts(v)
	if !ok || (!e.list && len(values) != 1) {
		p.addFault(Fault{Line: line, Name: name, Problem: "wrong type", Allowed: e.Allowed})
		return
	}
	if err := e.set(&p.settings, values); err != nil {
		p.addFault(Fault{Line: line, Name: name, Problem: err.Error(), Allowed: e.Allowed})
	}
}

// applyDefaults sets the defaults of settings that the file leaves out and reports
// missing required settings.
func (p *parser) applyDefaults() {
	for _, e := range table {
		if p.seen[e.Name] {
			continue
		}
		if e.required {
			p.addFault(Fault{Name: e.Name, Problem: "missing", Allowed: e.Allowed})
			continue
		}
		if e.Default == "" {
			continue
		}
		if err := e.set(&p.settings, []string{e.Default}); err != nil {
			p.addFault(Fault{Name: e.Name, Problem: "bad default: " + err.Error()})
		}
	}
}

func (p *parser) addFault(f Fault) {
	p.faults = append(p.faults, f)
}

// scalarTexts returns the texts of a string, of a number or of an array of them.
func scalarTexts(v hujson.Value) ([]string, bool) {
	switch v := v.Value.(type) {
	case hujson.Literal:
		s, ok := scalarText(v)
		return []string{s}, ok
	case *hujson.Array:
		values := make([]string, 0, len(v.Elements))
		for _, e := range v.Elements {
			l, ok := e.Value.(hujson.Literal)
			if !ok {
				return nil, false
			}
			s, ok := scalarText(l)
			if !ok {
				return nil, false
			}
			values = append(values, s)
		}
		return values, true
	}
	return nil, false
}

// scalarText returns the text of a string or a number.
func scalarText(l hujson.Literal) (string, bool) {
	switch l.Kind() {
	case '"':
		var s string
		err := json.Unmarshal(l, &s)
		return s, err == nil
	case '0':
		return string(l), true
	}
	return "", false
}
