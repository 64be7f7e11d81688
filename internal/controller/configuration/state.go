package configuration

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("configuration")

// FreshnessBound is the maximum age of the evidence for freshness, which is a read of the row
// or the answers of peers. A fresh node has every version that was accepted longer ago than
// this.
const FreshnessBound = 4 * time.Second

// Record is the value of the configuration's row.
type Record struct {
	// Body names the object that holds the configuration.
	Body string `json:"body" cbor:"1,keyasint"`
	// Audit names the newest entry of the audit trail.
	Audit string `json:"audit" cbor:"2,keyasint"`
	// Version is the version of the configuration; 0 if it is the version of the row. The two differ
	// once the store was restored.
	Version uint64 `json:"version,omitempty" cbor:"3,keyasint,omitempty"`
	// Era is the store's era that the writer read before it wrote the row; 0 if it is not known.
	Era uint64 `json:"era,omitempty" cbor:"4,keyasint,omitempty"`
}

// VersionIn returns the version of the configuration that r, the value of row, stands for.
func (r Record) VersionIn(row platform.Row) uint64 { return cmp.Or(r.Version, row.Version) }

// IsRestored reports whether r, the value of row, was written before the store was last restored. Later
// versions may then have been accepted and lost by the store.
func (r Record) IsRestored(row platform.Row) bool { return r.Era != 0 && r.Era != row.Era }

// RowKey returns the key of a deployment's configuration row.
func RowKey(deployment string) string { return deployment + "/config" }

// DecodeRecord reads a row's value.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, Error.Wrap(err)
}

// Encode returns the row's value.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, Error.Wrap(err)
}

// Report is a node's answer to a peer's probe.
type Report struct {
	// Version is the version in force; 0 for none.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// Vouches is true once the node has every version that was accepted before its start. Only
	// the answers of nodes that vouch count towards a majority.
	Vouches bool `cbor:"2,keyasint" json:"vouches"`
	// RowVersion is the version returned by the newest known read of the row.
	RowVersion uint64 `cbor:"3,keyasint" json:"row_version"`
	// RowAge is the time since that read was sent.
	RowAge time.Duration `cbor:"4,keyasint" json:"row_age"`
	// RowRead is true if a read of the row within FreshnessBound is known.
	RowRead bool `cbor:"5,keyasint" json:"row_read"`
	// Votes holds what other nodes have answered to the node that sends the Report. It is nil
	// while the store answers.
	Votes *Votes `cbor:"6,keyasint,omitempty" json:"votes,omitempty"`
}

// Counts holds a State's counters.
type Counts struct {
	// Published counts the versions put in force.
	Published uint64
	// Corrupt counts bodies whose hash was not the one in the row.
	Corrupt uint64
	// Invalid counts bodies that did not validate.
	Invalid uint64
	// Stale counts bodies whose version was not above the one in force.
	Stale uint64
}

// State is one node's view of the configuration. It is not safe for concurrent use.
type State struct {
	self    string
	started time.Time
	list    nodeList
	// reports holds the newest answer of each listed node, in the order of list.names.
	reports []peerReport
	config  *fleet.Config
	record  Record
	body    []byte
	vouches bool
	// currentRowRead is the newest read of the row that returned the version in force or an
	// older one. newerRowRead is the newest read of the row that returned a version above the
	// one in force.
	currentRowRead rowEvidence
	newerRowRead   rowEvidence
	// wanted is the newest known version that is not in force.
	wanted wantedVersion
	// rejected is the newest version whose body had the right hash but did not validate.
	rejected uint64
	counts   Counts
	// restored is the row as read last, if the store was restored since it was written; otherwise nil.
	restored *restoredRow
}

// peerReport is what is kept of a peer's Report, received directly or as a relayed vote. askedAt
// is no later than the time at which the peer was asked for it. It is zero if there is no
// answer. For a vote, version is the relaying node's version, which is not below the peer's.
type peerReport struct {
	version uint64
	vouches bool
	askedAt time.Time
}

