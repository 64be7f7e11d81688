package store

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"
)

const (
	metaFile  = "term.json"
	firstTerm = 1
)

// meta is a target's persistent state apart from its database. A change is written to the
// file before any answer depends on it.
type meta struct {
	// File is the name of the SQLite file in use. FileCount is the number of file names
	// that have been assigned, so that none is used twice.
	File      string `json:"file"`
	FileCount int    `json:"files"`
	// Term is the highest term that the target has adopted. Orderer is the proxy node for
	// which it adopted Term and which alone may promote the target in it. Orderer is empty
	// in the first term and in a term that the target learned from Follow.
	Term    uint64 `json:"term"`
	Orderer string `json:"orderer"`
	// LedTerm is the last term in which the target was promoted to primary, or 0 once it
	// follows another primary.
	LedTerm uint64 `json:"leads"`
	// Following is the address of the primary that the target follows in term FollowTerm.
	Following  string `json:"following"`
	FollowTerm uint64 `json:"follow_term"`
	// Matched is true once the log is known to be a prefix of the followed primary's log.
	Matched bool `json:"matched"`
}

// isPrimary reports whether the target may commit clients' transactions. It is false from the
// adoption of a higher term on.
func (m *meta) isPrimary() bool { return m.LedTerm != 0 && m.LedTerm == m.Term }

// canPull reports whether the target may apply entries of the primary that it follows.
func (m *meta) canPull() bool { return m.Following != "" && m.FollowTerm == m.Term && m.LedTerm == 0 }

// canServeReads reports whether the target may serve reads. A replica may not before its log
// has been matched, since it may contain entries that the primary lacks.
func (m *meta) canServeReads() bool { return m.Following == "" || m.Matched }

func loadMeta(dir string) (m meta, found bool, err error) {
	body, err := os.ReadFile(filepath.Join(dir, metaFile))
	if errors.Is(err, fs.ErrNotExist) {
		return meta{}, false, nil
	}
	if err != nil {
		return meta{}, false, errs.Wrap(err)
	}
	err = json.Unmarshal(body, &m)
	return m, true, errs.Wrap(err)
}

// save writes the metadata to a new file and renames it over the old one, so that a kill of
// the process leaves either the old or the new file complete.
func (m *meta) save(dir string) error {
	body, err := json.Marshal(m)
	if err != nil {
		return errs.Wrap(err)
	}
	path := filepath.Join(dir, metaFile)
	if err := os.WriteFile(path+".new", body, 0o600); err != nil {
		return errs.Wrap(err)
	}
	return errs.Wrap(os.Rename(path+".new", path))
}
