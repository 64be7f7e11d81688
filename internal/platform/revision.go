package platform

import "cmp"

// Revision is a position in the store's sequence of versions. A store that was restored from a copy
// assigns the versions after the copy a second time, so versions are comparable only within one
// era. Every revision of a later era follows every one of an earlier era.
type Revision struct {
	// Era grows with each restore of the store; 0 if the store does not state it.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// Version is assigned by the store; 0 precedes every version.
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or 1 if r precedes, equals or follows other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// Precedes reports whether r is older than other.
func (r Revision) Precedes(other Revision) bool { return r.Compare(other) < 0 }
