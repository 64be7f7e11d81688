// Package session tracks the log position that a session has observed in each database group,
// and carries these positions from node to node in an authenticated token.
//
// Invariant: positions in a token never decrease. A position is known only if every read that
// covers it sees all of the session's own writes.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"hash"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"crocusyoke/internal/logpos"
)

// Error is the class of errors for invalid tokens and secrets, and for tokens that cannot be
// encoded.
var Error = errs.Class("session token")

// Size limits.
const (
	// MaxTokenLength is the longest text that Decode accepts, in characters.
	MaxTokenLength = 16 << 10
	// MinSecretLength is the shortest accepted secret, in bytes.
	MinSecretLength = 32
)

// Token holds, by group, the newest position that a session has written or read.
type Token struct {
	Positions map[string]logpos.Position `cbor:"1,keyasint"`
}

// Codec encodes tokens and decodes them, authenticated with HMAC-SHA256 under one secret.
type Codec struct{ secret []byte }

// NewCodec returns a Codec for a hex-encoded secret. It fails if the secret is not hex or
// shorter than MinSecretLength.
func NewCodec(secret string) (*Codec, error) {
	raw, err := hex.DecodeString(secret)
	if err != nil {
		return nil, Error.New("secret is not hex")
	}
	if len(raw) < MinSecretLength {
		return nil, Error.New("secret is shorter than %d bytes", MinSecretLength)
	}
	return &Codec{secret: raw}, nil
}

var encoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the token and its MAC as URL-safe base64 without padding.
func (c *Codec) Encode(t Token) (string, error) {
	body, err := encoding.Marshal(t)
	if err != nil {
		return "", Error.Wrap(err)
	}
	mac := c.mac()
	mac.Write(body)
	return base64.RawURLEncoding.EncodeToString(mac.Sum(body)), nil
}

// Decode decodes and authenticates the form that Encode returns. It fails if the text is
// longer than MaxTokenLength, malformed, or was not encoded with the same secret.
func (c *Codec) Decode(text string) (Token, error) {
	if len(text) > MaxTokenLength {
		return Token{}, Error.New("too long")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < sha256.Size {
		return Token{}, Error.New("malformed")
	}
	body, sum := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	mac := c.mac()
	mac.Write(body)
	if !hmac.Equal(mac.Sum(nil), sum) {
		return Token{}, Error.New("not authentic")
	}
	var t Token
	if err := cbor.Unmarshal(body, &t); err != nil {
		return Token{}, Error.New("malformed")
	}
	return t, nil
}

func (c *Codec) mac() hash.Hash { return hmac.New(sha256.New, c.secret) }
