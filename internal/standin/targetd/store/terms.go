package store

import (
	"context"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// Adopt adopts term for orderer, the proxy node that runs the promotion in that term. Once it
// returns, nothing of a lower term is committed. A former primary still returns its log to
// replicas that follow it in the term in which it was promoted. Adopt returns
// ErrTermConflict if a higher term was adopted before, or the same term for another orderer.
func (s *Store) Adopt(term uint64, orderer string) (target.Status, error) {
	status, fenced, err := s.adopt(term, orderer)
	if fenced != nil {
		fenced.abort(ErrTxFenced)
	}
	return status, err
}

func (s *Store) adopt(term uint64, orderer string) (target.Status, *Tx, error) {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if term < s.meta.Term || term == s.meta.Term && orderer != s.meta.Orderer {
		return s.status(), nil, ErrTermConflict
	}
	if term == s.meta.Term {
		return s.status(), nil, nil
	}
	next := s.meta
	next.Term = term
	next.Orderer = orderer
	if err := s.setMeta(next); err != nil {
		return s.status(), nil, err
	}
	return s.status(), s.openTx, nil
}

// Promote makes the target the primary of term and writes the term's first entry. It returns
// ErrTermConflict unless the target has adopted term for orderer. A repeated call has no
// further effect.
func (s *Store) Promote(ctx context.Context, term uint64, orderer string) (target.Status, error) {
	if s.isPrimaryOf(term, orderer) {
		return s.Status(), nil
	}
	if err := s.lockWriter(ctx); err != nil {
		return s.Status(), err
	}
	defer s.unlockWriter()
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if s.meta.Term != term || s.meta.Orderer != orderer {
		return s.status(), ErrTermConflict
	}
	if s.meta.LedTerm == term {
		return s.status(), nil
	}
	next := s.meta
	next.LedTerm = term
	next.Following = ""
	next.Matched = false
	if err := s.setMeta(next); err != nil {
		return s.status(), err
	}
	err := s.writeFirstEntry()
	s.notify()
	return s.status(), err
}

// isPrimaryOf reports whether the target is the primary of term for orderer. It does not need
// the writer lock, so that a repeated promotion does not wait for clients' transactions.
func (s *Store) isPrimaryOf(term uint64, orderer string) bool {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	return s.meta.LedTerm == term && s.meta.Term == term && s.meta.Orderer == orderer
}

// writeFirstEntry appends an empty entry, the first of the term in which the target was
// promoted. The caller holds commitMu, or has the store to itself.
func (s *Store) writeFirstEntry() error {
	position := logpos.Position{Term: s.meta.Term, Index: s.Position().Index + 1}
	if err := s.data.appendEntry(position, nil); err != nil {
		return AsError(err)
	}
	s.position.Store(&position)
	return nil
}

// Follow makes the target a replica of the primary at address in term. The target refuses
// reads until its log has been compared with the primary's. Follow returns ErrTermConflict
// if a higher term was adopted before, or if the target was promoted in term itself.
func (s *Store) Follow(term uint64, address string) (target.Status, error) {
	status, fenced, err := s.follow(term, address)
	if fenced != nil {
		fenced.abort(ErrTxFenced)
	}
	return status, err
}

func (s *Store) follow(term uint64, address string) (target.Status, *Tx, error) {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if term < s.meta.Term || s.meta.LedTerm == term {
		return s.status(), nil, ErrTermConflict
	}
	if s.meta.FollowTerm == term && s.meta.Following == address {
		return s.status(), nil, nil
	}
	next := s.meta
	if term > next.Term {
		next.Term = term
		next.Orderer = ""
	}
	next.Matched = next.Matched && next.FollowTerm == term
	next.LedTerm = 0
	next.Following = address
	next.FollowTerm = term
	if err := s.setMeta(next); err != nil {
		return s.status(), nil, err
	}
	s.RecordContact()
	return s.status(), s.openTx, nil
}

// MarkMatched records that the log is a prefix of the log of the primary that the target
// follows in term. It returns ErrTermConflict if the target no longer follows in term.
func (s *Store) MarkMatched(term uint64) error {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if !s.meta.canPull() || s.meta.Term != term {
		return ErrTermConflict
	}
	if s.meta.Matched {
		return nil
	}
	next := s.meta
	next.Matched = true
	return s.setMeta(next)
}

// setMeta writes next to the file and then makes it the current metadata. The caller holds
// commitMu.
func (s *Store) setMeta(next meta) error {
	if err := next.save(s.dir); err != nil {
		return err
	}
	s.meta = next
	s.serving.Store(next.canServeReads())
	s.notify()
	return nil
}
