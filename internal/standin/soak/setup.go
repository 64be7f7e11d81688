package soak

import (
	"maps"

	"crocusyoke/internal/standin/hosted"
)

// setup is what a caller has set up in its session, as far as it was acknowledged.
type setup struct {
	// settings is replaced, not changed: statements that were sent refer to it.
	settings map[string]string
	prepared map[string]hosted.Prepared
}

func newSetup() setup {
	return setup{settings: map[string]string{}, prepared: map[string]hosted.Prepared{}}
}

func (s *setup) set(name, value string) {
	s.settings = maps.Clone(s.settings)
	s.settings[name] = value
}

// request is one statement as a caller means it.
type request struct {
	text string
	// isSetup is set if the statement concerns only the session, and apply then notes that it was
	// acknowledged.
	isSetup bool
	apply   func(*setup)
	// isExec is set if the statement runs prepared, with arguments. prepared is nil if the name is unknown.
	isExec    bool
	prepared  *hosted.Prepared
	arguments string
	// namesKnown is set if the statement names a prepared statement that the caller has.
	namesKnown bool
	// mayNotRun is set if no target may run the statement.
	mayNotRun bool
	// begins and commits are set for the BEGIN and the COMMIT of transaction.
	begins, commits bool
	// item is what the statement writes, empty if it writes nothing.
	item string
	// transaction is the one that the statement belongs to, nil if it is single. position is its place
	// in it, from 1 on; single statements have 1.
	transaction *transaction
	position    int
}

// in returns the request as one of a transaction; a nil one leaves it single.
func (r request) in(tx *transaction, position int) request {
	r.transaction, r.position = tx, position
	return r
}

func setRequest(name, value string) request {
	return request{text: "SET " + name + " " + value, isSetup: true, apply: func(s *setup) { s.set(name, value) }}
}

func prepareRequest(name string, p hosted.Prepared) request {
	return request{text: "PREPARE " + name + " " + p.Kind + " " + p.Shape, isSetup: true, apply: func(s *setup) { s.prepared[name] = p }}
}

func (s *setup) deallocRequest(name string) request {
	_, known := s.prepared[name]
	return request{text: "DEALLOC " + name, isSetup: true, namesKnown: known, apply: func(s *setup) { delete(s.prepared, name) }}
}

// execRequest returns the request that runs what name is prepared as.
func (s *setup) execRequest(name, arguments string) request {
	r := request{text: "EXEC " + name + " " + arguments, isExec: true, arguments: arguments}
	if prepared, ok := s.prepared[name]; ok {
		r.prepared, r.namesKnown = &prepared, true
	}
	return r
}
