package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	// MaxKeyBytes is the maximum size of a row's key in bytes.
	MaxKeyBytes = 200
	// keySeparator separates the parts of a key. hashMark begins a part that is a hash.
	keySeparator = "/"
	hashMark     = "%x"
)

// escapePart makes a part free of keySeparator and of hashMark.
var escapePart = strings.NewReplacer("%", "%25", keySeparator, "%2F")

// JoinKey returns the key of the row that parts identify, which are names of any form. Different parts give
// different keys. A last part that makes the key longer than MaxKeyBytes is replaced by its hash.
func JoinKey(parts ...string) string {
	escaped := make([]string, len(parts))
	for i, part := range parts {
		escaped[i] = escapePart.Replace(part)
	}
	if key := strings.Join(escaped, keySeparator); len(key) <= MaxKeyBytes {
		return key
	}
	last := len(parts) - 1
	sum := sha256.Sum256([]byte(parts[last]))
	escaped[last] = hashMark + hex.EncodeToString(sum[:])
	return strings.Join(escaped, keySeparator)
}
