package patch

// Source says where an instance learnt of a document.
type Source string

// The sources of documents.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
	SourceOperator Source = "operator"
)

// Verdict is what an instance does with a document.
type Verdict string

// The verdicts on a document.
const (
	// VerdictAdopted means that the document is in force from now on.
	VerdictAdopted Verdict = "adopted"
	// VerdictSame means that its version is in force already.
	VerdictSame Verdict = "same"
	// VerdictOlder means that a higher version is in force; the document is
	// passed over.
	VerdictOlder Verdict = "older"
)

// Adopter decides which document is in force on an instance.
type Adopter struct {
	// held is in force; its version never falls.
	held Document
	// from is where held came from.
	from Source
	// reported is the highest version heard of from each source.
	reported map[Source]uint64
}

// NewAdopter returns an adopter that holds the empty version 0.
func NewAdopter() *Adopter {
	a := &Adopter{reported: make(map[Source]uint64)}
	a.held.Config.normalize()
	return a
}

// Offer decides on a document from any source.
func (a *Adopter) Offer(d Document, s Source) Verdict {
	a.Report(d.Version, s)
	switch {
	case d.Version < a.held.Version:
		return VerdictOlder
	case d.Version == a.held.Version:
		return VerdictSame
	}
	a.held, a.from = d, s
	return VerdictAdopted
}

// Report notes a version that a source tells of without its document.
func (a *Adopter) Report(version uint64, s Source) {
	a.reported[s] = max(a.reported[s], version)
}

// Held returns the document in force.
func (a *Adopter) Held() Document { return a.held }

// From returns where the document in force came from.
func (a *Adopter) From() Source { return a.from }

// Missing returns the highest version heard of when it is above the one in
// force, and zero otherwise.
func (a *Adopter) Missing() uint64 {
	var top uint64
	for _, v := range a.reported {
		top = max(top, v)
	}
	if top > a.held.Version {
		return top
	}
	return 0
}
