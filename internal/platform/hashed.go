package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/zeebo/errs"
)

// ErrCorrupt means that an object's body does not match the hash that is its name.
var ErrCorrupt = errs.Class("corrupt object")

// HashName returns the content-derived name of an object: the SHA-256 of body in hexadecimal.
func HashName(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// PutHashed stores body under its HashName and returns the name.
func PutHashed(ctx context.Context, objects Objects, body []byte) (string, error) {
	name := HashName(body)
	return name, objects.PutObject(ctx, name, body)
}

// GetHashed returns the body of an object that was stored by PutHashed. It fails with
// ErrCorrupt if the body does not match the name, and with ErrNotFound or ErrOutage as GetObject
// does.
func GetHashed(ctx context.Context, objects Objects, name string) ([]byte, error) {
	body, err := objects.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	if HashName(body) != name {
		return nil, ErrCorrupt.New("object %s", name)
	}
	return body, nil
}
