package patch

// Source is where an instance received a document from.
type Source string

// The sources of documents.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
	SourceOperator Source = "operator"
)

// Verdict is the decision of an Adopter on a document.
type Verdict string

// The verdicts on a document.
const (
	// VerdictAdopted means that the document is now in force.
	VerdictAdopted Verdict = "adopted"
	// VerdictSame means that its version was already in force.
	VerdictSame Verdict = "same"
	// VerdictOlder means that a higher version is in force; the document is
	// ignored.
	VerdictOlder Verdict = "older"
)

// Adopter decides which document is in force on an instance.
type Adopter struct {
	// current is the document in force; its version never decreases.
	current Document
	// source is where current came from.
	source Source
	// highestSeen is the highest version seen from each source.
	highestSeen map[Source]uint64
}

// NewAdopter returns an adopter with the empty version 0 in force.
func NewAdopter() *Adopter {
	a := &Adopter{highestSeen: make(map[Source]uint64)}
	a.current.Config.normalize()
	return a
}

// TryAdopt adopts a document if its version is above the one in force.
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

// RecordVersion records a version that a source announced without its document.
func (a *Adopter) RecordVersion(version uint64, s Source) {
	a.highestSeen[s] = max(a.highestSeen[s], version)
}

// Current returns the document in force.
func (a *Adopter) Current() Document { return a.current }

// CurrentSource returns the source of the document in force.
func (a *Adopter) CurrentSource() Source { return a.source }

// MissingVersion returns the highest version seen if it is above the one in
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
