package configuration

import "time"

// Constants of relayed votes.
const (
	// RelayVotesAfter is an age of the newest read of the row. Once the read is this old, a node
	// relays votes. While the store answers, votes are not needed.
	RelayVotesAfter = 1500 * time.Millisecond
	// voteAgeUnit is the unit of the relayed ages. noVote marks an answer that is unknown or too
	// old.
	voteAgeUnit = 256 * time.Millisecond
	noVote      = 15
)

// Votes holds relayed answers of other listed nodes. Each of these nodes answered that it had
// Version or an older one in force, and that it vouched, which means that it had every version
// accepted before its own start. The node was asked no longer ago than the age relayed for it.
type Votes struct {
	// Version is the version in force at the relaying node.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// List is a hash of the sorted names on the list. Ages is in the order of these names.
	List uint64 `cbor:"2,keyasint" json:"list"`
	// Ages holds two ages per byte, the first one in the low bits, in units of voteAgeUnit,
	// rounded up.
	Ages []byte `cbor:"3,keyasint" json:"ages"`
}

// age returns the i-th age. ok is false if there is no vote.
func (v *Votes) age(i int) (age time.Duration, ok bool) {
	units := v.Ages[i/2] >> (4 * (i % 2)) & 0xf
	return time.Duration(units+1) * voteAgeUnit, units != noVote
}

// set encodes the i-th age. An age that is too long is encoded as noVote.
func (v *Votes) set(i int, age time.Duration) {
	units := byte(noVote)
	if age < noVote*voteAgeUnit {
		units = byte(age / voteAgeUnit)
	}
	shift := 4 * (i % 2)
	v.Ages[i/2] = v.Ages[i/2]&^(0xf<<shift) | units<<shift
}

// votes returns the votes to relay, or nil if there is a recent read of the row. A node
// without an answer to relay is given the age FreshnessBound, which is encoded as noVote.
func (s *State) votes(now time.Time) *Votes {
	newest := newer(s.currentRowRead, s.newerRowRead)
	if !newest.sentAt.IsZero() && age(newest.sentAt, now) < RelayVotesAfter {
		return nil
	}
	v := &Votes{Version: s.Version(), List: s.list.hash, Ages: make([]byte, voteBytes(len(s.reports)))}
	for i, r := range s.reports {
		if r.supports(s.Version()) {
			v.set(i, age(r.askedAt, now))
		} else {
			v.set(i, FreshnessBound)
		}
	}
	return v
}

// voteBytes returns the length of the encoded ages of n nodes.
func voteBytes(n int) int { return (n + 1) / 2 }

// applyVotes processes the votes in the answer to a probe that was sent at sentAt. Votes for
// another list, or for a version above the one in force here, are ignored.
func (s *State) applyVotes(v *Votes, sentAt time.Time) {
	if v == nil || v.List != s.list.hash || v.Version > s.Version() || len(v.Ages) != voteBytes(len(s.reports)) {
		return
	}
	for i := range s.reports {
		age, ok := v.age(i)
		if ok && s.list.names[i] != s.self {
			s.updateReport(i, peerReport{v.Version, true, sentAt.Add(-age)})
		}
	}
}

// updateReport keeps the answer of the i-th listed node if it is the newest one.
func (s *State) updateReport(i int, r peerReport) {
	if r.askedAt.After(s.reports[i].askedAt) {
		s.reports[i] = r
	}
}
