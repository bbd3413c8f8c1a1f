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
	// current is in force; its version never falls.
	current Document
	// source is where held came source.
	source Source
	// highestSeen is the highest version heard of from each source.
	highestSeen map[Source]uint64
}

// NewAdopter returns an adopter that holds the empty version 0.
func NewAdopter() *Adopter {
	a := &Adopter{highestSeen: make(map[Source]uint64)}
	a.current.Config.normalize()
	return a
}

// TryAdopt decides on a document from any source.
func (a *Adopter) TryAdopt(d Document, s Source) Verdict {
	a.RecordVersion(d.Version, s)
	switch {
	case d.Version < a.current.Version:
		return VerdictOlder
	case d.Version == a.current.Version:
		return VerdictSame
	}
	a.current, a.source = d, s
	return VerdictAdopted
}

// RecordVersion notes a version that a source tells of without its document.
func (a *Adopter) RecordVersion(version uint64, s Source) {
	a.highestSeen[s] = max(a.highestSeen[s], version)
}

// Current returns the document in force.
func (a *Adopter) Current() Document { return a.current }

// CurrentSource returns where the document in force came from.
func (a *Adopter) CurrentSource() Source { return a.source }

// MissingVersion returns the highest version heard of when it is above the one in
// force, and zero otherwise.
func (a *Adopter) MissingVersion() uint64 {
	var highest uint64
	for _, v := range a.highestSeen {
		highest = max(highest, v)
	}
	if highest > a.current.Version {
		return highest
	}
	return 0
}
