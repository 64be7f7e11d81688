// Package logpos defines positions in the replicated log of a database group.
//
// An entry is identified by the term under which it was written and its index.
// Indexes are dense and start at 1; the zero Position precedes every entry.
package logpos

import "fmt"

// Position identifies one log entry.
type Position struct {
	// Term is the term of the primary that wrote the entry.
	Term uint64 `cbor:"1,keyasint" json:"term"`
	// Index counts entries from 1.
	Index uint64 `cbor:"2,keyasint" json:"index"`
}

// Less orders positions by term, then by index.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Index < q.Index
}

// IsZero reports whether p precedes every entry.
func (p Position) IsZero() bool { return p == Position{} }

// Covers reports whether a log whose last entry is p contains the confirmed entry q.
// Confirmed entries survive promotions, so a log that ends in the same or a later term
// contains q if it is at least as long. The result is meaningful only if q is confirmed.
func (p Position) Covers(q Position) bool {
	return p.Term >= q.Term && p.Index >= q.Index
}

// Max returns the greater of two positions.
func Max(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// String formats p as term/index.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Index) }

// Parse parses the form that String returns. It fails if s is anything else.
func Parse(s string) (Position, error) {
	var p Position
	var rest string
	n, _ := fmt.Sscanf(s, "%d/%d%s", &p.Term, &p.Index, &rest)
	if n != 2 {
		return Position{}, fmt.Errorf("logpos: %q is not term/index", s)
	}
	return p, nil
}
