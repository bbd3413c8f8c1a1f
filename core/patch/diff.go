package patch

import (
	"encoding/json"
	"fmt"
	"reflect"

	"anviltack/core"
)

// Change is one value that differs between two versions.
type Change struct {
	// Path is the path of the value, names joined by dots.
	Path string `json:"path"`
	// From is the old value, empty if the value was added.
	From json.RawMessage `json:"from,omitempty"`
	// To is the new value, empty if the value was removed.
	To json.RawMessage `json:"to,omitempty"`
}

// secretPlaceholder is shown in place of a secret.
const secretPlaceholder = "(secret)"

// Diff returns the changes between two versions, with secrets hidden.
func (d Document) Diff(from, to uint64) ([]Change, error) {
	a, err := d.ConfigAt(from)
	if err != nil {
		return nil, err
	}
	b, err := d.ConfigAt(to)
	if err != nil {
		return nil, err
	}
	x, err := toJSONTree(a)
	if err != nil {
		return nil, err
	}
	y, err := toJSONTree(b)
	if err != nil {
		return nil, err
	}
	var diff differ
	diff.compare("", x, y)
	return diff.changes, diff.err
}

func toJSONTree(c Config) (any, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("patch: cannot encode the configuration: %w", err)
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, fmt.Errorf("patch: cannot decode the configuration: %w", err)
	}
	return v, nil
}

type differ struct {
	changes []Change
	err     error
}

func (d *differ) compare(path string, a, b any) {
	if reflect.DeepEqual(a, b) {
		return
	}
	x, xok := a.(map[string]any)
	y, yok := b.(map[string]any)
	if !xok || !yok {
		d.changes = append(d.changes, Change{Path: path, From: d.encodeValue(a), To: d.encodeValue(b)})
		return
	}
	names := make(map[string]bool, len(x)+len(y))
	for n := range x {
		names[n] = true
	}
	for n := range y {
		names[n] = true
	}
	for _, n := range sortedNames(names) {
		d.compare(join(path, n), hideSecret(n, x[n]), hideSecret(n, y[n]))
	}
}

// encodeValue encodes a value of a change with its secrets hidden.
func (d *differ) encodeValue(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	b, err := json.Marshal(withoutSecrets(v))
	if err != nil {
		d.err = fmt.Errorf("patch: cannot encode a change: %w", err)
	}
	return b
}

func hideSecret(name string, v any) any {
	if name != secretField {
		return v
	}
	if s, ok := v.(string); ok {
		return secret(s)
	}
	return v
}

// secret is a string that is compared but encoded as a placeholder.
type secret string

// MarshalJSON writes a placeholder.
func (secret) MarshalJSON() ([]byte, error) { return json.Marshal(secretPlaceholder) }

// secretField is the JSON name of a caller's verifier.
const secretField = "secret"

func withoutSecrets(v any) any {
	object, ok := v.(map[string]any)
	if !ok {
		return v
	}
	shown := make(map[string]any, len(object))
	for n, e := range object {
		shown[n] = withoutSecrets(hideSecret(n, e))
	}
	return shown
}

// WithoutSecrets returns a copy with every secret replaced by a placeholder.
func (c Config) WithoutSecrets() Config {
	callers := make(map[core.Caller]Caller, len(c.Callers))
	for n, r := range c.Callers {
		r.Secret = secretPlaceholder
		callers[n] = r
	}
	c.Callers = callers
	return c
}

// EntriesWithoutSecrets returns copies of the entries with every secret in their
// patches replaced by a placeholder and without Undo.
func EntriesWithoutSecrets(entries []Entry) []Entry {
	shown := make([]Entry, 0, len(entries))
	for _, e := range entries {
		e.Patch, e.Undo = hideSecrets(e.Patch), nil
		shown = append(shown, e)
	}
	return shown
}

func hideSecrets(b json.RawMessage) json.RawMessage {
	var v any
	if len(b) == 0 || json.Unmarshal(b, &v) != nil {
		return nil
	}
	shown, err := json.Marshal(withoutSecrets(v))
	if err != nil {
		return nil
	}
	return shown
}