// supports reports whether the answer counts as evidence that the peer has no version above
// version.
func (r peerReport) supports(version uint64) bool { return r.vouches && r.version <= version }

// rowEvidence states that a read of the row, sent at sentAt, returned version.
type rowEvidence struct {
	version uint64
	sentAt  time.Time
}

// New returns the State of the node called self that started at now.
func New(self string, now time.Time) *State {
	return &State{self: self, started: now}
}

// SetListed sets the names on the platform's list of VMs.
func (s *State) SetListed(names []string) {
	if slices.Equal(names, s.list.given) {
		return
	}
	former, reports := s.list, s.reports
	s.list = newList(names)
	s.reports = make([]peerReport, len(s.list.names))
	for i, name := range s.list.names {
		if j, ok := former.index[name]; ok {
			s.reports[i] = reports[j]
		}
	}
	s.updateVouches()
}

// OnRowRead processes the answer to a read of the row that was sent at sentAt.
func (s *State) OnRowRead(version uint64, record Record, sentAt time.Time) {
	s.addEvidence(rowEvidence{version, sentAt})
	if version > s.Version() {
		s.wanted.addRow(version, record)
	}
}

// OnRowMissing processes a read of the row that was sent at sentAt and found no row.
func (s *State) OnRowMissing(sentAt time.Time) {
	s.addEvidence(rowEvidence{0, sentAt})
}

// OnReport processes a peer's answer to a probe that this node sent at sentAt.
func (s *State) OnReport(node string, report Report, sentAt time.Time) {
	if node == s.self {
		return
	}
	if i, ok := s.list.index[node]; ok {
		s.updateReport(i, peerReport{report.Version, report.Vouches, sentAt})
	}
	s.applyVotes(report.Votes, sentAt)
	s.updateVouches()
	if report.RowRead {
		s.addEvidence(rowEvidence{report.RowVersion, sentAt.Add(-report.RowAge)})
	}
	if report.Version > s.Version() {
		s.wanted.addPeer(report.Version, node)
	}
}

func (s *State) addEvidence(e rowEvidence) {
	if e.version <= s.Version() {
		s.currentRowRead = newer(s.currentRowRead, e)
	} else {
		s.newerRowRead = newer(s.newerRowRead, e)
	}
	s.updateVouches()
}

func newer(a, b rowEvidence) rowEvidence {
	if b.sentAt.After(a.sentAt) {
		return b
	}
	return a
}

// OnBody processes a fetched body. If the body is valid and version is above the one in
// force, it puts the version in force and returns its Config. Otherwise it returns an error.
func (s *State) OnBody(version uint64, record Record, body []byte) (*fleet.Config, error) {
	if version <= s.Version() {
		s.counts.Stale++
		return nil, Error.New("version %d is not above version %d, which is in force", version, s.Version())
	}
	if platform.HashName(body) != record.Body {
		s.counts.Corrupt++
		return nil, Error.Wrap(platform.ErrCorrupt.New("body of version %d", version))
	}
	config, err := fleet.Parse(body, record.Body)
	if err != nil {
		s.counts.Invalid++
		s.rejected = max(s.rejected, version)
		return nil, Error.Wrap(err)
	}
	config.Version = version
	s.publish(config, record, body)
	return config, nil
}

func (s *State) publish(config *fleet.Config, record Record, body []byte) {
	s.config = config
	s.record = record
	s.body = body
	s.counts.Published++
	if s.wanted.version <= config.Version {
		s.wanted = wantedVersion{}
	}
	if s.newerRowRead.version <= config.Version {
		s.currentRowRead = newer(s.currentRowRead, s.newerRowRead)
		s.newerRowRead = rowEvidence{}
	}
	s.updateVouches()
}

// Config returns the Config in force, or nil.
func (s *State) Config() *fleet.Config { return s.config }

// Version returns the version in force, or 0.
func (s *State) Version() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// Body returns the version in force, its record and its body, for a peer that fetches them.
func (s *State) Body() (version uint64, record Record, body []byte) {
	return s.Version(), s.record, s.body
}

// Counts returns the counters.
func (s *State) Counts() Counts { return s.counts }
