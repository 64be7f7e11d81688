package session

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/logpos"
)

func newTestCodec(t *testing.T, digit string) *Codec {
	c, err := NewCodec(strings.Repeat(digit, 64))
	must.NoError(t, err)
	return c
}

func at(term, index uint64) logpos.Position { return logpos.Position{Term: term, Index: index} }

func TestDecodeRejectsForgedAndTruncatedTokens(t *testing.T) {
	c := newTestCodec(t, "a")
	want := Token{Positions: map[string]logpos.Position{"g1": at(3, 9)}}
	text, err := c.Encode(want)
	must.NoError(t, err)
	got, err := c.Decode(text)
	must.NoError(t, err)
	must.Eq(t, want, got)
	for i := range text {
		_, err := c.Decode(text[:i])
		must.Error(t, err)
		other := byte('A')
		if text[i] == 'A' {
			other = 'B'
		}
		_, err = c.Decode(text[:i] + string(other) + text[i+1:])
		must.True(t, Error.Has(err))
	}
	_, err = newTestCodec(t, "b").Decode(text)
	must.Error(t, err)
	_, err = NewCodec("abcd")
	must.Error(t, err)
}

func TestMergeKeepsNewestPosition(t *testing.T) {
	var s State
	s.Observe("g1", at(2, 50), false)
	s.Merge(Token{Positions: map[string]logpos.Position{"g1": at(1, 90), "g2": at(1, 1)}})
	p, known := s.Position("g1")
	must.True(t, known)
	must.Eq(t, at(2, 50), p)
	s.Merge(Token{Positions: map[string]logpos.Position{"g1": at(3, 40)}})
	p, _ = s.Position("g1")
	must.Eq(t, at(3, 40), p)
	_, known = s.Position("g3")
	must.False(t, known)
}

// TestKnownCoversOwnWrites applies random sequences of answers, writes of unknown outcome and
// merged tokens. A position must be known only if the primary or a token established it after
// the last write of unknown outcome, and a known position must never decrease.
func TestKnownCoversOwnWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		wantKnown := false
		var wantPosition logpos.Position
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			p := at(rapid.Uint64Range(1, 3).Draw(t, "term"), rapid.Uint64Range(1, 9).Draw(t, "index"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.Observe("g", p, false)
				wantKnown, wantPosition = true, logpos.Max(wantPosition, p)
			case 1:
				s.Observe("g", p, true)
				if wantKnown {
					wantPosition = logpos.Max(wantPosition, p)
				}
			case 2:
				s.MarkWriteUnknown("g")
				wantKnown = false
			case 3:
				s.Merge(Token{Positions: map[string]logpos.Position{"g": p}})
				wantKnown, wantPosition = true, logpos.Max(wantPosition, p)
			}
			got, known := s.Position("g")
			if known != wantKnown || known && got != wantPosition {
				t.Fatalf("known %v at %s, want %v at %s", known, got, wantKnown, wantPosition)
			}
		}
	})
}
