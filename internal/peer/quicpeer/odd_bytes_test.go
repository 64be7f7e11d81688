package quicpeer

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// TestRefusalWithOddBytesBreaksStream guards against a refusal that quotes bytes of a target or caller that are not
// UTF-8, that the entry node can't read, and that it reports as a statement that may have run.
func TestRefusalWithOddBytesBreaksStream(t *testing.T) {
	refusal := request.Refuse(request.CodeNoTarget, "exchange", "t1", "nothing was sent: %s", "the target refused the session's state: B\xffSY")
	var wire bytes.Buffer
	must.NoError(t, writeFrame(&wire, &answerFrame{Session: "s", Sequence: 1, Refusal: newRefusalFrame(refusal, "n1")}))
	var got answerFrame
	must.NoError(t, newFrameReader(&wire).read(&got))
	must.Eq(t, request.NotRun, got.Refusal.toRefusal().Code.Fate)
}

// TestRequestWithOddKeyBreaksStream guards against an idempotency key that the owner can't read.
func TestRequestWithOddKeyBreaksStream(t *testing.T) {
	var wire bytes.Buffer
	must.NoError(t, writeFrame(&wire, &requestFrame{Sequence: 1, IdempotencyKey: "k\xff"}))
	var got requestFrame
	must.NoError(t, newFrameReader(&wire).read(&got))
}
