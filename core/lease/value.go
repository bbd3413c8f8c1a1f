package lease

import (
	"net/url"
	"strconv"
	"strings"
	"unicode"
)

const (
	// releasedWord ends the text of a lease that its holder released.
	releasedWord = "over"
	// noHolder stands for the holder of a lease that was never acquired in its era.
	noHolder = "-"
	// escapeMark begins a holder whose name is escaped.
	escapeMark = "%"
)

// Value is the stored value of a promotion lease.
type Value struct {
	// Holder is the instance that acquired the lease; empty in the value that begins
	// an era.
	Holder string
	// Nonce distinguishes the leases of one holder.
	Nonce string
	// Era is the store's era in which the value was written. After a restore the store
	// may hold a value of an earlier era.
	Era uint64
	// Released is true if no promotion under the lease can still take effect.
	Released bool
}

// EraValue returns the value by which an instance records that all leases of earlier
// eras have expired.
func EraValue(era uint64) Value { return Value{Era: era, Released: true} }

// String returns the text that is stored: the holder, the nonce, the era unless it is
// zero, and a last word if the lease was released.
func (v Value) String() string {
	words := []string{formatHolder(v.Holder), v.Nonce}
	if v.Holder == "" {
		words = []string{noHolder, noHolder}
	}
	if v.Era > 0 {
		words = append(words, strconv.FormatUint(v.Era, 10))
	}
	if v.Released {
		words = append(words, releasedWord)
	}
	return strings.Join(words, " ")
}

// ParseValue parses a stored text. A text that no instance writes is a lease of an
// unknown holder.
func ParseValue(text string) Value {
	words := strings.Fields(text)
	var v Value
	if n := len(words); n > 0 && words[n-1] == releasedWord {
		v.Released, words = true, words[:n-1]
	}
	if len(words) == 3 {
		era, err := strconv.ParseUint(words[2], 10, 64)
		if err != nil {
			return Value{}
		}
		v.Era, words = era, words[:2]
	}
	switch len(words) {
	case 1:
		v.Holder = words[0]
	case 2:
		v.Holder, v.Nonce = words[0], words[1]
	default:
		return Value{}
	}
	if v.Holder == noHolder {
		v.Holder, v.Nonce = "", ""
	}
	escaped, ok := strings.CutPrefix(v.Holder, escapeMark)
	if !ok {
		return v
	}
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return Value{}
	}
	v.Holder = name
	return v
}

// formatHolder returns a holder's name as one word that stands for no other holder.
func formatHolder(name string) string {
	if name == noHolder || strings.HasPrefix(name, escapeMark) || strings.ContainsFunc(name, unicode.IsSpace) {
		return escapeMark + url.PathEscape(name)
	}
	return name
}
