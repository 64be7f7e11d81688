package catalog

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/controller/reader"
	"crocusyoke/internal/platform"
)

// Versions holds a version of each table. A version is 0 if the node knows none in Era.
type Versions struct {
	Configuration uint64 `cbor:"1,keyasint,omitempty"`
	Targets       uint64 `cbor:"2,keyasint,omitempty"`
	Nodes         uint64 `cbor:"3,keyasint,omitempty"`
	// Era is the latest era of the store that the node has observed.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// Knowledge is what a node tells its peers about its tables.
type Knowledge struct {
	// Changed holds the versions of the last changes that the node knows.
	Changed Versions `cbor:"1,keyasint"`
	// AnsweredAgeMillis is how long ago the store last answered a call about any table, of the node
	// or of one whose knowledge reached it.
	AnsweredAgeMillis uint32 `cbor:"2,keyasint"`
	// ConfigurationVersion is the operator's version of the newest configuration that the node
	// knows. The store may have lost it in a restore.
	ConfigurationVersion uint64 `cbor:"3,keyasint,omitempty"`
	// ConfirmedBy is the node that got the newest confirmation (reader.Confirmation) that the node knows,
	// ConfirmedAgeMillis its age. Nodes of an earlier release state neither, so ConfirmedBy is 0.
	ConfirmedBy        reader.ID `cbor:"4,keyasint,omitempty"`
	ConfirmedAgeMillis uint32    `cbor:"5,keyasint,omitempty"`
}

// confirmation returns the newest confirmation that the node knew at the time at, when it told k.
func (k *Knowledge) confirmation(at time.Time) reader.Confirmation {
	age := k.ConfirmedAgeMillis
	if k.ConfirmedBy == 0 {
		age = k.AnsweredAgeMillis
	}
	return reader.Confirmation{At: at.Add(-time.Duration(age) * time.Millisecond), By: k.ConfirmedBy}
}

// answeredAt returns when the store last answered a call, as the node knew it at the time at.
func (k *Knowledge) answeredAt(at time.Time) time.Time {
	return at.Add(-time.Duration(k.AnsweredAgeMillis) * time.Millisecond)
}

// FetchRequest asks a node for its tables.
type FetchRequest struct {
	// KnownVersion is the version of the last change of the configuration and target tables that
	// the requesting node knows. Only nodes that know no deltas rely on it.
	KnownVersion uint64 `cbor:"1,keyasint"`
	// Followed holds the versions up to which the requesting node has followed the tables.
	Followed Versions `cbor:"2,keyasint"`
	// WantsDeltas is true if the answer is to contain Deltas.
	WantsDeltas bool `cbor:"3,keyasint,omitempty"`
	// ConfigurationVersion is as in Knowledge.
	ConfigurationVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// FetchReply holds the snapshots, which are empty if the node knows no higher version, or the
// deltas.
type FetchReply struct {
	Configuration Snapshot `cbor:"1,keyasint"`
	Targets       Snapshot `cbor:"2,keyasint"`
	// Deltas is a compressed deltas value.
	Deltas []byte `cbor:"3,keyasint,omitempty"`
}

// deltas holds the deltas of all tables.
type deltas struct {
	Configuration Delta `cbor:"1,keyasint"`
	Targets       Delta `cbor:"2,keyasint"`
	Nodes         Delta `cbor:"3,keyasint"`
	// Document is the newest configuration that the node knows; empty if it is among the changes
	// or the requesting node knows it.
	Document []byte `cbor:"4,keyasint,omitempty"`
	// DocumentEra is the era in which Document was found in the table.
	DocumentEra uint64 `cbor:"5,keyasint,omitempty"`
}

// maxDeltasBytes bounds the size of a decompressed answer.
const maxDeltasBytes = 32 << 20

// Knowledge returns what to tell peers.
func (r *Runner) Knowledge() Knowledge {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Knowledge{
		Changed: Versions{
			Configuration: r.configuration.changedVersionIn(r.era),
			Targets:       r.targets.changedVersionIn(r.era),
			Nodes:         r.nodes.changedVersionIn(r.era),
			Era:           r.era,
		},
		AnsweredAgeMillis:    uint32(max(0, now.Sub(r.answeredAt)).Milliseconds()),
		ConfigurationVersion: r.document.version(),
		ConfirmedBy:          r.role.Newest().By,
		ConfirmedAgeMillis:   uint32(r.role.ConfirmedAge(now).Milliseconds()),
	}
}

// AnswerFetch returns the response to request.
func (r *Runner) AnswerFetch(request FetchRequest) (FetchReply, error) {
	if request.WantsDeltas {
		return r.answerDeltas(request)
	}
	if r.Version() <= request.KnownVersion {
		return FetchReply{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return FetchReply{Configuration: r.configuration.snapshot(), Targets: r.targets.snapshot()}, nil
}

func (r *Runner) answerDeltas(request FetchRequest) (FetchReply, error) {
	body, err := cbor.Marshal(r.deltasFor(request))
	if err != nil {
		return FetchReply{}, Error.Wrap(err)
	}
	body, err = compress(body)
	return FetchReply{Deltas: body}, err
}

func (r *Runner) deltasFor(request FetchRequest) deltas {
	followed := request.Followed
	since := func(version uint64) platform.Revision {
		return platform.Revision{Era: followed.Era, Version: version}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d := deltas{
		Configuration: r.configuration.deltaSince(since(followed.Configuration)),
		Targets:       r.targets.deltaSince(since(followed.Targets)),
		Nodes:         r.nodes.deltaSince(since(followed.Nodes)),
	}
	if r.document.version() > request.ConfigurationVersion && !d.Configuration.contains(r.document.value) {
		d.Document, d.DocumentEra = r.document.value, r.document.era
	}
	return d
}

func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Bytes(), nil
}

func decompress(body []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxDeltasBytes))
	return out, Error.Wrap(err)
}
