package configuration

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

// recordOfEra returns the record of version that was written in the given era.
func recordOfEra(version, era uint64) Record {
	r := record(version)
	r.Version, r.Era = version, era
	return r
}

// restoredNode returns node a of a, b and c, which has version 5 of the first era and has read a restored row of
// version 3 at epoch.
func restoredNode(t *testing.T) *State {
	t.Helper()
	s := New("a", longAgo)
	s.SetListed([]string{"a", "b", "c"})
	s.OnRow(platform.Row{Version: 5, Era: 1}, recordOfEra(5, 1), longAgo)
	_, err := s.OnBody(5, recordOfEra(5, 1), body(5))
	must.NoError(t, err)
	s.OnRow(platform.Row{Version: 3, Era: 2}, recordOfEra(3, 1), epoch)
	return s
}

// TestWriteBackOfWhatMayBeReplaced guards against a node that writes back an older configuration than the newest one
// accepted.
func TestWriteBackOfWhatMayBeReplaced(t *testing.T) {
	asked := epoch.Add(WriteBackDelay)
	for name, change := range map[string]func(s *State){
		"no majority":             func(*State) {},
		"majority from before":    func(s *State) { s.OnReport("b", Report{Version: 5, Vouches: true}, asked.Add(-1)) },
		"peer with a newer one":   func(s *State) { s.OnReport("b", Report{Version: 6, Vouches: true}, asked) },
		"peer that has forgotten": func(s *State) { s.OnReport("b", Report{Version: 5}, asked) },
		"row with a newer one": func(s *State) {
			s.OnReport("b", Report{Version: 5, Vouches: true}, asked)
			s.OnRow(platform.Row{Version: 6, Era: 2}, recordOfEra(6, 1), asked)
		},
		"written back already": func(s *State) {
			s.OnReport("b", Report{Version: 5, Vouches: true}, asked)
			s.OnRow(platform.Row{Version: 4, Era: 2}, recordOfEra(VersionAfterRestore(5, 2), 2), asked)
		},
		"restored again": func(s *State) {
			s.OnReport("b", Report{Version: 5, Vouches: true}, asked)
			s.OnRow(platform.Row{Version: 3, Era: 3}, recordOfEra(3, 1), asked)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := restoredNode(t)
			change(s)
			_, due := s.NextWriteBack(asked)
			must.False(t, due)
		})
	}
	s := restoredNode(t)
	s.OnReport("c", Report{Version: 4, Vouches: true}, asked)
	_, due := s.NextWriteBack(asked.Add(-1))
	must.False(t, due)
	write, due := s.NextWriteBack(asked)
	must.True(t, due)
	must.Eq(t, WriteBack{
		RowVersion: 3, Era: 2, From: 5, Version: VersionAfterRestore(5, 2), Record: recordOfEra(5, 1), Body: body(5),
	}, write)
}

// TestLostVersionKeptAfterRestore guards against a node that keeps versions which were never accepted and which the store
// has lost, because the store gives their numbers out again.
func TestLostVersionKeptAfterRestore(t *testing.T) {
	s := restoredNode(t)
	for version := uint64(6); version < 9; version++ {
		_, err := s.OnBody(version, recordOfEra(version, 1), body(version))
		must.NoError(t, err)
	}
	version := VersionAfterRestore(5, 2)
	later := epoch.Add(time.Minute)
	s.OnRow(platform.Row{Version: 4, Era: 2}, recordOfEra(version, 2), later)
	must.False(t, s.IsFresh(later))
	fetch, due := s.NextFetch(later)
	must.True(t, due)
	_, err := s.OnBody(version, fetch.Record, body(version))
	must.NoError(t, err)
	must.True(t, s.IsFresh(later))
}

func TestVersionsGrowWithEras(t *testing.T) {
	newest := uint64(5)
	for era := uint64(2); era < 6; era++ {
		version := VersionAfterRestore(newest, era)
		must.Greater(t, newest, version)
		must.Greater(t, VersionAfterRestore(newest+1000, era-1), version)
		newest = version + 7
	}
	must.Greater(t, 3*versionsPerEra+5, VersionAfterRestore(3*versionsPerEra+5, 2))
}

// TestInvalidRestoredRowIsReplaced guards against a fleet that can't be changed after a restore because the
// restored row names a configuration that no node puts in force.
func TestInvalidRestoredRowIsReplaced(t *testing.T) {
	s := restoredNode(t)
	invalid := []byte("token_secret = 'short'")
	r := Record{Body: platform.HashName(invalid), Version: 6, Era: 1}
	s.OnRow(platform.Row{Version: 6, Era: 2}, r, epoch)
	_, err := s.OnBody(6, r, invalid)
	must.Error(t, err)
	asked := epoch.Add(WriteBackDelay)
	s.OnReport("b", Report{Version: 5, Vouches: true}, asked)
	_, due := s.NextWriteBack(asked)
	must.True(t, due)
}
