package core

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Revision identifies a state of a key in the platform's store. The store counts its
// changes. When it is restored from an older copy, a new era begins in which it gives
// out again the numbers that the copy lacks.
type Revision struct {
	// Era counts the store's restores and never decreases; zero for a store that
	// reports none.
	Era uint64
	// Number is the number of the change within the era; zero stands for a key that
	// does not exist.
	Number uint64
}

// Compare orders revisions by era and then by number.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

const (
	// tokenNumberBits is the size of the number in a fencing token.
	tokenNumberBits = 40
	// tokenBits is the size of a fencing token: peers that decode JSON numbers as
	// floating point keep 53 bits.
	tokenBits = 53
)

// Token returns the revision as a fencing token that rises with the revision.
func (r Revision) Token() (uint64, error) {
	if r.Number >= 1<<tokenNumberBits || r.Era >= 1<<(tokenBits-tokenNumberBits) {
		return 0, fmt.Errorf("core: revision %s is too large for a fencing token", r)
	}
	return r.Era<<tokenNumberBits | r.Number, nil
}

// ParseRevision parses the format that String returns.
func ParseRevision(text string) (Revision, error) {
	era, number, _ := strings.Cut(text, ".")
	e, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		return Revision{}, fmt.Errorf("core: %q is not a revision: %w", text, err)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Revision{}, fmt.Errorf("core: %q is not a revision: %w", text, err)
	}
	return Revision{Era: e, Number: n}, nil
}

// String returns the revision as "era.number" in decimal.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Number) }
